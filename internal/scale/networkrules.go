package scale

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/membership/gossip"
)

const (
	maxDelayed            = 20_000                // delayed datagrams per process, above which others are dropped
	maxDelivered          = 1024                  // datagrams queued for a node after their delay, likewise
	partitionPollInterval = 20 * time.Millisecond // interval at which a stalled stream checks for the partition's end
)

// networkRules applies delay, loss and partitions between regions in a process of simulated nodes. Simulated nodes
// apply the rules to the messages that they send. Real nodes apply no rules, so that simulated nodes also apply them to
// the messages that they receive from real nodes.
type networkRules struct {
	faults  *netfault.Faults
	delayed atomic.Int64  // number of delayed datagrams
	dropped atomic.Uint64 // messages dropped because a queue was full, not by a rule
}

// wrap returns a node's sockets with the rules of its region applied.
func (r *networkRules) wrap(l gossip.Transport, region RegionID) gossip.Transport {
	dial := l.Dial
	l.Datagrams = &ruledDatagrams{PacketConn: l.Datagrams, r: r, region: region}
	l.Streams = &ruledStreams{Listener: l.Streams, r: r, region: region}
	l.Dial = func(addr string, within time.Duration) (net.Conn, error) {
		by := time.Now().Add(within)
		to, role, known := locateAddr(addr)
		if !known || to == region {
			return dial(addr, within)
		}
		c := &ruledConn{r: r, from: region, to: to, delaysReads: role == Real}
		until := func() time.Time { return by }
		if !c.passes(region, to, until) || !c.passes(to, region, until) { // the handshake takes one round trip
			return nil, os.ErrDeadlineExceeded
		}
		var err error
		if c.Conn, err = dial(addr, max(time.Millisecond, time.Until(by))); err != nil {
			return nil, err
		}
		return c, nil
	}
	return l
}

// locateAddr is locate for an address with a port.
func locateAddr(addr string) (RegionID, Role, bool) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, "", false
	}
	return locate(at.Addr())
}

type datagram struct {
	body []byte
	from net.Addr
}

// ruledDatagrams is a datagram socket that applies the network rules.
type ruledDatagrams struct {
	net.PacketConn
	r       *networkRules
	region  RegionID
	mu      sync.Mutex
	arrived []datagram // datagrams of real nodes in other regions whose delay has elapsed, not read yet
}

// WriteTo sends a datagram according to the rule for the two regions.
func (d *ruledDatagrams) WriteTo(b []byte, to net.Addr) (int, error) {
	region, _, known := locate(to.(*net.UDPAddr).AddrPort().Addr())
	if !known || region == d.region {
		return d.PacketConn.WriteTo(b, to)
	}
	for _, delay := range d.r.faults.Datagram(int(d.region), int(region)) {
		if delay == 0 {
			_, _ = d.PacketConn.WriteTo(b, to)
			continue
		}
		body := append([]byte(nil), b...)
		d.r.afterDelay(delay, func() { _, _ = d.PacketConn.WriteTo(body, to) })
	}
	return len(b), nil
}

// afterDelay calls do after a delay. If maxDelayed messages are delayed already, it counts the message as lost instead.
func (r *networkRules) afterDelay(delay time.Duration, do func()) {
	if r.delayed.Add(1) > maxDelayed {
		r.delayed.Add(-1)
		r.dropped.Add(1)
		return
	}
	time.AfterFunc(delay, func() {
		r.delayed.Add(-1)
		do()
	})
}

// ReadFrom returns the next datagram. It delays datagrams of real nodes in other regions, which apply no rules.
func (d *ruledDatagrams) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		d.mu.Lock()
		if len(d.arrived) > 0 {
			next := d.arrived[0]
			d.arrived = d.arrived[1:]
			d.mu.Unlock()
			return copy(b, next.body), next.from, nil
		}
		_ = d.SetReadDeadline(time.Time{})
		d.mu.Unlock()
		n, from, err := d.PacketConn.ReadFrom(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // deliver has queued a datagram and interrupted the read
		}
		if err != nil {
			return n, from, err
		}
		region, role, known := locate(from.(*net.UDPAddr).AddrPort().Addr())
		if !known || role != Real || region == d.region {
			return n, from, nil
		}
		for _, delay := range d.r.faults.Datagram(int(region), int(d.region)) {
			got := datagram{append([]byte(nil), b[:n]...), from}
			d.r.afterDelay(delay, func() { d.deliver(got) })
		}
	}
}

