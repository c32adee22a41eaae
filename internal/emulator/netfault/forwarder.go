package netfault

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// maxDelayedDatagrams bounds the datagrams that are delayed at a time; further ones are lost.
	maxDelayedDatagrams = 20_000
	dialTimeout         = 2 * time.Second
	// acceptRetryPause is the pause after an accept that failed.
	acceptRetryPause = 5 * time.Millisecond
	// blockedCheckInterval is the time between two looks of a stream that stands still.
	blockedCheckInterval = 20 * time.Millisecond
	// segmentSize is how many bytes of a stream are forwarded at a time.
	segmentSize = 16 << 10
	// maxDatagramSize is the size of the largest datagram, in bytes.
	maxDatagramSize = 1 << 16
	// portAttempts is how often a port is looked for that is free for datagrams and streams.
	portAttempts = 20
)

// Forwarder forwards datagrams and streams on loopback, with an address for each ordered pair of processes.
type Forwarder struct {
	*Faults

	mu        sync.Mutex
	listeners []listenerPair
	conns     map[net.Conn]bool
	delayed   int // datagrams
	closed    bool
}

// listenerPair listens for datagrams and streams at one address.
type listenerPair struct {
	udp *net.UDPConn
	tcp *net.TCPListener
}

// NewForwarder returns a forwarder without addresses.
func NewForwarder(f *Faults) *Forwarder { return &Forwarder{Faults: f, conns: map[net.Conn]bool{}} }

// Listen returns the address at which one process reaches another, which listens at target for datagrams and streams.
func (f *Forwarder) Listen(from, to int, target string) (string, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return "", err
	}
	pair, err := listenPair()
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	f.listeners = append(f.listeners, pair)
	f.mu.Unlock()
	go f.forwardDatagrams(pair.udp, from, to, targetAddr)
	go f.acceptStreams(pair.tcp, from, to, target)
	return pair.udp.LocalAddr().String(), nil
}

// listenPair looks for a port that is free for both datagrams and streams.
func listenPair() (pair listenerPair, err error) {
	for range portAttempts {
		if pair.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return pair, err
		}
		addr, ok := pair.udp.LocalAddr().(*net.UDPAddr)
		if !ok {
			return pair, errors.New("a socket for datagrams has no address of its kind")
		}
		if pair.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: addr.IP, Port: addr.Port}); err == nil {
			return pair, nil
		}
		_ = pair.udp.Close()
	}
	return pair, err
}

func (f *Forwarder) forwardDatagrams(conn *net.UDPConn, from, to int, target *net.UDPAddr) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if f.isClosed() {
				return
			}
			continue // nobody listened for the last one
		}
		for _, delay := range f.Datagram(from, to) {
			if delay == 0 {
				_, _ = conn.WriteToUDP(buffer[:n], target)
				continue
			}
			f.delayDatagram(conn, target, append([]byte(nil), buffer[:n]...), delay)
		}
	}
}

// delayDatagram sends a datagram later, unless too many are delayed already.
func (f *Forwarder) delayDatagram(conn *net.UDPConn, target *net.UDPAddr, body []byte, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.delayed >= maxDelayedDatagrams {
		return
	}
	f.delayed++
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		f.delayed--
		f.mu.Unlock()
		_, _ = conn.WriteToUDP(body, target)
	})
}

func (f *Forwarder) acceptStreams(l *net.TCPListener, from, to int, target string) {
	for {
		conn, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		if !f.hold(conn) {
			return
		}
		go f.forwardStream(conn, from, to, target)
	}
}

// forwardStream connects a stream to its target, and forwards both directions until both have ended.
func (f *Forwarder) forwardStream(client *net.TCPConn, from, to int, target string) {
	defer f.release(client)
	if !f.awaitSegment(from, to, client) { // a connection comes up over both directions
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // refused there, reset here
		return
	}
	if !f.hold(server) {
		return
	}
	defer f.release(server)
	var both sync.WaitGroup
	both.Go(func() { f.forward(from, to, client, server) })
	both.Go(func() { f.forward(to, from, server, client) })
	both.Wait()
}

// forward forwards one direction of a stream.
func (f *Forwarder) forward(from, to int, in, out net.Conn) {
	buffer := make([]byte, segmentSize)
	for {
		n, readErr := in.Read(buffer)
		if n > 0 {
			if !f.awaitSegment(from, to, out) {
				_ = in.Close()
				return
			}
			if _, err := out.Write(buffer[:n]); err != nil {
				_ = in.Close()
				return
			}
		}
		if readErr != nil {
			if stream, ok := out.(*net.TCPConn); ok {
				_ = stream.CloseWrite()
			}
			return
		}
	}
}

// awaitSegment waits until a segment has come through, and reports whether the connection it is for is still there.
// Guards against a segment that arrives during a cut that began while it was delayed.
func (f *Forwarder) awaitSegment(from, to int, conn net.Conn) bool {
	for {
		delay, blocked := f.Segment(from, to)
		if !blocked {
			time.Sleep(delay)
			if !f.Blocked(from, to) {
				return true
			}
		}
		time.Sleep(blockedCheckInterval)
		if !f.isHeld(conn) {
			return false
		}
	}
}

func (f *Forwarder) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

func (f *Forwarder) isHeld(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.closed && f.conns[conn]
}

// hold notes a connection, to be closed with the forwarder. It reports false, and closes it, if that is closed already.
func (f *Forwarder) hold(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = conn.Close()
		return false
	}
	f.conns[conn] = true
	return true
}

func (f *Forwarder) release(conn net.Conn) {
	f.mu.Lock()
	delete(f.conns, conn)
	f.mu.Unlock()
	_ = conn.Close()
}

// Close ends all listeners and connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, pair := range f.listeners {
		_ = pair.udp.Close()
		_ = pair.tcp.Close()
	}
	for conn := range f.conns {
		_ = conn.Close()
	}
}
