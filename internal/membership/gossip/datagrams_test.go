package gossip

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dahliapin/internal/config/fleetconfig"
)

const testPayload = "heartbeat"

// largeFleetReceiver reads datagrams with a transport, and counts the heartbeats that arrive.
type largeFleetReceiver struct {
	*memberlistTransport
	heard   atomic.Int64
	damaged atomic.Int64
	conn    net.Conn // connected to the transport
}

func newLargeFleetReceiver(t *testing.T) *largeFleetReceiver {
	t.Helper()
	sockets, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := sockets.Datagrams.LocalAddr().(*net.UDPAddr).AddrPort()
	payload := strings.Repeat(testPayload, 112) // about 1,000 bytes
	r := &largeFleetReceiver{}
	config := &fleetconfig.File{Fleet: fleetconfig.Fleet{Label: "f"}}
	r.memberlistTransport = newTransport(sockets, addr, config, func(message []byte) {
		r.heard.Add(1)
		if string(message) != payload {
			r.damaged.Add(1)
		}
	})
	t.Cleanup(func() { r.Shutdown() })
	go func() { // reads the packets in place of the library
		for range r.packets {
		}
	}()
	r.conn, err = net.Dial("udp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.conn.Close() })
	return r
}

// send sends heartbeats to the receiver.
func (r *largeFleetReceiver) send(t *testing.T, count int) {
	t.Helper()
	datagram := append(r.fleet.preface(kindHeartbeat), strings.Repeat(testPayload, 112)...)
	for range count {
		if _, err := r.conn.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a node that wakes up for each datagram, which took most of its time for a large fleet. All datagrams
// that have arrived must be read at a tick, in few calls, and none lost; and none may wait for a tick that never comes
// once the fleet is small again.
func TestLargeFleetReadsDatagramsInBatches(t *testing.T) {
	const count = 3 * batchSize
	r := newLargeFleetReceiver(t)
	r.onTick(true)
	sent := int64(0)
	// The first datagram may wake a reader that waits as in a small fleet, another one consumes the tick, and the next
	// one has to wait.
	for r.heard.Load() == sent && sent < 5 {
		sent++
		r.send(t, 1)
		time.Sleep(50 * time.Millisecond)
	}
	before := r.heard.Load()
	readsBefore := r.counters.reads.Load()
	r.send(t, count-1)
	time.Sleep(50 * time.Millisecond)
	if got := r.heard.Load(); got != before || got >= sent {
		t.Errorf("%d heartbeats received before a tick, %d previously", got, before)
	}
	r.onTick(true)
	eventually(t, "all heartbeats are received", func() bool { return r.heard.Load() == sent+count-1 })
	if reads := r.counters.reads.Load() - readsBefore; reads > count/batchSize+1 {
		t.Errorf("%d reads for %d datagrams", reads, count)
	}

	r.onTick(false)
	r.send(t, count)
	total := sent + 2*count - 1
	eventually(t, "heartbeats of a small fleet are received at once", func() bool { return r.heard.Load() == total })
	if in := r.counters.in.Load(); int64(in) != total || r.damaged.Load() > 0 || r.counters.foreign.Load() > 0 {
		t.Errorf("%d datagrams received, %d damaged, %d foreign", in, r.damaged.Load(), r.counters.foreign.Load())
	}
}