// deliver queues a datagram whose delay has elapsed, and interrupts the reader by a deadline in the past.
func (d *ruledDatagrams) deliver(got datagram) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.arrived) >= maxDelivered {
		d.r.dropped.Add(1)
		return
	}
	d.arrived = append(d.arrived, got)
	_ = d.SetReadDeadline(time.Unix(1, 0))
}

// ruledStreams is a stream listener that applies the network rules.
type ruledStreams struct {
	net.Listener
	r      *networkRules
	region RegionID
}

// Accept returns the next stream. The rule for the two regions applies to its reads and writes.
func (s *ruledStreams) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	to, role, known := locateAddr(c.RemoteAddr().String())
	if !known || to == s.region {
		return c, nil
	}
	return &ruledConn{Conn: c, r: s.r, from: s.region, to: to, delaysReads: role == Real}, nil
}

// ruledConn is a stream between regions.
type ruledConn struct {
	net.Conn
	r              *networkRules
	from, to       RegionID     // the local and the remote region
	delaysReads    bool         // the peer is a real node, which applies no rules to the data that it sends
	readBy, sendBy atomic.Int64 // deadlines in Unix nanoseconds; 0 for none
	received       bool         // the first data has been received and delayed; used by the reader only
	unread         []byte       // first data that Read has not returned yet; used by the reader only
}

// passes waits for the delay between two regions, and reports whether it has elapsed by the deadline.
func (c *ruledConn) passes(from, to RegionID, by func() time.Time) bool {
	for {
		delay, blocked := c.r.faults.Segment(int(from), int(to))
		wait := delay
		if blocked {
			wait = partitionPollInterval
		}
		if end := by(); !end.IsZero() && time.Until(end) < wait {
			time.Sleep(max(0, time.Until(end)))
			return false
		}
		time.Sleep(wait)
		if !blocked && !c.r.faults.Blocked(int(from), int(to)) { // a partition may have begun during the delay
			return true
		}
	}
}

// maxStallTime is the maximum time for which a stream without a deadline stalls.
const maxStallTime = 30 * time.Second

// deadline returns a function that returns the current deadline, or the end of maxStallTime if there is none.
func deadline(at *atomic.Int64) func() time.Time {
	stallEnd := time.Now().Add(maxStallTime)
	return func() time.Time {
		if by := at.Load(); by != 0 {
			return time.Unix(0, by)
		}
		return stallEnd
	}
}

func (c *ruledConn) Write(b []byte) (int, error) {
	if !c.passes(c.from, c.to, deadline(&c.sendBy)) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(b)
}

// Read delays the first data of a real node. That shifts the rest, which keeps its spacing. If a deadline ends the
// delay early, the data is kept for the next read.
func (c *ruledConn) Read(b []byte) (int, error) {
	if c.delaysReads && !c.received {
		if err := c.receiveFirst(len(b)); err != nil {
			return 0, err
		}
	}
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// receiveFirst reads the first data, at most the given number of bytes, and waits for the delay of the network.
func (c *ruledConn) receiveFirst(most int) error {
	if len(c.unread) == 0 {
		buffer := make([]byte, most)
		n, err := c.Conn.Read(buffer)
		if n == 0 {
			return err
		}
		c.unread = buffer[:n] // an error is returned again by the next read
	}
	if !c.passes(c.to, c.from, deadline(&c.readBy)) {
		return os.ErrDeadlineExceeded
	}
	c.received = true
	return nil
}

// storeDeadline stores a deadline; the zero time means none.
func storeDeadline(at *atomic.Int64, t time.Time) {
	at.Store(0)
	if !t.IsZero() {
		at.Store(t.UnixNano())
	}
}

func (c *ruledConn) SetDeadline(t time.Time) error {
	storeDeadline(&c.readBy, t)
	storeDeadline(&c.sendBy, t)
	return c.Conn.SetDeadline(t)
}

func (c *ruledConn) SetReadDeadline(t time.Time) error {
	storeDeadline(&c.readBy, t)
	return c.Conn.SetReadDeadline(t)
}

func (c *ruledConn) SetWriteDeadline(t time.Time) error {
	storeDeadline(&c.sendBy, t)
	return c.Conn.SetWriteDeadline(t)
}
