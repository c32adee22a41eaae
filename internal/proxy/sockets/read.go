package sockets

import (
	"errors"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// minReadAhead is how many bytes of one connection may always wait for the loop.
	minReadAhead = 16 << 10

	// maxReadAhead is how many bytes suffice for any connection: two reads.
	maxReadAhead = 128 << 10
)

// stateEstablished is the state of an open connection in the kernel's TCP_INFO (RFC 9293).
const stateEstablished = 1

// PauseReading stops reading until Resume, so that the sender has to wait. Bytes that are queued already still come.
func (c *Conn) PauseReading() { c.held.Store(true) }

// ResumeReading goes on reading.
func (c *Conn) ResumeReading() {
	c.held.Store(false)
	c.resumeReading()
}

// readAvailable reads and queues all there is to read. As polling is edge-triggered, nothing else would tell of it.
func (c *Conn) readAvailable(buffer []byte) {
	c.engine.polled.Store(true)
	c.announce() // that there is something to read tells that it is added
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for !c.readEnded {
		if (c.held.Load() || c.isAhead()) && !c.peerEndedWhileHeld() {
			return
		}
		_, n, err := c.conn.ReadAndGetConn(&buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil || n == 0:
			c.readEnded = true
			c.orderly.Store(err == nil)
			_ = c.conn.CloseWithError(err)
		default:
			c.queuedBytes += int64(n)
			c.engine.enqueue(Event{Kind: Data, Conn: c}, buffer[:n])
		}
	}
}

// isAhead tells whether so many bytes of the connection wait for the loop that it is read no further until they are
// taken; it is under readMu. It guards against a long value that is received faster than it is sent on: all that the
// kernel has of it would be in memory here before its server can be held. Event.Bytes resumes the reading.
func (c *Conn) isAhead() bool {
	if !c.queueIsFull() {
		return false
	}
	c.stalled.Store(true)
	// The loop may have taken the bytes since, without seeing that it is waited for. Where it has seen that, it has
	// taken the mark back, and resumes the reading itself.
	return c.queueIsFull() || !c.stalled.CompareAndSwap(true, false)
}

func (c *Conn) queueIsFull() bool {
	return c.queuedBytes-c.takenBytes.Load() >= c.engine.readAhead.Load()
}

// peerEndedWhileHeld tells whether the other side has ended a connection that is not read. nbio closes it then, and
// what is still in the kernel would be lost if it were not read now.
func (c *Conn) peerEndedWhileHeld() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		established, err := isEstablished(fd)
		closed = err != nil || !established
	})
	return closed
}

func isEstablished(fd uintptr) (bool, error) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false, err
	}
	return info.State == stateEstablished, nil
}

// resumeReading reads what has been received while nothing was read, of which the poller does not tell again. It does
// so on a goroutine of its own, as reading may wait for the loop, which calls this.
func (c *Conn) resumeReading() {
	go func() {
		buffer := readBuffers.Get().(*[]byte)
		c.readAvailable(*buffer)
		readBuffers.Put(buffer)
	}()
}

var readBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, readBufferSize)
	return &buffer
}}
