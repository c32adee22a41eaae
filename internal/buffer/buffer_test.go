package buffer

import (
	"bytes"
	"testing"
)

// Whatever is appended, reserved and consumed, a buffer holds what a plain slice would, and keeps little once it is
// empty.
func FuzzBufferIsLikeASlice(f *testing.F) {
	f.Add([]byte{10, 4, 200, 206, 7, 7})
	f.Fuzz(func(t *testing.T, steps []byte) {
		var b Buffer
		var plain []byte
		for i, s := range steps {
			if i%2 == 0 {
				p := bytes.Repeat([]byte{s}, int(s)*50)
				b.Reserve(len(b.Unread()) + 3*len(p)) // changes nothing that is there
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
				t.Fatalf("step %d: empty, yet %d bytes are kept", i, cap(b.data))
			}
		}
	})
}
