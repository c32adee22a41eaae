package sockets

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"
)

// acceptRetryPause is the pause after a failed accept. It prevents a busy loop.
const acceptRetryPause = 5 * time.Millisecond

// listener delays accepting while no descriptor is free or another process accepts the clients, which meanwhile wait in
// the kernel's queue. Only nbio's acceptor goroutine uses lastAccepted and socketClosed.
type listener struct {
	net.Listener
	engine       *Engine
	lastAccepted *nbio.Conn    // the connection that Accept returned last
	acceptorDone chan struct{} // closed once the acceptor accepts nothing more
	closed       chan struct{} // closed by nbio's call of Close, after which nbio does not call Accept again
	socketClosed bool          // the socket has been closed
}

// Accept returns the next connection as an nbio.Conn. It is called by nbio's acceptor.
func (l *listener) Accept() (net.Conn, error) {
	l.announceLast()
	for !l.socketClosed {
		l.engine.waitUntilAccepting()
		conn, err := l.accept()
		if err == nil {
			l.lastAccepted = conn
			return conn, nil
		}
		l.socketClosed = errors.Is(err, net.ErrClosed)
		if !l.socketClosed && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptRetryPause)
		}
	}
	select {
	case <-l.acceptorDone:
	default:
		close(l.acceptorDone)
	}
	<-l.closed // if Accept returned an error immediately, nbio would call it in a busy loop
	return nil, net.ErrClosed
}

// announceLast announces the connection that Accept returned last. A new call of Accept shows that nbio has added that
// connection to its poller.
func (l *listener) announceLast() {
	if l.lastAccepted == nil {
		return
	}
	if c := l.engine.connOf(l.lastAccepted); c != nil {
		c.announce()
	}
	l.lastAccepted = nil
}

// accept accepts a connection and converts it into one of nbio. The conversion needs a second descriptor temporarily,
// and is retried until there is one: nbio would otherwise close the connection without a callback. Its descriptor would
// stay counted as open, and a client that has already sent a request would get no answer.
func (l *listener) accept() (*nbio.Conn, error) {
	plain, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(plain)
	for isLocalError(err) && !l.engine.isStopped() {
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

// Close is called by nbio when it stops. Engine.Stop has already closed the socket.
func (l *listener) Close() error {
	close(l.closed)
	return nil
}

// Addr returns the address of the listener with index n, in the order of the addresses passed to New.
func (e *Engine) Addr(n int) net.Addr { return e.listeners[n].Addr() }

// Listeners returns the listening sockets, so that they can be passed to another process.
func (e *Engine) Listeners() []net.Listener {
	var sockets []net.Listener
	for _, l := range e.listeners {
		sockets = append(sockets, l.Listener)
	}
	return sockets
}

// SetAccepting starts or stops accepting clients. While this process does not accept them, another one that holds the
// same sockets can.
func (e *Engine) SetAccepting(accept bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acceptPaused = !accept
	deadline := time.Time{}
	if !accept {
		deadline = time.Unix(1, 0) // in the past, which ends a blocked accept
	}
	for _, l := range e.listeners {
		if socket, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
			_ = socket.SetDeadline(deadline)
		}
	}
	e.stateChanged.Broadcast()
}

// waitUntilAccepting blocks the acceptor until clients are accepted or the engine stops.
func (e *Engine) waitUntilAccepting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.acceptPaused && !e.stopped {
		e.stateChanged.Wait()
	}
}

// listenerOf returns the index of the listener that accepted a connection with the given local address. It compares the
// IP address as well, because two listeners may share a port.
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
