package gossip

import (
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dahliapin/internal/config/fleetconfig"
)

// In a large fleet a node that woke up for each datagram spent most of its time for the fleet on that. All that has
// arrived is read at a tick, in few calls, none is lost, and none waits for a tick that never comes once the fleet is
// small again.
func TestDatagramsOfALargeFleetAreReadAtTicks(t *testing.T) {
	const count = 3 * batchSize
	payload := strings.Repeat("x", 1000)
	sockets, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := sockets.Datagrams.LocalAddr().(*net.UDPAddr).AddrPort()
	var heard, damaged atomic.Int64
	config := &fleetconfig.File{Fleet: fleetconfig.Fleet{Label: "f"}}
	tr := newTransport(sockets, netip.AddrPort(addr), config, func(message []byte) {
		heard.Add(1)
		if string(message) != payload {
			damaged.Add(1)
		}
	})
	t.Cleanup(func() { tr.Shutdown() })
	go func() { // stands for the library, which reads its packets
		for range tr.packets {
		}
	}()
	conn, err := net.Dial("udp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(n int) {
		t.Helper()
		for range n {
			if _, err := conn.Write(append(tr.fleet.preface(kindHeartbeat), payload...)); err != nil {
				t.Fatal(err)
			}
		}
	}

	tr.onTick(true)
	sent := int64(0)
	// the first may wake a reader that waits as in a small fleet, one takes the tick's place, the next has to wait
	for heard.Load() == sent && sent < 5 {
		sent++
		send(1)
		time.Sleep(50 * time.Millisecond)
	}
	before, reads := heard.Load(), tr.counters.reads.Load()
	send(count - 1)
	time.Sleep(50 * time.Millisecond)
	if got := heard.Load(); got != before || got >= sent {
		t.Errorf("%d are heard before a tick, %d were before", got, before)
	}
	tr.onTick(true)
	eventually(t, "all are heard", func() bool { return heard.Load() == sent+count-1 })
	if got := tr.counters.reads.Load() - reads; got > count/batchSize+1 {
		t.Errorf("%d reads for %d datagrams", got, count)
	}

	tr.onTick(false)
	send(count)
	total := sent + 2*count - 1
	eventually(t, "a small fleet's are heard at once", func() bool { return heard.Load() == total })
	if in := tr.counters.in.Load(); int64(in) != total || damaged.Load() > 0 || tr.counters.foreign.Load() > 0 {
		t.Errorf("%d came, %d damaged, %d foreign", in, damaged.Load(), tr.counters.foreign.Load())
	}
}
