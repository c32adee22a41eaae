package gossip

import (
	"errors"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/net/ipv4"
)

const (
	// maxReadBytes is larger than any datagram.
	maxReadBytes = 1 << 16
	// batchSize is the number of datagrams read in one call in a large fleet.
	batchSize = 16
	// maxBatchedBytes is larger than any datagram that members send. Longer datagrams are truncated when they are read
	// in a batch.
	maxBatchedBytes = 4 << 10
)

// onTick signals a tick to the reader of datagrams, and sets whether datagrams are read only once a tick.
//
// In a large fleet, waking up for one datagram at a time would take most of the node's time for the fleet: twelve
// neighbours send forty heartbeats a second. The detector evaluates heartbeats only at ticks, so batching delays no
// decision.
func (t *memberlistTransport) onTick(batched bool) {
	t.batchReads.Store(batched)
	select {
	case t.ticked <- struct{}{}:
	default:
	}
}

// readDatagrams reads datagrams until the socket is closed.
func (t *memberlistTransport) readDatagrams() {
	buffer := make([]byte, maxReadBytes)
	var batch []ipv4.Message // allocated on first use
	for {
		var err error
		udp, isUDP := t.sockets.Datagrams.(*net.UDPConn)
		if isUDP && t.batchReads.Load() {
			if batch == nil {
				batch = newBatch()
			}
			err = t.readBatch(ipv4.NewPacketConn(udp), batch)
		} else {
			err = t.readOne(buffer)
		}
		if err == nil {
			continue
		}
		if t.isClosed() || errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(errorBackoff)
	}
}

func (t *memberlistTransport) readOne(buffer []byte) error {
	n, from, err := t.sockets.Datagrams.ReadFrom(buffer)
	if err != nil {
		return err
	}
	t.onDatagram(buffer[:n], from)
	return nil
}

func newBatch() []ipv4.Message {
	batch := make([]ipv4.Message, batchSize)
	for i := range batch {
		batch[i].Buffers = [][]byte{make([]byte, maxBatchedBytes)}
	}
	return batch
}

// readBatch reads the datagrams that have arrived. If that was all of them, it waits for the next tick.
func (t *memberlistTransport) readBatch(from *ipv4.PacketConn, batch []ipv4.Message) error {
	n, err := from.ReadBatch(batch, 0)
	if err != nil {
		return err
	}
	t.counters.reads.Add(1)
	for _, message := range batch[:n] {
		t.onDatagram(message.Buffers[0][:message.N], message.Addr)
	}
	if n < len(batch) {
		select {
		case <-t.ticked:
		case <-t.closed:
		}
	}
	return nil
}

// onDatagram handles a datagram. It does not retain the slice.
func (t *memberlistTransport) onDatagram(datagram []byte, from net.Addr) {
	t.counters.in.Add(1)
	t.counters.inBytes.Add(uint64(len(datagram)))
	kind, ok := t.fleet.readPreface(datagram)
	body := append([]byte(nil), datagram[min(len(datagram), prefaceBytes):]...)
	switch {
	case !ok:
		t.counters.foreign.Add(1)
	case kind == kindHeartbeat:
		t.counters.flows[flowHeartbeats].addIn(len(datagram))
		t.onHeartbeat(body)
	case kind == kindLibrary && len(body) > 0:
		t.counters.flows[flowLibrary].addIn(len(datagram))
		select {
		case t.packets <- &memberlist.Packet{Buf: body, From: from, Timestamp: time.Now()}:
		default:
			t.counters.dropped.Add(1)
		}
	default:
		t.counters.foreign.Add(1)
	}
}

// send sends a message in one datagram.
func (t *memberlistTransport) send(kind byte, message []byte, addr string) error {
	to, err := t.sockets.Addr(t.route(addr))
	if err != nil {
		return err
	}
	datagram := append(t.fleet.preface(kind), message...)
	t.counters.out.Add(1)
	t.counters.outBytes.Add(uint64(len(datagram)))
	flow := flowLibrary
	if kind == kindHeartbeat {
		flow = flowHeartbeats
	}
	t.counters.flows[flow].addOut(len(datagram))
	_, err = t.sockets.Datagrams.WriteTo(datagram, to)
	return err
}

// WriteTo implements memberlist.Transport.
func (t *memberlistTransport) WriteTo(message []byte, addr string) (time.Time, error) {
	return time.Now(), t.send(kindLibrary, message, addr)
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *memberlistTransport) WriteToAddress(message []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(message, addr.Addr)
}

// PacketCh implements memberlist.Transport.
func (t *memberlistTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }
