package sockets

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Dial starts to open a connection; Connected or Refused with the id follows. It returns ErrNoDescriptor if the limit
// of descriptors is reached.
func (e *Engine) Dial(addr string, timeout time.Duration, id uint64) error {
	if e.openDescriptors.Add(1) > e.descriptorLimit.Load() {
		e.openDescriptors.Add(-1)
		return ErrNoDescriptor
	}
	go e.dial(addr, timeout, id)
	return nil
}

// dial opens a connection with the standard library. nbio's own dialing reads the first four bytes of an address of
// sixteen, and so calls 0.0.0.0 whatever it is given.
func (e *Engine) dial(addr string, timeout time.Duration, id uint64) {
	nc, err := dialNBIO(addr, timeout)
	if err != nil {
		e.descriptorFreed()
		local := isLocal(err)
		if local {
			time.Sleep(e.localFailures.pause(addr, time.Now()))
		}
		e.enqueue(Event{Kind: DialFailed, DialID: id, LocalFailure: local}, nil)
		return
	}
	e.localFailures.forget(addr)
	e.dialing.RLock()
	defer e.dialing.RUnlock()
	if e.stopped {
		_ = nc.Close()
		return
	}
	c := &Conn{engine: e, conn: nc, Dialed: true, Tag: id}
	nc.SetSession(c)
	_, _ = e.poller.AddConn(nc) // one that cannot be added is closed, and Closed follows
	c.announce()
}

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

// localErrors are the errors of connecting for want of something on this machine, mostly for a moment.
var localErrors = []error{
	unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ENFILE, unix.EAGAIN,
	unix.ENOSPC, // of watches of epoll
}

// isLocal tells whether connecting failed on this machine, so that the server, which was never called, is not to be
// taken for unavailable.
func isLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}
