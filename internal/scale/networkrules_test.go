package scale

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/membership/gossip"
)

// testNetwork is a network of two regions, in which nodes open sockets.
type testNetwork struct {
	t        *testing.T
	rules    *networkRules
	received map[net.Addr]chan string // text and sender of received datagrams, by receiver
}

func newTestNetwork(t *testing.T) *testNetwork {
	return &testNetwork{
		t:        t,
		rules:    &networkRules{faults: netfault.New(1)},
		received: map[net.Addr]chan string{},
	}
}

// open opens the sockets of a node and reads its datagrams. Only the sockets of a simulated node apply the rules.
func (n *testNetwork) open(addr string, region RegionID, role Role) gossip.Transport {
	n.t.Helper()
	sockets, err := gossip.Listen(addr)
	if err != nil {
		n.t.Fatal(err)
	}
	if role == Simulated {
		sockets = n.rules.wrap(sockets, region)
	}
	n.t.Cleanup(func() {
		sockets.Datagrams.Close()
		sockets.Streams.Close()
	})
	received := make(chan string, 99)
	n.received[sockets.Datagrams.LocalAddr()] = received
	go func() {
		buffer := make([]byte, 9)
		for {
			size, from, err := sockets.Datagrams.ReadFrom(buffer)
			if err != nil {
				return
			}
			received <- string(buffer[:size]) + " from " + from.String()
		}
	}()
	return sockets
}

// change changes the links between the regions in both directions.
func (n *testNetwork) change(way func(*netfault.Link)) {
	n.rules.faults.Change(0, 1, way)
	n.rules.faults.Change(1, 0, way)
}

// expectDatagram sends a datagram, which must arrive after at least the given delay, or within most if the delay is 0.
func (n *testNetwork) expectDatagram(from, to gossip.Transport, delay, most time.Duration) {
	n.t.Helper()
	began := time.Now()
	if _, err := from.Datagrams.WriteTo([]byte("x"), to.Datagrams.LocalAddr()); err != nil {
		n.t.Fatal(err)
	}
	select {
	case got := <-n.received[to.Datagrams.LocalAddr()]:
		took := time.Since(began)
		want := "x from " + from.Datagrams.LocalAddr().String()
		if got != want || took < delay || delay == 0 && took > most {
			n.t.Errorf("received %q after %v, want %q after %v or more, or within %v if there is no delay",
				got, took, want, delay, most)
		}
	case <-time.After(5 * time.Second):
		n.t.Fatal("a datagram did not arrive within 5 s")
	}
}

// exchange opens a stream, sends a request and expects the answer want, or none if want is empty. It returns the time
// that this took, or 0 if the stream could not be opened.
func (n *testNetwork) exchange(from, to gossip.Transport, within time.Duration, want string) time.Duration {
	n.t.Helper()
	go answerOnce(to.Streams, within)
	began := time.Now()
	c, err := from.Dial(to.Streams.Addr().String(), within)
	if err != nil {
		if want != "" {
			n.t.Errorf("cannot open a stream: %v", err)
		}
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	c.Write([]byte("hello"))
	answer := make([]byte, 9)
	size, _ := c.Read(answer)
	if string(answer[:size]) != want {
		n.t.Errorf("the answer on a stream is %q, want %q", answer[:size], want)
	}
	return time.Since(began)
}

// answerOnce accepts the next stream and answers its first request.
func answerOnce(streams net.Listener, within time.Duration) {
	c, err := streams.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	if _, err := c.Read(make([]byte, 9)); err == nil {
		c.Write([]byte("yes"))
	}
}

// The rule for two regions must apply to all messages between them: to those that a simulated node sends, and to those
// that it receives from a real node, which applies no rules itself. Within a region no rule must apply.
func TestNetworkRulesApplyBetweenRegions(t *testing.T) {
	const (
		delay  = 300 * time.Millisecond
		jitter = 100 * time.Millisecond
	)
	n := newTestNetwork(t)
	here := n.open("127.10.0.1:0", 0, Simulated)
	near := n.open("127.10.0.2:0", 0, Simulated)
	far := n.open("127.11.0.1:0", 1, Simulated)
	real := n.open("127.11.200.1:0", 1, Real)
	n.change(func(link *netfault.Link) {
		link.Delay = delay
		link.Jitter = jitter
	})
	n.expectDatagram(here, near, 0, delay)
	n.expectDatagram(here, far, delay, 0)
	n.expectDatagram(far, here, delay, 0)
	n.expectDatagram(here, real, delay, 0)
	n.expectDatagram(real, here, delay, 0)
	n.expectDatagram(real, far, 0, delay)
	if took := n.exchange(here, near, 5*time.Second, "yes"); took > delay {
		t.Errorf("a stream within a region took %v, want %v or less", took, delay)
	}
	for _, pair := range [][2]gossip.Transport{{here, far}, {here, real}, {real, here}} {
		if took := n.exchange(pair[0], pair[1], 5*time.Second, "yes"); took < 2*delay {
			t.Errorf("a request on a new stream took %v, want %v or more", took, 2*delay)
		}
	}

	cut(n.rules.faults, 1, 2, true)
	for _, pair := range [][2]gossip.Transport{{here, far}, {real, here}} {
		pair[0].Datagrams.WriteTo([]byte("lost"), pair[1].Datagrams.LocalAddr())
		n.exchange(pair[0], pair[1], delay, "")
	}
	time.Sleep(delay + jitter)
	cut(n.rules.faults, 1, 2, false)
	// The first datagram that arrives must be a new one, as those sent during the cut are lost.
	n.expectDatagram(here, far, delay, 0)
	n.expectDatagram(real, here, delay, 0)
	if lost := n.rules.dropped.Load(); lost != 0 {
		t.Errorf("%d datagrams were dropped as a queue was full, want none", lost)
	}
}

// A read that reaches its deadline before the delay has elapsed must not lose what it has received. A later read
// returns it, in as many parts as its buffer requires.
func TestReadAfterADeadlineReturnsWhatWasReceived(t *testing.T) {
	const delay = 100 * time.Millisecond
	n := newTestNetwork(t)
	n.change(func(link *netfault.Link) { link.Delay = delay })
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	c := &ruledConn{Conn: local, r: n.rules, from: 0, to: 1, delaysReads: true}
	sent := make(chan error, 1)
	go func() {
		_, err := remote.Write([]byte("hello"))
		sent <- err
	}()
	buffer := make([]byte, 9)
	_ = c.SetReadDeadline(time.Now().Add(delay / 2))
	if size, err := c.Read(buffer); size != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("before the delay has elapsed: read %q, %v", buffer[:size], err)
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	for _, want := range []string{"he", "llo"} {
		if size, err := c.Read(buffer[:len(want)]); string(buffer[:size]) != want || err != nil {
			t.Errorf("read %q, %v; want %q", buffer[:size], err, want)
		}
	}
	go remote.Write([]byte("next"))
	if size, err := c.Read(buffer); string(buffer[:size]) != "next" || err != nil {
		t.Errorf("read %q, %v; want the next data", buffer[:size], err)
	}
}
