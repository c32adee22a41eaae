package realtime

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/emulator/world"
	"dahliapin/internal/freeport"
)

const (
	tcpEstablished      = 1                      // TCP_ESTABLISHED, the kernel's state of an established connection
	maxQueuedAnswers    = 64                     // per connection; a peer that lets more queue up is disconnected
	readBufferSize      = 16 << 10               // bytes per read
	maxCommandSize      = 1 << 20                // bytes of an incomplete command, beyond which a connection is closed
	backlogFillTimeout  = 50 * time.Millisecond  // for a dial that fills the listen backlog
	frozenCheckInterval = time.Millisecond       // between checks whether a frozen cache runs again
	relistenDelay       = 100 * time.Millisecond // between attempts to listen on a server's former address
	garbageAnswer       = "\x8c\xa1\x00 no answer of any protocol \xff\r\n"
)

// server is a cache or the origin, which listens on a loopback socket.
type server struct {
	rig            *Rig
	number         int
	address        *freeport.Reservation
	listener       net.Listener // nil while connections are refused
	conns          map[*serverConn]bool
	fault          string        // of its connections, set by SetFault; "" for none
	backlogFillers []net.Conn    // connections that fill the listen backlog of a silent server
	responsive     chan struct{} // closed unless the server is silent
	httpServer     *http.Server  // of the origin; nil for a cache
}

// openServer creates a server and starts listening on a free port.
func (r *Rig) openServer(number int) error {
	responsive := make(chan struct{})
	close(responsive)
	s := &server{rig: r, number: number, conns: map[*serverConn]bool{}, responsive: responsive}
	var err error
	if s.address, err = freeport.Reserve(); err != nil {
		return fmt.Errorf("cannot open emulated server %d: %w", number, err)
	}
	l, err := s.address.Listen()
	if err != nil {
		s.address.Close()
		return fmt.Errorf("cannot open a listener for emulated server %d: %w", number, err)
	}
	for len(r.servers) <= number {
		r.servers = append(r.servers, nil)
	}
	r.servers[number] = s
	s.serve(l)
	return nil
}

// updateListener opens the listener of a server that is up, or makes the server respond again. It creates a server that
// does not exist yet. Rig.mu must be locked.
func (r *Rig) updateListener(number int) {
	if number >= len(r.servers) || r.servers[number] == nil {
		if err := r.openServer(number); err != nil {
			r.failures = append(r.failures, err.Error())
		}
		return
	}
	s := r.servers[number]
	switch liveness := r.world.Servers[number].Liveness; {
	case liveness == world.Up && s.listener == nil && s.fault != "refuse" && !r.stopped:
		l, err := s.address.Listen()
		if err != nil { // for lack of descriptors or memory: the port is reserved
			r.At(r.now().Add(relistenDelay), func() { r.updateListener(number) })
			return
		}
		s.serve(l)
	case liveness == world.Up:
		s.resumeResponding()
	}
}

func (s *server) serve(l net.Listener) {
	s.listener = l
	if s.rig.world.IsOrigin(s.number) {
		s.httpServer = &http.Server{Handler: s}
		go s.httpServer.Serve(l)
		return
	}
	go s.accept(l)
}

func (s *server) accept(l net.Listener) {
	for {
		plain, err := l.Accept()
		if err != nil {
			return
		}
		r := s.rig
		r.mu.Lock()
		responsive := s.responsive
		r.mu.Unlock()
		if wasSilent := waitUntilClosed(responsive); wasSilent || peerClosed(plain) {
			// A silent server does not serve connections. It resets those made meanwhile once it responds again.
			closeWithReset(plain)
			continue
		}
		r.mu.Lock()
		r.log.Second(r.now()).Dials++
		if s.listener != l || !r.world.Connect(r.now(), s.number) {
			if at := r.world.Servers[s.number]; s.listener == l && at.OpenConnections >= at.Connections {
				r.log.Second(r.now()).FullDials++
			}
			r.mu.Unlock()
			closeWithReset(plain)
			continue
		}
		c := &serverConn{Conn: plain, server: s, outgoing: make(chan []byte, maxQueuedAnswers)}
		s.conns[c] = true
		r.world.Servers[s.number].OpenConnections++
		r.wakeClock()
		r.mu.Unlock()
		go c.write()
		go c.read()
	}
}

// ResetConnections resets all connections to a server, and closes its listener if it is down or refuses connections. A
// silent server stops responding instead, without a reset. Rig.mu must be locked.
func (r *Rig) ResetConnections(number int) {
	s := r.servers[number]
	if s == nil {
		return
	}
	liveness := r.world.Servers[number].Liveness
	if liveness == world.Silent {
		s.stopResponding()
		return
	}
	s.resumeResponding()
	for c := range s.conns {
		c.disconnect(true)
	}
	if s.httpServer != nil {
		go s.httpServer.Close()
		s.httpServer = nil
		s.listener = nil
	}
	if (liveness == world.Down || s.fault == "refuse") && s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
}

// stopResponding stops accepting connections, and fills the kernel's listen backlog so that the kernel establishes no
// new connections either. Rig.mu must be locked.
func (s *server) stopResponding() {
	l, ok := s.listener.(*net.TCPListener)
	if !ok {
		return
	}
	s.responsive = make(chan struct{})
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), 0) })
	}
	for range 3 { // one for the pending accept, two for a backlog of size 0
		go func() {
			if c, err := net.DialTimeout("tcp", s.address.Addr(), backlogFillTimeout); err == nil {
				s.rig.mu.Lock()
				s.backlogFillers = append(s.backlogFillers, c)
				s.rig.mu.Unlock()
			}
		}()
	}
}

// resumeResponding undoes stopResponding. Rig.mu must be locked.
func (s *server) resumeResponding() {
	select {
	case <-s.responsive:
		return
	default:
	}
	for _, c := range s.backlogFillers {
		closeWithReset(c)
	}
	s.backlogFillers = nil
	if l, ok := s.listener.(*net.TCPListener); ok {
		if raw, err := l.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { unix.Listen(int(fd), 512) })
		}
	}
	close(s.responsive)
}

// SetFault sets the fault of a server's connections, "" for none. Rig.mu must be locked.
func (r *Rig) SetFault(number int, kind string) {
	s := r.servers[number]
	s.fault = kind
	r.updateListener(number)
}

// close stops the server permanently. Rig.mu must be locked.
func (s *server) close() {
	if s == nil {
		return
	}
	s.resumeResponding()
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	s.address.Close()
	for c := range s.conns {
		c.disconnect(false)
	}
	if s.httpServer != nil {
		go s.httpServer.Close()
	}
}
