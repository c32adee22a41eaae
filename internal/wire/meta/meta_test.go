package meta

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const good = "mg 7f3a9c21e0b4d655 v O9b1f03aa5c7e2d41 Pc=read,d=480\r\n" +
	"ms 7f3a 5 O9b1f Pc=put,d=480,k=5c0f6e1a2b3d4c59\r\nhello\r\nmn\r\nstats\r\n"

// all reads every command in what comes piece by piece, as text.
func all(pieces ...[]byte) (got []string) {
	var b []byte
	for _, p := range pieces {
		b = append(b, p...)
		for {
			c, size, fault := ReadCommand(b)
			if size == 0 && fault == nil {
				break
			}
			got = append(got, fmt.Sprintf("%v %q %q %q %q %v", c.Verb, c.Key, c.Flags, c.ID, c.Value, fault))
			if b = b[size:]; fault != nil && fault.Close {
				return got
			}
		}
	}
	return got
}

func FuzzCommandsSplitAnywhereReadAlike(f *testing.F) {
	for _, s := range []string{good, "mg k v\r\nmg  k O1\nget a\r\n", "ms k x O1\r\nab\r\n", "ms k 2 O1\r\nabcd\r\n",
		"ms k 70000 O1\r\n", strings.Repeat("x", maxLine+3), "mg k Oa\x01b\r\n", "\r\n\r\n", "ms k 0 O1\r\n\r\nmn\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		want := all(b)
		for at := range b {
			if got := all(b[:at], b[at:]); !reflect.DeepEqual(got, want) {
				t.Fatalf("split at %d: %q, whole: %q", at, got, want)
			}
		}
	})
}

func FuzzAnswersSplitAnywhereReadAlike(f *testing.F) {
	for _, s := range []string{"VA 5 Oab h1\r\nhello\r\n", "HD Oab c77\r\n", "EN Oab h0 Z\r\n", "SERVER_ERROR busy\r\n",
		"SERVER_ERROR failed\r\n", "EN Oab Lutilization=0.4,x1=1\r\n", "MN\r\n", "STAT a 1\r\nEND\r\n", "VA 3 Oab\r\nhello\r\n", "VA 99999 O1\r\n", "what\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		want, size, err := ReadAnswer(b)
		for at := range b {
			got, n, wrong := ReadAnswer(b[:at])
			if n != 0 && (n != size || !reflect.DeepEqual(got, want)) || wrong != nil && err == nil {
				t.Fatalf("%d of %q: %v %d %v, whole: %v %d %v", at, b, got, n, wrong, want, size, err)
			}
		}
	})
}

func FuzzWhatGoesOnIsWhatCame(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, size, fault := ReadCommand(b)
		if size == 0 || fault != nil || c.Verb != Get && c.Verb != Set {
			return
		}
		on, n, fault := ReadCommand(AppendCommand(nil, &c, 77))
		if n == 0 || fault != nil || !bytes.Equal(on.Key, c.Key) || !bytes.Equal(on.ID, c.ID) || !bytes.Equal(on.Value, c.Value) {
			t.Fatalf("%q went on as %q %v", b[:size], AppendCommand(nil, &c, 77), fault)
		}
	})
}

// Without the reports two of three deployments were served by guess.
func TestLoadStandsInEveryAnswer(t *testing.T) {
	for _, s := range []string{"VA 2 Oab h1 Lx=0.4,y=2\r\nab\r\n", "HD Oab c77 Lx=0.4,y=2\r\n", "EN Oab Lx=0.4,y=2\r\n",
		"SERVER_ERROR failed Lx=0.4,y=2\r\n", "SERVER_ERROR busy Lx=0.4,y=2\r\n"} {
		a, _, err := ReadAnswer([]byte(s))
		if y, ok := Item(a.LoadReport, "y"); err != nil || !ok || string(y) != "2" {
			t.Errorf("%q: %q %v", s, a.LoadReport, err)
		}
	}
}

func TestOnlyTheWaitIsRewritten(t *testing.T) {
	c, _, _ := ReadCommand([]byte("ms key 2 Oid Pc=put,d=480,k=5c,size=9 v\r\nab\r\n"))
	want := "ms key 2 Oid Pc=put,d=61,k=5c,size=9 v\r\nab\r\n"
	if got := string(AppendCommand(nil, &c, 61)); got != want {
		t.Errorf("%q", got)
	}
}

func TestFaultsByKind(t *testing.T) {
	long := strings.Repeat("k", maxKey+1)
	for line, want := range map[string]Fault{
		"get a\r\n": {NoSuch, false}, "mg k v\r\n": {BadLine, false}, "mg " + long + " O1\r\n": {BadLine, false},
		"ms k 3 Oa\r\nabcd\r\n": {BadValue, true}, "ms k -1 Oa\r\n": {BadLine, true},
		"ms k 65537 Oa\r\n": {LongValue, true}, "ms k 60000000 Oa\r\n": {LongValue, true}, strings.Repeat("m", maxLine): {LongLine, true},
	} {
		if _, _, fault := ReadCommand([]byte(line)); fault == nil || *fault != want {
			t.Errorf("%.40q: %v", line, fault)
		}
	}
}
