package meta

import "testing"

func TestDeletions(t *testing.T) {
	if got := string(AppendDelete(nil, []byte("k"), 255)); got != "md k Off\r\n" {
		t.Errorf("%q", got)
	}
	for in, want := range map[string]struct {
		id      uint64
		flushed bool
		size    int
		bad     bool
	}{
		"HD Off\r\nHD":          {id: 255, size: 8},
		"NF O1\r\n":             {id: 1, size: 7},
		"HD k1 O1\r\n":          {id: 1, size: 10},
		"OK\r\n":                {flushed: true, size: 4},
		"":                      {},
		"H":                     {},
		"NF O":                  {},
		"HD\r\n":                {bad: true},
		"HD Oxyz\r\n":           {bad: true},
		"EN O1\r\n":             {bad: true},
		"\x8c\xa1":              {bad: true},
		"SERVER_ERROR busy\r\n": {bad: true},
		"ERROR\r\n":             {bad: true},
	} {
		id, flushed, size, err := ReadDeleted([]byte(in))
		if id != want.id || flushed != want.flushed || size != want.size || (err != nil) != want.bad {
			t.Errorf("%q: %d, %t, %d, %v", in, id, flushed, size, err)
		}
	}
}
