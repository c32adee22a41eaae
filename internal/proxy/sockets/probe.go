package sockets

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// What follows looks at a connection's state here and in the kernel, without reading from it.

// Idle tells whether nothing has been received on the connection that the loop has not taken, and no end of it. It is
// not sure where that cannot be told without waiting for a goroutine that may wait for the loop.
func (c *Conn) Idle() (idle, sure bool) {
	if !c.readMu.TryLock() {
		return false, false
	}
	defer c.readMu.Unlock()
	raw, taken := c.allTaken()
	if !taken {
		return false, true
	}
	var err error
	_ = raw.Control(func(fd uintptr) { _, err = peek(fd) })
	return errors.Is(err, unix.EAGAIN), true
}

// HasUnread tells whether there are bytes of the connection, or its end, that have not been queued yet.
func (c *Conn) HasUnread() bool {
	if !c.readMu.TryLock() { // they are being queued
		return true
	}
	defer c.readMu.Unlock()
	raw, err := c.conn.SyscallConn()
	if err != nil || c.descriptorFreed.Load() {
		return false
	}
	unread := false
	_ = raw.Control(func(fd uintptr) {
		_, err := peek(fd)
		unread = err == nil
	})
	return unread
}

// PeerClosed tells whether the other side has ended the connection, by whatever means, though the loop may not know
// yet: the end stands behind all that was sent before it, here or in the kernel. An end of sending counts as an end,
// as it cannot be told from one of the whole connection.
func (c *Conn) PeerClosed() bool {
	if c.readMu.TryLock() { // else bytes are being queued, so that it is open here, and the kernel knows
		ended := c.readEnded
		c.readMu.Unlock()
		if ended {
			return true
		}
	}
	raw, err := c.conn.SyscallConn()
	if err != nil || c.descriptorFreed.Load() {
		return true
	}
	closed := false
	_ = raw.Control(func(fd uintptr) { closed = peerClosedInKernel(fd) })
	return closed
}

func peerClosedInKernel(fd uintptr) bool {
	n, err := peek(fd)
	if err != nil {
		return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	}
	if n == 0 {
		return true
	}
	// The end may stand behind what can be read.
	established, err := isEstablished(fd)
	return err == nil && !established
}

// CloseIfIdle closes the connection with a reset, unless bytes were received that the loop has not taken, or what was
// written has not arrived. It tells whether it has closed it. A reset tells the other side that whatever it has just
// sent was not read; after an orderly end it could not tell that from a request that was received and not answered.
func (c *Conn) CloseIfIdle() bool {
	if !c.readMu.TryLock() { // bytes are being queued, and may wait for the loop that calls this
		return false
	}
	defer c.readMu.Unlock()
	raw, taken := c.allTaken()
	if !taken || c.unsent.Load() > 0 {
		return false
	}
	outgoing := 0
	var err error
	_ = raw.Control(func(fd uintptr) { outgoing, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err == nil && outgoing > 0 {
		return false
	}
	c.readEnded = true
	_ = c.conn.SetLinger(1, 0) // so that closing resets
	c.Close()
	return true
}

// allTaken tells, under readMu, whether the connection is open and the loop has taken all that was read from it.
func (c *Conn) allTaken() (syscall.RawConn, bool) {
	raw, err := c.conn.SyscallConn()
	open := err == nil && !c.readEnded && !c.descriptorFreed.Load()
	return raw, open && c.queuedBytes == c.takenBytes.Load()
}

// peek looks for the next byte in the kernel, without waiting. It returns 0 at the connection's end.
func peek(fd uintptr) (n int, err error) {
	var next [1]byte
	n, _, err = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}
