// Package buffer is the one buffer of a connection: it grows as needed, is compacted in place, and is given back
// when it is empty: what was read from one that held more than Keep is the reader's own.
package buffer

const (
	Keep  = 4 << 10 // bytes that an empty buffer may keep: a few command lines, so that most never grow
	ahead = 8       // times what is there that room may be made for: a long value grows it once or twice
)

// Buffer holds what was read and not yet used. Bounds are the parsers': none waits for more than it allows.
type Buffer struct {
	data []byte
	used int
}

// Append puts bytes behind those there, first moving these to the front if that makes room.
func (b *Buffer) Append(p []byte) {
	if b.used > 0 && len(b.data)+len(p) > cap(b.data) {
		b.data = b.data[:copy(b.data, b.data[b.used:])]
		b.used = 0
	}
	b.data = append(b.data, p...)
}

// Reserve makes room for n bytes in all, but no more than a few times what is there: who announces much may send little.
func (b *Buffer) Reserve(n int) {
	if n = min(n, ahead*len(b.Unread())); n > cap(b.data)-b.used {
		b.data, b.used = append(make([]byte, 0, n), b.Unread()...), 0
	}
}

// Unread is what is there; it stays valid until the next Add.
func (b *Buffer) Unread() []byte { return b.data[b.used:] }

// Consume passes over n bytes.
func (b *Buffer) Consume(n int) {
	if b.used += n; b.used < len(b.data) {
		return
	}
	b.used, b.data = 0, b.data[:0]
	if cap(b.data) > Keep {
		b.data = nil
	}
}
