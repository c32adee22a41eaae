// Package buffer provides the read buffer of a connection. The buffer grows as needed, is compacted in place, and
// releases its memory once it is empty: slices returned by a buffer with a capacity above MaxEmptyCapacity then remain
// valid.
package buffer

const (
	// MaxEmptyCapacity is the largest capacity that an empty buffer retains: a few command lines, so that most buffers
	// never grow.
	MaxEmptyCapacity = 4 << 10
	// maxGrowth limits Reserve to a multiple of the unread bytes: a long value grows its buffer once or twice.
	maxGrowth = 8
)

// Buffer holds bytes that were received and not yet consumed. It has no size limit of its own: parsers stop waiting for
// data at their own limits. The zero Buffer is empty and ready for use.
type Buffer struct {
	data []byte
	used int // consumed bytes at the front of data
}

// Append adds bytes. If they do not fit behind the unread bytes, it first moves those to the front.
func (b *Buffer) Append(p []byte) {
	if b.used > 0 && len(b.data)+len(p) > cap(b.data) {
		b.data = b.data[:copy(b.data, b.data[b.used:])]
		b.used = 0
	}
	b.data = append(b.data, p...)
}

// Reserve makes room for n bytes in total, up to a multiple of the unread bytes. The limit keeps a peer that announces
// long values on many connections, and sends little of them, from having all of that memory allocated at once.
func (b *Buffer) Reserve(n int) {
	n = min(n, maxGrowth*len(b.Unread()))
	if n > cap(b.data)-b.used {
		b.data = append(make([]byte, 0, n), b.Unread()...)
		b.used = 0
	}
}

// Unread returns the unconsumed bytes. They stay valid until the next Append or Reserve.
func (b *Buffer) Unread() []byte { return b.data[b.used:] }

// Consume discards the first n unread bytes.
func (b *Buffer) Consume(n int) {
	b.used += n
	if b.used < len(b.data) {
		return
	}
	b.used = 0
	b.data = b.data[:0]
	if cap(b.data) > MaxEmptyCapacity {
		b.data = nil
	}
}
