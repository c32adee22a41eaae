package sockets

import (
	"errors"

	"golang.org/x/sys/unix"
)

// resetOnClose is the option SO_LINGER with which closing a socket sends a reset.
var resetOnClose = unix.Linger{Onoff: 1, Linger: 0}

// The functions in this file examine a connection's state here and in the kernel without reading from it.

// Idle reports whether the connection is open and the loop has taken everything that was received on it. sure is false
// if that cannot be determined without waiting for a goroutine that may itself wait for the loop.
func (c *Conn) Idle() (idle, sure bool) {
	if !c.readMu.TryLock() {
		return false, false
	}
	defer c.readMu.Unlock()
	if !c.allTaken() {
		return false, true
	}
	_ = c.socket.Control(func(descriptor int) {
		_, err := peek(descriptor)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return idle, true
}

// HasUnread reports whether the kernel holds bytes of the connection, or its end, that have not been queued yet.
func (c *Conn) HasUnread() bool {
	if !c.readMu.TryLock() { // bytes are being queued
		return true
	}
	defer c.readMu.Unlock()
	unread := false
	_ = c.socket.Control(func(descriptor int) {
		_, err := peek(descriptor)
		unread = err == nil
	})
	return unread
}

// PeerClosed reports whether the peer has closed or reset the connection, even if the loop has not received the event
// yet, because bytes sent earlier are still queued here or in the kernel. A peer that has only shut down its sending
// side counts as well, as this cannot be distinguished from a full close.
func (c *Conn) PeerClosed() bool {
	if c.readMu.TryLock() { // otherwise bytes are being queued: it is open here, and the kernel knows more
		ended := c.readEnded
		c.readMu.Unlock()
		if ended {
			return true
		}
	}
	closed := true
	_ = c.socket.Control(func(descriptor int) { closed = peerClosedInKernel(descriptor) })
	return closed
}

// peerClosedInKernel reports whether the kernel knows that the peer has closed or reset the connection.
func peerClosedInKernel(descriptor int) bool {
	n, err := peek(descriptor)
	if err != nil {
		return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	}
	if n == 0 {
		return true
	}
	// The peer's FIN may follow the bytes that are still unread.
	established, err := isEstablished(descriptor)
	return err == nil && !established
}

// CloseIfIdle closes the connection with a reset, unless the loop has not taken all received bytes or the peer has not
// acknowledged all written ones. It reports whether it has closed the connection. A reset tells the peer that anything
// it has just sent was not read; after an orderly close the peer could not distinguish that from a request that was
// received and not answered.
func (c *Conn) CloseIfIdle() bool {
	if !c.readMu.TryLock() { // bytes are being queued, which may wait for the loop, the caller of this method
		return false
	}
	defer c.readMu.Unlock()
	if !c.allTaken() || c.unsent.Load() > 0 {
		return false
	}
	unacknowledged := false
	err := c.socket.Control(func(descriptor int) {
		outgoing, err := unix.IoctlGetInt(descriptor, unix.TIOCOUTQ)
		unacknowledged = err == nil && outgoing > 0
		if !unacknowledged {
			_ = unix.SetsockoptLinger(descriptor, unix.SOL_SOCKET, unix.SO_LINGER, &resetOnClose)
		}
	})
	if err != nil || unacknowledged {
		return false
	}
	c.readEnded = true
	c.Close()
	return true
}

// allTaken reports whether the connection is open and the loop has taken everything that was read from it. The caller
// holds readMu.
func (c *Conn) allTaken() bool {
	open := !c.readEnded && !c.descriptorFreed.Load()
	return open && c.queuedBytes == c.takenBytes.Load()
}

// peek looks at the next unread byte in the kernel without blocking. It returns 0 at the end of the stream.
func peek(descriptor int) (n int, err error) {
	var next [1]byte
	n, _, err = unix.Recvfrom(descriptor, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}
