package sockets

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Dial starts to open a connection; the event Connected or DialFailed with the id follows. It returns ErrNoDescriptor
// if the limit of descriptors is reached.
func (e *Engine) Dial(addr string, timeout time.Duration, id uint64) error {
	if e.openDescriptors.Add(1) > e.descriptorLimit.Load() {
		e.openDescriptors.Add(-1)
		return ErrNoDescriptor
	}
	go e.dial(addr, timeout, id)
	return nil
}

// dial opens a connection with the standard library. nbio's own dialer takes the first four bytes of a 16-byte IP
// address, and so always dials 0.0.0.0.
func (e *Engine) dial(addr string, timeout time.Duration, id uint64) {
	nc, err := dialNBIO(addr, timeout)
	if err != nil {
		e.descriptorFreed()
		local := isLocalError(err)
		if local {
			time.Sleep(e.localFailures.delay(addr, time.Now()))
		}
		e.enqueue(Event{Kind: DialFailed, DialID: id, LocalFailure: local}, nil)
		return
	}
	e.localFailures.forget(addr)
	e.dialMu.RLock()
	defer e.dialMu.RUnlock()
	if e.stopped {
		_ = nc.Close()
		return
	}
	c := &Conn{engine: e, conn: nc, Dialed: true, Tag: id}
	nc.SetSession(c)
	_, _ = e.poller.AddConn(nc) // on failure nbio closes the connection, and the event Closed follows
	c.announce()
}

// dialNBIO dials with the standard library and converts the connection into one of nbio.
func dialNBIO(addr string, timeout time.Duration) (*nbio.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	dialer.SetMultipathTCP(false)
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	nc, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return nc, nil
}

// localErrors are the errors of connecting that a lack of resources on this machine causes. Most are transient.
var localErrors = []error{
	unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ENFILE, unix.EAGAIN,
	unix.ENOSPC, // the limit of epoll watches
}

// isLocalError reports whether connecting failed because of this machine. The server was not contacted then, and must
// not be considered unavailable.
func isLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}
