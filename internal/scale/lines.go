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
	mostLate    = 20_000                // datagrams of a process that are late at a time; more are lost
	lateAhead   = 1024                  // of these, that wait to be read by one node; more are lost
	lookAtCutBy = 20 * time.Millisecond // between looks of a stream that stands still
)

// ruler keeps the rules between regions for a process of hollow nodes. Hollow nodes keep them for what they send. Real
// ones know of no rules: those to whom they send keep them for what comes from there.
type ruler struct {
	faults *netfault.Faults
	late   atomic.Int64
	lost   atomic.Uint64 // for want of room here, which no rule asked for
}

// lines wraps a node's sockets so that they go by the rules of its region.
func (r *ruler) lines(l gossip.Transport, region RegionID) gossip.Transport {
	dial := l.Dial
	l.Datagrams = &ruledDatagrams{PacketConn: l.Datagrams, r: r, region: region}
	l.Streams = &ruledStreams{Listener: l.Streams, r: r, region: region}
	l.Dial = func(addr string, within time.Duration) (net.Conn, error) {
		by := time.Now().Add(within)
		to, role, known := ofAddr(addr)
		if !known || to == region {
			return dial(addr, within)
		}
		c := &ruledConn{r: r, from: region, to: to, ruleIn: role == Real}
		until := func() time.Time { return by }
		if !c.passes(region, to, until) || !c.passes(to, region, until) { // there and back, until it is up
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

func ofAddr(addr string) (RegionID, Role, bool) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, "", false
	}
	return whose(at.Addr())
}

type datagram struct {
	body []byte
	from net.Addr
}

type ruledDatagrams struct {
	net.PacketConn
	r      *ruler
	region RegionID
	mu     sync.Mutex
	late   []datagram // have come, of real nodes in other regions
}

// WriteTo sends by the rule of the pair.
func (d *ruledDatagrams) WriteTo(b []byte, to net.Addr) (int, error) {
	region, _, known := whose(to.(*net.UDPAddr).AddrPort().Addr())
	if !known || region == d.region {
		return d.PacketConn.WriteTo(b, to)
	}
	for _, late := range d.r.faults.Fate(int(d.region), int(region)) {
		if late == 0 {
			_, _ = d.PacketConn.WriteTo(b, to)
			continue
		}
		body := append([]byte(nil), b...)
		d.r.after(late, func() { _, _ = d.PacketConn.WriteTo(body, to) })
	}
	return len(b), nil
}

// after does something late, unless too much waits.
func (r *ruler) after(late time.Duration, do func()) {
	if r.late.Add(1) > mostLate {
		r.late.Add(-1)
		r.lost.Add(1)
		return
	}
	time.AfterFunc(late, func() {
		r.late.Add(-1)
		do()
	})
}

// ReadFrom hands over the next that has come. What real nodes send from other regions waits first.
func (d *ruledDatagrams) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		d.mu.Lock()
		if len(d.late) > 0 {
			got := d.late[0]
			d.late = d.late[1:]
			d.mu.Unlock()
			return copy(b, got.body), got.from, nil
		}
		_ = d.SetReadDeadline(time.Time{})
		d.mu.Unlock()
		n, from, err := d.PacketConn.ReadFrom(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // something that was late is there
		}
		if err != nil {
			return n, from, err
		}
		region, role, known := whose(from.(*net.UDPAddr).AddrPort().Addr())
		if !known || role != Real || region == d.region {
			return n, from, nil
		}
		for _, late := range d.r.faults.Fate(int(region), int(d.region)) {
			got := datagram{append([]byte(nil), b[:n]...), from}
			d.r.after(late, func() { d.hand(got) })
		}
	}
}

// hand puts one that was late before the reader, and wakes it.
func (d *ruledDatagrams) hand(got datagram) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.late) >= lateAhead {
		d.r.lost.Add(1)
		return
	}
	d.late = append(d.late, got)
	_ = d.SetReadDeadline(time.Unix(1, 0))
}

type ruledStreams struct {
	net.Listener
	r      *ruler
	region RegionID
}

// Accept takes the next stream; its rule is kept as it is read and written.
func (s *ruledStreams) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	to, role, known := ofAddr(c.RemoteAddr().String())
	if !known || to == s.region {
		return c, nil
	}
	return &ruledConn{Conn: c, r: s.r, from: s.region, to: to, ruleIn: role == Real}, nil
}

// ruledConn is a stream between regions.
type ruledConn struct {
	net.Conn
	r              *ruler
	from, to       RegionID // from here to the other
	ruleIn         bool     // also for what comes: the other keeps no rules
	readBy, sendBy atomic.Int64
	came           bool // something has; its reader's own
}

// passes waits until a piece has come through, and tells whether it has in time.
func (c *ruledConn) passes(from, to RegionID, by func() time.Time) bool {
	for {
		late, stands := c.r.faults.Piece(int(from), int(to))
		wait := late
		if stands {
			wait = lookAtCutBy
		}
		if end := by(); !end.IsZero() && time.Until(end) < wait {
			time.Sleep(max(0, time.Until(end)))
			return false
		}
		time.Sleep(wait)
		if !stands {
			return true
		}
	}
}

// longestStill ends a stream that nobody has given a deadline.
const longestStill = 30 * time.Second

func deadline(at *atomic.Int64) func() time.Time {
	still := time.Now().Add(longestStill)
	return func() time.Time {
		if by := at.Load(); by != 0 {
			return time.Unix(0, by)
		}
		return still
	}
}

func (c *ruledConn) Write(b []byte) (int, error) {
	if !c.passes(c.from, c.to, deadline(&c.sendBy)) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(b)
}

func (c *ruledConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.ruleIn && !c.came { // what follows at once comes as fast as it was sent
		c.came = true
		if !c.passes(c.to, c.from, deadline(&c.readBy)) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

func setTo(at *atomic.Int64, t time.Time) {
	at.Store(0)
	if !t.IsZero() {
		at.Store(t.UnixNano())
	}
}

func (c *ruledConn) SetDeadline(t time.Time) error {
	setTo(&c.readBy, t)
	setTo(&c.sendBy, t)
	return c.Conn.SetDeadline(t)
}

func (c *ruledConn) SetReadDeadline(t time.Time) error {
	setTo(&c.readBy, t)
	return c.Conn.SetReadDeadline(t)
}

func (c *ruledConn) SetWriteDeadline(t time.Time) error {
	setTo(&c.sendBy, t)
	return c.Conn.SetWriteDeadline(t)
}
