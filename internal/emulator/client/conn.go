package client

import (
	"bufio"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resetTimeout is how long after an orderly end a reset may take to come, which says that what was sent last had
	// not been read.
	resetTimeout = 50 * time.Millisecond
	// resetChecks is how often a reset is looked for in that time.
	resetChecks = 10
)

// conn is one connection to a node.
type conn struct {
	*net.TCPConn
	in   *bufio.Reader
	used bool // it has carried a response
}

// wasRead tells, after the other side's orderly end, whether that had read what was sent before. If not, or if the end
// was sent before that came, the kernel over there responds with a reset.
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

// hasUnsolicited tells whether bytes have come between two requests.
func (c *conn) hasUnsolicited() bool {
	if c.in.Buffered() > 0 {
		return true
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// isOpen tells whether the node holds the connection open, and nothing has come on it.
func (c *conn) isOpen() bool {
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// peek looks for the next byte in the kernel, without waiting. It returns 0 at the connection's end.
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

// socketError returns the error that the kernel has for the connection, if any.
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
