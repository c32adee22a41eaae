package freshness

import "testing"

// Two nodes that made different names of one URL would fill six caches instead of three; one name for two URLs would answer
// one with the other's value, which is worse.
func TestAKeyIsOneForOneURLAndNotForTwo(t *testing.T) {
	for _, c := range []struct{ hostA, a, hostB, b string }{
		{"N.example", "/a", "n.example:80", "/a"}, {"n", "/%7ea%2f", "n", "/~a%2F"}, {"x", "http://n/a?b", "n", "/a?b"}, {"n", "http://n", "n", "/"},
		{"n", "HTTP://n?q", "n", "/?q"},
	} {
		a, ok := Key([]byte(c.hostA), []byte(c.a))
		b, good := Key([]byte(c.hostB), []byte(c.b))
		if !ok || !good || a != b {
			t.Errorf("%+v: %q %q", c, a, b)
		}
	}
	for _, c := range [][2]string{{"/a", "/A"}, {"/a?x=1&y=2", "/a?y=2&x=1"}, {"/a", "/a/"}, {"/a/../b", "/b"}, {"/a?", "/a"}, {"/a%2Fb", "/a/b"},
		{"//a", "/a"}, {"/a+b", "/a%20b"}} {
		a, ok := Key([]byte("n"), []byte(c[0]))
		b, good := Key([]byte("n"), []byte(c[1]))
		if !ok || !good || a == b {
			t.Errorf("%q and %q: %q", c[0], c[1], a)
		}
	}
	for _, target := range []string{"", "a", "*", "/a#b", "/%", "/%4", "/%zz", "https://n/a", "http://u@n/a"} {
		if key, ok := Key([]byte("n"), []byte(target)); ok {
			t.Errorf("%q is %q", target, key)
		}
	}
}

// A variant for one kind of client is not for another.
func TestAVariantIsForThoseWhoAskAlike(t *testing.T) {
	fields := func(m map[string]string) func([]byte) []byte {
		return func(name []byte) []byte {
			if v, ok := m[string(name)]; ok {
				return []byte(v)
			}
			return nil
		}
	}
	for _, c := range []struct {
		vary string
		a, b map[string]string
		want bool
	}{
		{"", map[string]string{"L": "bn"}, nil, true}, {"L", map[string]string{"L": "bn"}, map[string]string{"L": "en"}, false},
		{"L", map[string]string{"L": "bn, en"}, map[string]string{"L": "bn,en "}, true}, {"L", nil, nil, true},
		{"L", nil, map[string]string{"L": ""}, false}, {"*", nil, nil, false}, {"L, *", nil, nil, false}, {"M,, L", nil, nil, true},
	} {
		if Matches([]byte(c.vary), fields(c.a), fields(c.b)) != c.want {
			t.Errorf("%+v", c)
		}
	}
	if Invalidates("GET", 200) || Invalidates("POST", 500) || !Invalidates("POST", 201) || !Invalidates("PURGE", 302) {
		t.Error("what makes stored answers unusable")
	}
}
