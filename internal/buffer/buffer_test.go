package buffer

import (
	"bytes"
	"testing"
)

// After any sequence of Append, Reserve and Consume, a buffer has the content that a plain slice would have, and an
// empty buffer retains at most MaxEmptyCapacity bytes.
func FuzzBufferMatchesSlice(f *testing.F) {
	f.Add([]byte{10, 4, 200, 206, 7, 7})
	f.Fuzz(func(t *testing.T, steps []byte) {
		var b Buffer
		var plain []byte
		for i, s := range steps {
			if i%2 == 0 {
				p := bytes.Repeat([]byte{s}, int(s)*50)
				b.Reserve(len(b.Unread()) + 3*len(p)) // must not change the content
				b.Append(p)
				plain = append(plain, p...)
			} else {
				n := min(int(s)*50, len(plain))
				b.Consume(n)
				plain = plain[n:]
			}
			if !bytes.Equal(b.Unread(), plain) {
				t.Fatalf("step %d: %d bytes, want %d", i, len(b.Unread()), len(plain))
			}
			if len(plain) == 0 && cap(b.data) > MaxEmptyCapacity {
				t.Fatalf("step %d: empty buffer retains %d bytes", i, cap(b.data))
			}
		}
	})
}
