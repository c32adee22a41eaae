package meta

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const testCommands = "mg 7f3a9c21e0b4d655 v O9b1f03aa5c7e2d41 Pc=read,d=480\r\n" +
	"ms 7f3a 5 O9b1f Pc=put,d=480,k=5c0f6e1a2b3d4c59\r\nhello\r\nmn\r\nstats\r\n"

// readCommands reads all commands in bytes that are received in pieces and formats each.
func readCommands(pieces ...[]byte) (printed []string) {
	var b []byte
	for _, piece := range pieces {
		b = append(b, piece...)
		for {
			c, size, fault := ReadCommand(b)
			if size == 0 && fault == nil {
				break
			}
			printed = append(printed, fmt.Sprintf("%v %q %q %q %q %v", c.Verb, c.Key, c.Flags, c.ID, c.Value, fault))
			b = b[size:]
			if fault != nil && fault.Close {
				return printed
			}
		}
	}
	return printed
}

func FuzzCommandsSplitAnywhereReadAlike(f *testing.F) {
	for _, text := range []string{
		testCommands,
		"mg k v\r\nmg  k O1\nget a\r\n",
		"ms k x O1\r\nab\r\n",
		"ms k 2 O1\r\nabcd\r\n",
		"ms k 70000 O1\r\n",
		strings.Repeat("x", maxLineSize+3),
		"mg k Oa\x01b\r\n",
		"\r\n\r\n",
		"ms k 0 O1\r\n\r\nmn\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		want := readCommands(b)
		for at := range b {
			if got := readCommands(b[:at], b[at:]); !reflect.DeepEqual(got, want) {
				t.Fatalf("split at %d: %q, whole: %q", at, got, want)
			}
		}
	})
}

func FuzzForwardedCommandEqualsTheReceivedOne(f *testing.F) {
	f.Add([]byte(testCommands))
	f.Fuzz(func(t *testing.T, b []byte) {
		received, size, fault := ReadCommand(b)
		if size == 0 || fault != nil || received.Verb != Get && received.Verb != Set {
			return
		}
		text := AppendCommand(nil, &received, 77)
		forwarded, n, fault := ReadCommand(text)
		if n == 0 || fault != nil || !bytes.Equal(forwarded.Key, received.Key) ||
			!bytes.Equal(forwarded.ID, received.ID) || !bytes.Equal(forwarded.Value, received.Value) {
			t.Fatalf("%q was forwarded as %q %v", b[:size], text, fault)
		}
	})
}

func TestAppendCommandReplacesOnlyTheDeadline(t *testing.T) {
	c, _, _ := ReadCommand([]byte("ms key 2 Oid Pc=put,d=480,k=5c,size=9 v\r\nab\r\n"))
	want := "ms key 2 Oid Pc=put,d=61,k=5c,size=9 v\r\nab\r\n"
	if got := string(AppendCommand(nil, &c, 61)); got != want {
		t.Errorf("%q", got)
	}
}

func TestFaultsOfCommands(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       Fault
	}{
		{"unknown verb", "get a\r\n", Fault{UnknownCommand, false}},
		{"no id", "mg k v\r\n", Fault{BadLine, false}},
		{"long key", "mg " + strings.Repeat("k", maxKeySize+1) + " O1\r\n", Fault{BadLine, false}},
		{"value longer than stated", "ms k 3 Oa\r\nabcd\r\n", Fault{BadValue, true}},
		{"negative length", "ms k -1 Oa\r\n", Fault{BadLine, true}},
		{"length just above the limit", "ms k 65537 Oa\r\n", Fault{LongValue, true}},
		{"length far above the limit", "ms k 60000000 Oa\r\n", Fault{LongValue, true}},
		{"long line", strings.Repeat("m", maxLineSize), Fault{LongLine, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, fault := ReadCommand([]byte(test.text)); fault == nil || *fault != test.want {
				t.Errorf("%.40q: %v", test.text, fault)
			}
		})
	}
}
