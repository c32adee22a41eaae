package netfault

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxDelayedDatagrams is the maximum number of datagrams that are delayed at a time; further ones are dropped.
	maxDelayedDatagrams = 20_000
	dialTimeout         = 2 * time.Second
	// retryPause is the pause after a failed accept of a stream or read of a datagram.
	retryPause = 5 * time.Millisecond
	// blockedCheckInterval is the interval at which a blocked stream checks whether the cut has ended.
	blockedCheckInterval = 20 * time.Millisecond
	// segmentSize is the maximum number of bytes of a stream that are forwarded at a time.
	segmentSize = 16 << 10
	// maxDatagramSize is the maximum size of a datagram, in bytes.
	maxDatagramSize = 1 << 16
	// portAttempts is the maximum number of attempts to find a port that is free for both UDP and TCP.
	portAttempts = 20
)

// Forwarder forwards datagrams and streams on loopback, with a listen address for each ordered pair of processes.
type Forwarder struct {
	*Faults

	mu        sync.Mutex
	listeners []listenerPair
	conns     map[net.Conn]bool // open connections, which Close closes
	delayed   int               // number of delayed datagrams
	closed    bool
}

// listenerPair is a UDP and a TCP listener at the same address.
type listenerPair struct {
	udp *net.UDPConn
	tcp *net.TCPListener
}

func (p listenerPair) close() {
	_ = p.udp.Close()
	_ = p.tcp.Close()
}

// NewForwarder returns a forwarder without listeners.
func NewForwarder(f *Faults) *Forwarder { return &Forwarder{Faults: f, conns: map[net.Conn]bool{}} }

// Listen opens the address at which one process reaches another, and returns it. Datagrams and streams are forwarded to
// target. It fails with net.ErrClosed after Close.
func (f *Forwarder) Listen(from, to int, target string) (string, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return "", err
	}
	pair, err := listenPair()
	if err != nil {
		return "", err
	}
	if !f.trackListeners(pair) {
		return "", net.ErrClosed
	}
	go f.forwardDatagrams(pair.udp, from, to, targetAddr)
	go f.acceptStreams(pair.tcp, from, to, target)
	return pair.udp.LocalAddr().String(), nil
}

// listenPair listens on a port that is free for both UDP and TCP.
func listenPair() (pair listenerPair, err error) {
	for range portAttempts {
		if pair.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return pair, err
		}
		addr, ok := pair.udp.LocalAddr().(*net.UDPAddr)
		if !ok {
			return pair, fmt.Errorf("the UDP socket has an address of type %T", pair.udp.LocalAddr())
		}
		if pair.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: addr.IP, Port: addr.Port}); err == nil {
			return pair, nil
		}
		_ = pair.udp.Close()
	}
	return pair, err
}

// datagramConn is what forwardDatagrams uses of a net.UDPConn.
type datagramConn interface {
	ReadFromUDPAddrPort(buffer []byte) (n int, from netip.AddrPort, err error)
	WriteToUDP(body []byte, to *net.UDPAddr) (n int, err error)
}

// forwardDatagrams forwards datagrams until the forwarder is closed.
func (f *Forwarder) forwardDatagrams(conn datagramConn, from, to int, target *net.UDPAddr) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if f.isClosed() {
				return
			}
			time.Sleep(retryPause)
			continue // for example, the target did not listen when the previous datagram was sent
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

// delayDatagram sends a datagram after a delay, or drops it if maxDelayedDatagrams are delayed already.
func (f *Forwarder) delayDatagram(conn datagramConn, target *net.UDPAddr, body []byte, delay time.Duration) {
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

// acceptStreams accepts and forwards streams until the forwarder is closed.
func (f *Forwarder) acceptStreams(l *net.TCPListener, from, to int, target string) {
	for {
		conn, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		if !f.track(conn) {
			return
		}
		go f.forwardStream(conn, from, to, target)
	}
}

// forwardStream connects a stream to its target and forwards both directions until both have ended.
func (f *Forwarder) forwardStream(client *net.TCPConn, from, to int, target string) {
	defer f.closeConn(client)
	if !f.awaitSegment(from, to, client) { // a handshake needs both directions
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // the client sees a reset, as the target refused the connection
		return
	}
	if !f.track(server) {
		return
	}
	defer f.closeConn(server)
	var both sync.WaitGroup
	both.Go(func() { f.forward(from, to, client, server) })
	both.Go(func() { f.forward(to, from, server, client) })
	both.Wait()
}

// forward forwards one direction of a stream until its end, which it passes on.
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

// awaitSegment waits for the delay of a segment and for the end of a cut. It returns false if conn was closed during
// a cut. After the delay it checks for a cut again: a segment must not arrive during a cut that began while it was
// delayed.
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
		if !f.isTracked(conn) {
			return false
		}
	}
}

// trackListeners registers listeners, so that Close closes them. If the forwarder is already closed it closes them and
// returns false.
func (f *Forwarder) trackListeners(pair listenerPair) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		pair.close()
		return false
	}
	f.listeners = append(f.listeners, pair)
	return true
}

func (f *Forwarder) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

func (f *Forwarder) isTracked(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.closed && f.conns[conn]
}

// track registers a connection, so that Close closes it. If the forwarder is already closed it closes the connection
// and returns false.
func (f *Forwarder) track(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = conn.Close()
		return false
	}
	f.conns[conn] = true
	return true
}

// closeConn closes a connection and removes its registration.
func (f *Forwarder) closeConn(conn net.Conn) {
	f.mu.Lock()
	delete(f.conns, conn)
	f.mu.Unlock()
	_ = conn.Close()
}

// Close closes all listeners and connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, pair := range f.listeners {
		pair.close()
	}
	for conn := range f.conns {
		_ = conn.Close()
	}
}
