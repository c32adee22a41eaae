package controlserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliapin/internal/control/controlwire"
)

const (
	maxPeerStreams   = 32                     // from other control servers: one each, and some that are about to end
	maxClients       = 64                     // clients that publish or ask at once
	acceptRetryDelay = 200 * time.Millisecond // after a failure to accept, as for want of descriptors
)

// lifecycle is how the goroutines of a server end.
type lifecycle struct {
	closed     chan struct{}  // closed when the server ends
	goroutines sync.WaitGroup // all of them
	endOnce    sync.Once
	fault      atomic.Pointer[error] // why the server had to end; nil for none
}

func newLifecycle() lifecycle { return lifecycle{closed: make(chan struct{})} }

// connections are all streams that are open, so that the end of the server closes them.
type connections struct {
	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

func newConnections() connections { return connections{open: map[net.Conn]bool{}} }

// add keeps a connection until remove. Where the server has ended it closes it and returns false.
func (c *connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.open[conn] = true
	return true
}

// remove closes a connection.
func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	delete(c.open, conn)
	c.mu.Unlock()
	_ = conn.Close()
}

// close closes all connections, also those that are added later.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		_ = conn.Close()
	}
}

// accept serves streams, at most so many at once, until the server ends. Streams beyond that are closed at once.
func (s *Server) accept(listener net.Listener, maxStreams, maxFrameBytes int, serve func(*controlwire.Stream)) {
	slots := make(chan struct{}, maxStreams)
	for {
		conn, err := listener.Accept()
		if err != nil {
			select {
			case <-s.closed:
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.status.rejectedStreams.Add(1)
			_ = conn.Close()
			continue
		}
		if !s.connections.add(conn) {
			return
		}
		s.goroutines.Go(func() {
			defer func() { <-slots }()
			defer s.connections.remove(conn)
			serve(controlwire.NewStream(conn, maxFrameBytes))
		})
	}
}
