package controlserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dahliapin/internal/control/controlwire"
)

const (
	maxPeerStreams   = 32                     // from other control servers: one each, and old ones that are closing
	maxClients       = 64                     // concurrent client streams, beside those of followers
	acceptRetryDelay = 200 * time.Millisecond // after a failure to accept, such as too many open files
)

// lifecycle stops the goroutines of a server.
type lifecycle struct {
	closed     chan struct{}  // closed when the server stops
	goroutines sync.WaitGroup // all of them
	endOnce    sync.Once
	stopErr    atomic.Pointer[error] // why the server had to stop; nil for none
}

func newLifecycle() lifecycle { return lifecycle{closed: make(chan struct{})} }

// connections tracks the open connections, so that they can be closed when the server stops.
type connections struct {
	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

func newConnections() connections { return connections{open: map[net.Conn]bool{}} }

// add tracks a connection until remove. After close it closes the connection and returns false.
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

// remove closes a connection and stops tracking it.
func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	delete(c.open, conn)
	c.mu.Unlock()
	_ = conn.Close()
}

// close closes all connections, and makes add close later ones.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		_ = conn.Close()
	}
}

// accept serves at most maxStreams streams at a time until the server stops, and closes streams beyond that limit.
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
