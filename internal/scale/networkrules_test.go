package scale

import (
	"net"
	"testing"
	"time"

	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/membership/gossip"
)

// testNetwork is a network of two regions with sockets in them.
type testNetwork struct {
	t        *testing.T
	rules    *networkRules
	received map[net.Addr]chan string // datagrams by receiver: the text and the sender
}

func newTestNetwork(t *testing.T) *testNetwork {
	return &testNetwork{
		t:        t,
		rules:    &networkRules{faults: netfault.New(1)},
		received: map[net.Addr]chan string{},
	}
}

// open opens the sockets of a node and reads its datagrams. A hollow node's go by the rules, a real one's do not.
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

// change changes both ways between the regions.
func (n *testNetwork) change(way func(*netfault.Link)) {
	n.rules.faults.Change(0, 1, way)
	n.rules.faults.Change(1, 0, way)
}

// expectDatagram sends a datagram, which has to take the delay at least; without one, less than most.
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
			n.t.Errorf("%s after %v, and not %v", got, took, delay)
		}
	case <-time.After(5 * time.Second):
		n.t.Fatal("a datagram never came")
	}
}

// exchange opens a stream, sends a request and expects an answer, "" for none. It returns how long that took; 0 where
// there was no stream.
func (n *testNetwork) exchange(from, to gossip.Transport, within time.Duration, want string) time.Duration {
	n.t.Helper()
	go answerOnce(to.Streams, within)
	began := time.Now()
	c, err := from.Dial(to.Streams.Addr().String(), within)
	if err != nil {
		if want != "" {
			n.t.Errorf("no stream: %v", err)
		}
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	c.Write([]byte("hello"))
	answer := make([]byte, 9)
	size, _ := c.Read(answer)
	if string(answer[:size]) != want {
		n.t.Errorf("a stream brought %q, and not %q", answer[:size], want)
	}
	return time.Since(began)
}

// answerOnce answers the first request on the next stream.
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

// What crosses between regions goes by their rule, whoever sends it: a hollow node applies it to what it sends, and to
// what a real one sends to it, which knows of no rules. Within a region there are no faults.
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
		t.Errorf("a stream within a region took %v", took)
	}
	for _, pair := range [][2]gossip.Transport{{here, far}, {here, real}, {real, here}} {
		if took := n.exchange(pair[0], pair[1], 5*time.Second, "yes"); took < 2*delay {
			t.Errorf("a stream there and back took %v", took)
		}
	}

	cut(n.rules.faults, 1, 2, true)
	for _, pair := range [][2]gossip.Transport{{here, far}, {real, here}} {
		pair[0].Datagrams.WriteTo([]byte("lost"), pair[1].Datagrams.LocalAddr())
		n.exchange(pair[0], pair[1], delay, "")
	}
	time.Sleep(delay + jitter)
	cut(n.rules.faults, 1, 2, false)
	// The first that arrives is a new one: what was sent during the cut is lost.
	n.expectDatagram(here, far, delay, 0)
	n.expectDatagram(real, here, delay, 0)
	if lost := n.rules.lost.Load(); lost != 0 {
		t.Errorf("%d were lost as too many were delayed", lost)
	}
}
