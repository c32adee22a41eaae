package sockets

import (
	"errors"
	"net"
	"slices"
	"time"

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

// dial opens a connection and queues the result.
func (e *Engine) dial(addr string, timeout time.Duration, id uint64) {
	c, err := e.connect(addr, timeout)
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
	c.Dialed = true
	c.Tag = id
	c.start()
}

// connect opens a connection that is not polled yet.
func (e *Engine) connect(addr string, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	dialer.SetMultipathTCP(false)
	plain, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c, err := e.newConn(plain)
	if err != nil {
		_ = plain.Close()
		return nil, err
	}
	return c, nil
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
