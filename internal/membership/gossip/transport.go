package gossip

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/net/ipv4"
)

const (
	longestDatagram = 1400                   // bytes that go unbroken over any network, with what stands before them
	packetsAhead    = 1024                   // datagrams that may wait for the library; more are dropped and counted
	streamsAtOnce   = 32                     // that others may have open here: each is over in a moment
	streamsOut      = 4                      // that this node has open to others: it joins, exchanges and tries one that does not answer
	prefaceBy       = 2 * time.Second        // for a stream to say what it is
	anyPortTries    = 20                     // where any port will do
	refusedRest     = 200 * time.Millisecond // after a failure to accept, as for want of descriptors
	batch           = 16                     // datagrams read at once in a large fleet
	longestRead     = 4 << 10                // bytes of each: over any that members send; of longer ones the rest is lost
)

// Descriptors are the descriptors that a post may have.
const Descriptors = 2 + streamsAtOnce + streamsOut + 1 // its sockets, and a stream that is just being refused

// What stands before each datagram and stream: two bytes that are nobody else's, the version of this way of speaking, the kind, and
// the fleet. Guards against an address that has come to be another fleet's, whose nodes may well have the same names.
const (
	magic0, magic1 = 0xda, 0x17
	speaks         = 1
	prefaceLen     = 8
)

const (
	kindLibrary = 'g' // of the gossip library
	kindHello   = 'h' // a sign of life
)

func (t *transport) preface(kind byte) []byte {
	return binary.BigEndian.AppendUint32([]byte{magic0, magic1, speaks, kind}, t.label)
}

func (t *transport) prefaceOf(b []byte) (kind byte, ok bool) {
	if len(b) < prefaceLen || b[0] != magic0 || b[1] != magic1 || b[2] != speaks || binary.BigEndian.Uint32(b[4:]) != t.label {
		return 0, false
	}
	return b[3], true
}

// Transport are what datagrams and streams go over: sockets.
type Transport struct {
	Datagrams net.PacketConn
	Streams   net.Listener
	Dial      func(addr string, within time.Duration) (net.Conn, error)
	Addr      func(addr string) (net.Addr, error)
}

// Listen opens sockets for datagrams and streams at the same address.
func Listen(addr string) (Transport, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Transport{}, err
	}
	var udp *net.UDPConn
	var tcp *net.TCPListener
	for tries := 0; ; tries++ {
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
			return Transport{}, err
		}
		if tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(udp.LocalAddr().(*net.UDPAddr).AddrPort())); err == nil {
			break
		}
		_ = udp.Close()
		if at.Port() != 0 || tries == anyPortTries { // any port has to be free for both
			return Transport{}, err
		}
	}
	// as datagrams do, streams come from the address that others know, so that who hears can tell by it
	from := net.Dialer{}
	if !at.Addr().IsUnspecified() {
		from.LocalAddr = &net.TCPAddr{IP: at.Addr().AsSlice(), Zone: at.Addr().Zone()}
	}
	return Transport{Datagrams: udp, Streams: tcp,
		Dial: func(addr string, within time.Duration) (net.Conn, error) {
			d := from
			d.Timeout = within
			return d.Dial("tcp", addr)
		},
		Addr: func(addr string) (net.Addr, error) {
			at, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, err
			}
			return net.UDPAddrFromAddrPort(at), nil
		}}, nil
}

func (l *Transport) close() {
	_ = l.Datagrams.Close()
	_ = l.Streams.Close()
}

// traffic counts what came and went: datagrams, and what each kind of message took.
type traffic struct {
	in, inBytes, reads, out, outBytes, foreign, dropped, streams atomic.Uint64
	flows                                                        [flowKinds]tally
}

// transport carries the library's messages and the signs of life over the same two sockets. Whatever does not begin as it should is
// dropped with a count, before anybody reads it.
type transport struct {
	lines   Transport
	at      netip.AddrPort // as others see it
	label   uint32         // of the fleet
	ways    map[string]string
	hello   func(b []byte)
	packets chan *memberlist.Packet
	streams chan net.Conn
	slots   chan struct{}
	closed  chan struct{}
	once    sync.Once
	count   traffic
	seldom  atomic.Bool   // datagrams are read at looks only
	looks   chan struct{} // has one once there was a look
}

func newTransport(l Transport, at netip.AddrPort, label string, ways map[string]string, hello func([]byte)) *transport {
	t := &transport{lines: l, at: at, label: crc32.ChecksumIEEE([]byte(label)), ways: ways, hello: hello, packets: make(chan *memberlist.Packet, packetsAhead), streams: make(chan net.Conn),
		slots: make(chan struct{}, streamsAtOnce), closed: make(chan struct{}), looks: make(chan struct{}, 1)}
	go t.readDatagrams()
	go t.acceptStreams()
	return t
}

// way is where a member is reached that says it is at an address.
func (t *transport) way(addr string) string {
	if through, is := t.ways[addr]; is {
		return through
	}
	return addr
}

