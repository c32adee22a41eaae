package sockets

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"
)

// acceptRetryPause is the pause after an accept that failed, so that the acceptor does not spin.
const acceptRetryPause = 5 * time.Millisecond

// listener holds back accepting while no descriptor is free, or another process accepts. Clients wait in the kernel's
// queue meanwhile.
type listener struct {
	net.Listener
	engine *Engine
	last   *nbio.Conn    // the connection that Accept returned last; the acceptor's
	parked chan struct{} // closed once the acceptor does nothing any more
	closed chan struct{} // closed by nbio, which then does not call Accept any more
	ended  bool          // the socket was closed; the acceptor's
}

// Accept returns the next connection, as one of nbio's. It is called by nbio's acceptor.
func (l *listener) Accept() (net.Conn, error) {
	l.announceLast()
	for !l.ended {
		l.engine.waitUntilAccepting()
		conn, err := l.accept()
		if err == nil {
			l.last = conn
			return conn, nil
		}
		l.ended = errors.Is(err, net.ErrClosed)
		if !l.ended && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptRetryPause)
		}
	}
	select {
	case <-l.parked:
	default:
		close(l.parked)
	}
	<-l.closed // with an error at once nbio would call Accept without end
	return nil, net.ErrClosed
}

// announceLast tells the loop of the connection that was accepted before: that Accept is called again tells that nbio
// has added it.
func (l *listener) announceLast() {
	if l.last == nil {
		return
	}
	if c := l.engine.connOf(l.last); c != nil {
		c.announce()
	}
	l.last = nil
}

// accept accepts a connection and makes it nbio's. That needs another descriptor for a moment: where there is none,
// nbio would close the connection without a callback, and it would stay counted for good. So it is tried again until
// there is one. Guards against a client that has sent a request, and whose connection ends without an answer.
func (l *listener) accept() (*nbio.Conn, error) {
	plain, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(plain)
	for isLocal(err) && !l.engine.isStopped() {
		time.Sleep(acceptRetryPause)
		conn, err = nbio.NBConn(plain)
	}
	if err != nil {
		_ = plain.Close()
		return nil, err
	}
	l.engine.openDescriptors.Add(1)
	l.engine.waitForDescriptor()
	return conn, nil
}

// Close is called by nbio as it stops. Engine.Stop has closed the socket by then.
func (l *listener) Close() error {
	close(l.closed)
	return nil
}

// Addr returns the address of a listener by its number in New.
func (e *Engine) Addr(n int) net.Addr { return e.listeners[n].Addr() }

// Listeners returns the sockets that clients are accepted by, for another process.
func (e *Engine) Listeners() []net.Listener {
	var sockets []net.Listener
	for _, l := range e.listeners {
		sockets = append(sockets, l.Listener)
	}
	return sockets
}

// SetAccepting lets clients in from now on, or leaves them to another process that holds the same listeners.
func (e *Engine) SetAccepting(accept bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acceptPaused = !accept
	deadline := time.Time{}
	if !accept {
		deadline = time.Unix(1, 0) // in the past, which ends an accept that waits in the kernel
	}
	for _, l := range e.listeners {
		if socket, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
			_ = socket.SetDeadline(deadline)
		}
	}
	e.changed.Broadcast()
}

// waitUntilAccepting holds the acceptor while another process accepts clients.
func (e *Engine) waitUntilAccepting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.acceptPaused && !e.stopped {
		e.changed.Wait()
	}
}

// listenerOf returns the number of the listener that a connection came to. Two with one port have an address each.
func (e *Engine) listenerOf(local net.Addr) int {
	to, ok := local.(*net.TCPAddr)
	if !ok {
		return 0
	}
	for i, l := range e.listeners {
		addr, ok := l.Addr().(*net.TCPAddr)
		if ok && addr.Port == to.Port && (addr.IP.IsUnspecified() || addr.IP.Equal(to.IP)) {
			return i
		}
	}
	return 0
}
