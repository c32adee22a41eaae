package netfault

import (
	"net"
	"sync"
	"time"
)

const (
	mostWaiting = 20_000 // datagrams that are late at a time
	dialBy      = 2 * time.Second
)

// Sockets forwards on loopback: an address for each ordered pair of processes.
type Sockets struct {
	*Faults
	mu     sync.Mutex
	doors  []door
	conns  map[net.Conn]bool
	wait   int
	closed bool
}

type door struct {
	udp *net.UDPConn
	tcp *net.TCPListener
}

// Open opens a go-between.
func Open(f *Faults) *Sockets { return &Sockets{Faults: f, conns: map[net.Conn]bool{}} }

// Door is where what one process sends to another is taken, which hears at an address.
func (s *Sockets) Door(from, to int, hears string) (string, error) {
	target, err := net.ResolveUDPAddr("udp", hears)
	if err != nil {
		return "", err
	}
	var d door
	for range 20 { // the stream's port has to be free where the datagrams' is
		if d.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return "", err
		}
		at := d.udp.LocalAddr().(*net.UDPAddr)
		if d.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: at.IP, Port: at.Port}); err == nil {
			break
		}
		_ = d.udp.Close()
	}
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.doors = append(s.doors, d)
	s.mu.Unlock()
	go s.datagrams(d.udp, from, to, target)
	go s.streams(d.tcp, from, to, hears)
	return d.udp.LocalAddr().String(), nil
}

func (s *Sockets) datagrams(c *net.UDPConn, from, to int, target *net.UDPAddr) {
	buf := make([]byte, 1<<16)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if closed {
				return
			}
			continue // nobody heard the last one
		}
		for _, late := range s.Fate(from, to) {
			if late == 0 {
				_, _ = c.WriteToUDP(buf[:n], target)
				continue
			}
			body := append([]byte(nil), buf[:n]...)
			s.mu.Lock()
			full := s.wait >= mostWaiting
			if !full {
				s.wait++
			}
			s.mu.Unlock()
			if full {
				continue
			}
			time.AfterFunc(late, func() {
				s.mu.Lock()
				s.wait--
				s.mu.Unlock()
				_, _ = c.WriteToUDP(body, target)
			})
		}
	}
}

func (s *Sockets) streams(l *net.TCPListener, from, to int, hears string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if !s.hold(c) {
			return
		}
		go func() {
			defer s.release(c)
			if !s.passes(from, to, c) { // a connection comes up over both directions
				return
			}
			t, err := net.DialTimeout("tcp", hears, dialBy)
			if err != nil {
				_ = c.(*net.TCPConn).SetLinger(0) // refused there, reset here
				return
			}
			if !s.hold(t) {
				return
			}
			defer s.release(t)
			over := make(chan struct{}, 2)
			go func() { s.carry(from, to, c, t); over <- struct{}{} }()
			go func() { s.carry(to, from, t, c); over <- struct{}{} }()
			<-over
			<-over
		}()
	}
}

// carry carries one direction of a stream.
func (s *Sockets) carry(from, to int, in, out net.Conn) {
	buf := make([]byte, pieceOfCarry)
	for {
		n, err := in.Read(buf)
		if n > 0 && (!s.passes(from, to, out) || write(out, buf[:n]) != nil) {
			_ = in.Close()
			return
		}
		if err != nil {
			if t, is := out.(*net.TCPConn); is {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

func write(c net.Conn, b []byte) error {
	_, err := c.Write(b)
	return err
}

// passes waits until a piece has come through, and tells whether there still is anybody.
func (s *Sockets) passes(from, to int, c net.Conn) bool {
	for {
		late, stands := s.Piece(from, to)
		if !stands {
			time.Sleep(late)
			return true
		}
		time.Sleep(lookAtCutBy)
		s.mu.Lock()
		gone := s.closed || !s.conns[c]
		s.mu.Unlock()
		if gone {
			return false
		}
	}
}

func (s *Sockets) hold(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Sockets) release(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
}

// Close ends it all.
func (s *Sockets) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, d := range s.doors {
		_ = d.udp.Close()
		_ = d.tcp.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
}