// look says that there was a look, and whether datagrams are to be read at looks only. Guards against a large fleet whose nodes spend most of
// their control on waking up for one datagram at a time: twelve neighbours send forty a second.
func (t *transport) look(seldom bool) {
	t.seldom.Store(seldom)
	select {
	case t.looks <- struct{}{}:
	default:
	}
}

func (t *transport) readDatagrams() {
	buf := make([]byte, 1<<16)
	var all []ipv4.Message
	for {
		var err error
		if udp, is := t.lines.Datagrams.(*net.UDPConn); is && t.seldom.Load() {
			if all == nil {
				all = make([]ipv4.Message, batch)
				for i := range all {
					all[i].Buffers = [][]byte{make([]byte, longestRead)}
				}
			}
			err = t.readBatch(ipv4.NewPacketConn(udp), all)
		} else {
			var n int
			var from net.Addr
			if n, from, err = t.lines.Datagrams.ReadFrom(buf); err == nil {
				t.came(buf[:n], from)
			}
		}
		if err != nil {
			if t.over() || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(refusedRest)
		}
	}
}

// readBatch reads what has come, and waits for the next look where that was all.
func (t *transport) readBatch(from *ipv4.PacketConn, all []ipv4.Message) error {
	n, err := from.ReadBatch(all, 0)
	if err != nil {
		return err
	}
	t.count.reads.Add(1)
	for _, m := range all[:n] {
		t.came(m.Buffers[0][:m.N], m.Addr)
	}
	if n < len(all) {
		select {
		case <-t.looks:
		case <-t.closed:
		}
	}
	return nil
}

// came takes a datagram. The bytes are the caller's again afterwards.
func (t *transport) came(b []byte, from net.Addr) {
	t.count.in.Add(1)
	t.count.inBytes.Add(uint64(len(b)))
	kind, ok := t.prefaceOf(b)
	body := append([]byte(nil), b[min(len(b), prefaceLen):]...)
	switch {
	case !ok:
		t.count.foreign.Add(1)
	case kind == kindHello:
		t.count.flows[hellos].came(len(b))
		t.hello(body)
	case kind == kindLibrary && len(body) > 0:
		t.count.flows[gossip].came(len(b))
		select {
		case t.packets <- &memberlist.Packet{Buf: body, From: from, Timestamp: time.Now()}:
		default:
			t.count.dropped.Add(1)
		}
	default:
		t.count.foreign.Add(1)
	}
}

func (t *transport) over() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

func (t *transport) acceptStreams() {
	for {
		c, err := t.lines.Streams.Accept()
		if err != nil {
			if t.over() || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(refusedRest)
			continue
		}
		select {
		case t.slots <- struct{}{}:
			go t.take(c)
		default:
			t.count.dropped.Add(1)
			_ = c.Close()
		}
	}
}

// take reads a stream's preface and hands the rest to the library.
func (t *transport) take(c net.Conn) {
	c = &countedConn{c, &t.count.flows[streams]}
	held := &slotted{Conn: c, slots: t.slots}
	b := make([]byte, prefaceLen)
	_ = c.SetReadDeadline(time.Now().Add(prefaceBy))
	if _, err := io.ReadFull(c, b); err != nil {
		t.count.foreign.Add(1)
		_ = held.Close()
		return
	}
	if kind, ok := t.prefaceOf(b); !ok || kind != kindLibrary {
		t.count.foreign.Add(1)
		_ = held.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	t.count.streams.Add(1)
	t.count.flows[streams].in.Add(1)
	select {
	case t.streams <- held:
	case <-t.closed:
		_ = held.Close()
	}
}

// slotted gives its slot back once it is closed.
type slotted struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

func (s *slotted) Close() error {
	s.once.Do(func() { <-s.slots })
	return s.Conn.Close()
}

func (t *transport) send(kind byte, b []byte, addr string) error {
	to, err := t.lines.Addr(t.way(addr))
	if err != nil {
		return err
	}
	whole := append(t.preface(kind), b...)
	t.count.out.Add(1)
	t.count.outBytes.Add(uint64(len(whole)))
	flow := gossip
	if kind == kindHello {
		flow = hellos
	}
	t.count.flows[flow].went(len(whole))
	_, err = t.lines.Datagrams.WriteTo(whole, to)
	return err
}

// FinalAdvertiseAddr is memberlist's.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.at.Addr().AsSlice(), int(t.at.Port()), nil
}

// WriteTo is memberlist's.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return time.Now(), t.send(kindLibrary, b, addr)
}

// WriteToAddress is memberlist's.
func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, addr.Addr)
}

// PacketCh is memberlist's.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout is memberlist's.
func (t *transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	c, err := t.lines.Dial(t.way(addr), within)
	if err != nil {
		return nil, err
	}
	c = &countedConn{c, &t.count.flows[streams]}
	t.count.flows[streams].out.Add(1)
	_ = c.SetWriteDeadline(time.Now().Add(within))
	if _, err := c.Write(t.preface(kindLibrary)); err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Time{})
	return c, nil
}

// DialAddressTimeout is memberlist's.
func (t *transport) DialAddressTimeout(addr memberlist.Address, within time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, within)
}

// StreamCh is memberlist's.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown is memberlist's.
func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.closed)
		t.lines.close()
	})
	return nil
}
