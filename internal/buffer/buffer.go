// Package buffer has the read buffer of a connection. It grows as needed, is compacted in place, and gives its memory
// back once it is empty: what was read from a buffer that held more than Keep bytes remains the reader's own.
package buffer

const (
	// MaxEmptyCapacity is how many bytes an empty buffer may keep: a few command lines, so that most buffers never grow.
	MaxEmptyCapacity = 4 << 10
	// maxGrowth is how many times the unread bytes Reserve makes room for: a long value grows its buffer once or twice.
	maxGrowth = 8
)

// Buffer holds bytes that were received and not consumed yet. It has no bound of its own: parsers don't wait for more
// than their bounds allow. The zero Buffer is empty and ready for use.
type Buffer struct {
	data []byte
	used int // bytes at the front of data that were consumed
}

// Append adds bytes, first moving the unread ones to the front where that makes room.
func (b *Buffer) Append(p []byte) {
	if b.used > 0 && len(b.data)+len(p) > cap(b.data) {
		b.data = b.data[:copy(b.data, b.data[b.used:])]
		b.used = 0
	}
	b.data = append(b.data, p...)
}

// Reserve makes room for n bytes in all, but no more than a few times what is unread. Guards against a peer that
// announces a long value on each of many connections and sends little: the memory would be taken at once.
func (b *Buffer) Reserve(n int) {
	n = min(n, maxGrowth*len(b.Unread()))
	if n > cap(b.data)-b.used {
		b.data = append(make([]byte, 0, n), b.Unread()...)
		b.used = 0
	}
}

// Unread returns the bytes that were not consumed. They stay valid until the next Append or Reserve.
func (b *Buffer) Unread() []byte { return b.data[b.used:] }

// Consume passes over n unread bytes.
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
