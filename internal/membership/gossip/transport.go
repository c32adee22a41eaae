package gossip

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"dahliapin/internal/config/fleetconfig"
)

const (
	// maxDatagramBytes is the size of a datagram, preface included, that is not fragmented in any network.
	maxDatagramBytes = 1400
	// maxQueuedPackets bounds the datagrams that wait for the library; more are dropped and counted.
	maxQueuedPackets = 1024
	// maxStreamsIn bounds the streams that others have open to this node; each is over in a moment.
	maxStreamsIn = 32
	// maxStreamsOut is how many streams this node has open to others: it joins, exchanges, and tries one that doesn't
	// answer datagrams.
	maxStreamsOut = 4
	// errorBackoff is the pause after a failure of a socket, such as a lack of descriptors.
	errorBackoff = 200 * time.Millisecond
)

// Descriptors is the number of file descriptors that a node may need: its two sockets, its streams, and one stream
// that is just being refused.
const Descriptors = 2 + maxStreamsIn + maxStreamsOut + 1

// transport carries the library's messages and heartbeats over the same two sockets, for this fleet only. It implements
// memberlist.NodeAwareTransport.
type transport struct {
	sockets    Transport
	advertised netip.AddrPort // this node's address as others know it
	fleet      fleetID
	mappings   map[string]string // addresses that are reached by another one
	counters   counters

	onHeartbeat func(message []byte)
	packets     chan *memberlist.Packet
	streams     chan net.Conn
	streamSlots chan struct{} // one for each stream that others have open

	batchReads atomic.Bool   // datagrams are read in batches, one batch a tick
	ticked     chan struct{} // has one element once there was a tick

	closed    chan struct{}
	closeOnce sync.Once
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// newTransport starts to read the sockets, and calls onHeartbeat with each heartbeat of this fleet.
func newTransport(
	sockets Transport,
	advertised netip.AddrPort,
	c *fleetconfig.File,
	onHeartbeat func(message []byte),
) *transport {
	t := &transport{
		sockets:     sockets,
		advertised:  advertised,
		fleet:       fleetIDOf(c.Fleet.Label),
		mappings:    map[string]string{},
		onHeartbeat: onHeartbeat,
		packets:     make(chan *memberlist.Packet, maxQueuedPackets),
		streams:     make(chan net.Conn),
		streamSlots: make(chan struct{}, maxStreamsIn),
		ticked:      make(chan struct{}, 1),
		closed:      make(chan struct{}),
	}
	for _, mapping := range c.AddressMappings {
		t.mappings[mapping.To] = mapping.Through
	}
	go t.readDatagrams()
	go t.acceptStreams()
	return t
}

// route returns the address at which a member is reached that advertises an address.
func (t *transport) route(addr string) string {
	if through, ok := t.mappings[addr]; ok {
		return through
	}
	return addr
}

func (t *transport) isClosed() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertised.Addr().AsSlice(), int(t.advertised.Port()), nil
}

// Shutdown implements memberlist.Transport. It ends the goroutines that read the sockets.
func (t *transport) Shutdown() error {
	t.closeOnce.Do(func() {
		close(t.closed)
		t.sockets.close()
	})
	return nil
}
