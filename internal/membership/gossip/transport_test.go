package gossip

import (
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// In a large fleet a node that woke up for each datagram spent most of its control on that. All that has come is read at a look, in few
// calls, none is lost, and none waits for a look that never comes once the fleet is small again.
func TestALargeFleetsDatagramsAreReadAtLooks(t *testing.T) {
	const n = 3 * batch
	lines, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := lines.Datagrams.LocalAddr().(*net.UDPAddr).AddrPort()
	var heard, amiss atomic.Int64
	tr := newTransport(lines, netip.AddrPort(at), "f", nil, func(b []byte) {
		if heard.Add(1); string(b) != strings.Repeat("x", 1000) {
			amiss.Add(1)
		}
	})
	defer tr.Shutdown()
	go func() { // what a library's packets are for
		for range tr.packets {
		}
	}()
	from, err := net.Dial("udp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	send := func(n int) {
		for range n {
			if _, err := from.Write(append(tr.preface(kindHello), strings.Repeat("x", 1000)...)); err != nil {
				t.Fatal(err)
			}
		}
	}
	tr.look(true)
	sent := int64(0)
	for heard.Load() == sent && sent < 5 { // the first may wake who waits as in a small fleet, one takes the look's place, the next has to wait
		sent++
		send(1)
		time.Sleep(50 * time.Millisecond)
	}
	before, reads := heard.Load(), tr.count.reads.Load()
	send(n - 1)
	time.Sleep(50 * time.Millisecond)
	if got := heard.Load(); got != before || got >= sent {
		t.Errorf("%d are heard before a look, %d were before", got, before)
	}
	tr.look(true)
	within(t, "all are heard", func() bool { return heard.Load() == sent+n-1 })
	if got := tr.count.reads.Load() - reads; got > n/batch+1 {
		t.Errorf("%d reads for %d datagrams", got, n)
	}
	tr.look(false)
	send(n)
	within(t, "a small fleet's are heard at once", func() bool { return heard.Load() == sent+2*n-1 })
	if int64(tr.count.in.Load()) != sent+2*n-1 || amiss.Load() > 0 || tr.count.foreign.Load() > 0 {
		t.Errorf("%d came, %d amiss, %d foreign", tr.count.in.Load(), amiss.Load(), tr.count.foreign.Load())
	}
}
