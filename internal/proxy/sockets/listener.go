package sockets

import (
	"errors"
	"net"
	"os"
	"time"
)

// acceptRetryPause is the pause after a failed accept. It prevents a busy loop.
const acceptRetryPause = 5 * time.Millisecond

// listener accepts clients. It waits while no descriptor is free or another process accepts the clients, which
// meanwhile wait in the kernel's queue.
type listener struct {
	socket net.Listener
	engine *Engine
	index  int           // in Engine.listeners
	done   chan struct{} // closed once nothing more is accepted
}

// run accepts clients until the socket is closed.
func (l *listener) run() {
	defer close(l.done)
	for {
		l.engine.waitUntilAccepting()
		c, err := l.accept()
		switch {
		case err == nil:
			l.engine.openDescriptors.Add(1)
			l.engine.waitForDescriptor()
			c.start()
			l.engine.acceptsPending.Add(-1)
		case errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			time.Sleep(acceptRetryPause)
		}
	}
}

// accept accepts a connection, and counts it in acceptsPending unless it fails. Taking it over needs a second
// descriptor temporarily, and is retried until there is one: a client that has already sent a request would otherwise
// get no answer.
func (l *listener) accept() (*Conn, error) {
	plain, err := l.socket.Accept()
	if err != nil {
		return nil, err
	}
	l.engine.acceptsPending.Add(1)
	c, err := l.engine.newConn(plain)
	for isLocalError(err) && !l.engine.isStopped() {
		time.Sleep(acceptRetryPause)
		c, err = l.engine.newConn(plain)
	}
	if err != nil {
		_ = plain.Close()
		l.engine.acceptsPending.Add(-1)
		return nil, err
	}
	c.Listener = l.index
	return c, nil
}

// Addr returns the address of the listener with index n, in the order of the addresses passed to New.
func (e *Engine) Addr(n int) net.Addr { return e.listeners[n].socket.Addr() }

// Listeners returns the listening sockets, so that they can be passed to another process.
func (e *Engine) Listeners() []net.Listener {
	var sockets []net.Listener
	for _, l := range e.listeners {
		sockets = append(sockets, l.socket)
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
		if socket, ok := l.socket.(interface{ SetDeadline(time.Time) error }); ok {
			_ = socket.SetDeadline(deadline)
		}
	}
	e.stateChanged.Broadcast()
}

// waitUntilAccepting blocks the acceptor until clients are accepted or the engine stops.
func (e *Engine) waitUntilAccepting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedAcceptors++
	for e.acceptPaused && !e.stopped {
		e.stateChanged.Wait()
	}
	e.pausedAcceptors--
}

// AcceptPending reports whether an acceptor holds a connection for which the event Accepted is not queued yet. While
// this process accepts no clients, it also reports true until each acceptor has noticed that: one that the kernel has
// given a connection may not have run since.
func (e *Engine) AcceptPending() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	mayHaveAccepted := e.acceptPaused && e.pausedAcceptors < len(e.listeners)
	return mayHaveAccepted || e.acceptsPending.Load() > 0
}
