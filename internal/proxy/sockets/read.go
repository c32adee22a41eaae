package sockets

import (
	"errors"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// minReadAhead is the number of bytes of one connection that may always wait for the loop.
	minReadAhead = 4 << 10

	// maxReadAhead is the largest useful read-ahead of a connection: two reads.
	maxReadAhead = 128 << 10

	// minReadSize is the size of a read while memory is short.
	minReadSize = 4 << 10

	// maxBackgroundReads is the number of connections that readInBackground reads at a time. Each needs a buffer.
	maxBackgroundReads = 4
)

// stateEstablished is TCP_ESTABLISHED, the state of an open connection (RFC 9293), in the kernel's TCP_INFO.
const stateEstablished = 1

// PauseReading stops reading until ResumeReading, so that TCP flow control blocks the sender. Bytes that are already
// queued are still delivered.
func (c *Conn) PauseReading() { c.readPaused.Store(true) }

// ResumeReading continues reading after PauseReading.
func (c *Conn) ResumeReading() {
	c.readPaused.Store(false)
	c.readInBackground()
}

// readAvailable reads and queues everything that can be read. It must not leave anything: as polling is edge-triggered,
// the poller does not report the same bytes again.
func (c *Conn) readAvailable(buffer []byte) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for !c.readEnded {
		if (c.readPaused.Load() || c.stallIfAhead()) && !c.peerClosedWhilePaused() {
			return
		}
		n, err := c.socket.Read(buffer[:min(len(buffer), int(c.engine.readSize.Load()))])
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil || n == 0:
			c.readEnded = true
			c.orderly.Store(err == nil)
			c.socket.Close()
		default:
			c.queuedBytes += int64(n)
			c.engine.enqueue(Event{Kind: Data, Conn: c}, buffer[:n])
		}
	}
}

// stallIfAhead reports whether reading must wait because too many bytes of the connection wait for the loop, and marks
// the connection as stalled in that case; Event.Bytes then resumes reading. The caller holds readMu. Without this
// limit, a long value that is received faster than it is forwarded would be buffered here, as much of it as the kernel
// holds, before reading from its server can be paused.
func (c *Conn) stallIfAhead() bool {
	if !c.queueIsFull() {
		return false
	}
	c.readStalled.Store(true)
	// The loop may have taken the bytes in the meantime. If it saw the mark, it has cleared it and resumes reading
	// itself; if not, reading continues here.
	return c.queueIsFull() || !c.readStalled.CompareAndSwap(true, false)
}

// queueIsFull reports whether the bytes that wait for the loop have reached the read-ahead limit.
func (c *Conn) queueIsFull() bool {
	return c.queuedBytes-c.takenBytes.Load() >= c.engine.readAhead.Load()
}

// peerClosedWhilePaused reports whether the peer has closed a connection on which reading is paused. The poller then
// closes the connection, and bytes that are still in the kernel would be lost if they were not read now.
func (c *Conn) peerClosedWhilePaused() bool {
	closed := true
	_ = c.socket.Control(func(descriptor int) {
		established, err := isEstablished(descriptor)
		closed = err != nil || !established
	})
	return closed
}

// isEstablished reports whether the kernel considers the connection established: neither side has closed it.
func isEstablished(descriptor int) (bool, error) {
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false, err
	}
	return info.State == stateEstablished, nil
}

// readInBackground reads what was received while reading was paused or stalled, which the poller does not report again.
// It uses a separate goroutine because reading may wait for the loop, which is the caller.
func (c *Conn) readInBackground() {
	go func() {
		c.engine.backgroundReads <- struct{}{}
		defer func() { <-c.engine.backgroundReads }()
		buffer := readBuffers.Get().(*[]byte)
		c.readAvailable(*buffer)
		readBuffers.Put(buffer)
	}()
}

// readBuffers holds the buffers of readInBackground.
var readBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, readBufferSize)
	return &buffer
}}
