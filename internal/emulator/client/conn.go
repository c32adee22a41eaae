package client

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resetTimeout is the time after an orderly close in which a reset may still arrive. A reset means that the peer
	// had not read the last data that was sent to it.
	resetTimeout = 50 * time.Millisecond
	// resetChecks is the number of checks for a reset within resetTimeout.
	resetChecks = 10
)

// conn is a connection to a node.
type conn struct {
	*net.TCPConn
	reader   *bufio.Reader
	received receivedBytes
	used     bool // it has carried at least one response
}

// receivedBytes reads from a connection and counts the bytes.
type receivedBytes struct {
	from  io.Reader
	count int64
}

func (r *receivedBytes) Read(into []byte) (int, error) {
	n, err := r.from.Read(into)
	r.count += int64(n)
	return n, err
}

func newConn(stream *net.TCPConn) *conn {
	c := &conn{TCPConn: stream, received: receivedBytes{from: stream}}
	c.reader = bufio.NewReader(&c.received)
	return c
}

// wasRead reports, after the peer has closed the connection in an orderly way, whether it had read all data that was
// sent to it. If data was left unread, or arrived after the close, the peer's kernel answers it with a reset.
func (c *conn) wasRead() bool {
	for deadline := time.Now().Add(resetTimeout); time.Now().Before(deadline); time.Sleep(resetTimeout / resetChecks) {
		if c.socketError() != nil {
			return false
		}
		if _, err := c.peek(); err != nil {
			return false
		}
	}
	return true
}

// hasUnsolicited reports whether data has arrived while no request was in flight.
func (c *conn) hasUnsolicited() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// isOpen reports whether the node keeps the connection open and no data is waiting to be read.
func (c *conn) isOpen() bool {
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// peek looks at the next byte in the kernel's receive buffer without blocking or consuming it. It returns 0 once the
// peer has closed the connection.
func (c *conn) peek() (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var next [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// socketError returns the pending error of the socket (SO_ERROR), if any.
func (c *conn) socketError() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	errno := 0
	controlErr := raw.Control(func(fd uintptr) {
		errno, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	switch {
	case controlErr != nil:
		return controlErr
	case err != nil:
		return err
	case errno != 0:
		return unix.Errno(errno)
	}
	return nil
}
