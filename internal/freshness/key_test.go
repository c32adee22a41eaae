package freshness

import "testing"

// If nodes computed different keys for one URL, its value would occupy six caches instead of three.
func TestEquivalentURLsHaveSameKey(t *testing.T) {
	for _, c := range []struct{ host, target, sameHost, sameTarget string }{
		{"N.example", "/a", "n.example:80", "/a"},
		{"n", "/%7ea%2f", "n", "/~a%2F"},
		{"x", "http://n/a?b", "n", "/a?b"},
		{"n", "http://n", "n", "/"},
		{"n", "HTTP://n?q", "n", "/?q"},
	} {
		a, okA := CacheKey([]byte(c.host), []byte(c.target))
		b, okB := CacheKey([]byte(c.sameHost), []byte(c.sameTarget))
		if !okA || !okB || a != b {
			t.Errorf("%+v: %q %q", c, a, b)
		}
	}
}

// If two URLs shared a key, a request for one would be answered with the value of the other.
func TestDifferentURLsHaveDifferentKeys(t *testing.T) {
	for _, c := range []struct{ target, other string }{
		{"/a", "/A"},
		{"/a?x=1&y=2", "/a?y=2&x=1"},
		{"/a", "/a/"},
		{"/a/../b", "/b"},
		{"/a?", "/a"},
		{"/a%2Fb", "/a/b"},
		{"//a", "/a"},
		{"/a+b", "/a%20b"},
	} {
		a, okA := CacheKey([]byte("n"), []byte(c.target))
		b, okB := CacheKey([]byte("n"), []byte(c.other))
		if !okA || !okB || a == b {
			t.Errorf("%q and %q: %q", c.target, c.other, a)
		}
	}
}

func TestKeyRejectsInvalidTargets(t *testing.T) {
	for _, target := range []string{"", "a", "*", "/a#b", "/%", "/%4", "/%zz", "https://n/a", "http://u@n/a"} {
		if key, ok := CacheKey([]byte("n"), []byte(target)); ok {
			t.Errorf("target %q got key %q", target, key)
		}
	}
}
