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
	// maxDatagramBytes is the maximum size of a datagram, including the preface. No network fragments datagrams of this
	// size.
	maxDatagramBytes = 1400
	// maxQueuedPackets limits the datagrams queued for the library; further ones are dropped and counted.
	maxQueuedPackets = 1024
	// maxStreamsIn limits the streams that others have open to this node; each is short-lived.
	maxStreamsIn = 32
	// maxStreamsOut is the maximum number of streams that this node has open to others: to join, to exchange the full
	// state, and to probe a member that does not answer datagrams.
	maxStreamsOut = 4
	// errorBackoff is the delay after a socket error, such as a lack of file descriptors.
	errorBackoff = 200 * time.Millisecond
)

// Descriptors is the number of file descriptors that a node may need: two sockets, the streams, and one stream that is
// being rejected.
const Descriptors = 2 + maxStreamsIn + maxStreamsOut + 1

// memberlistTransport carries heartbeats and the library's messages over the same two sockets, for one fleet only. It
// implements memberlist.NodeAwareTransport.
type memberlistTransport struct {
	sockets    Transport
	advertised netip.AddrPort // address at which others reach this node
	fleet      fleetID
	mappings   map[string]string // replacements of advertised addresses
	counters   counters

	onHeartbeat func(message []byte)
	packets     chan *memberlist.Packet
	streams     chan net.Conn
	streamSlots chan struct{} // holds an element for each stream that others have open

	batchReads atomic.Bool   // datagrams are read in batches, once a tick
	ticked     chan struct{} // holds an element once a tick has occurred

	closed    chan struct{}
	closeOnce sync.Once
}

var _ memberlist.NodeAwareTransport = (*memberlistTransport)(nil)

// newTransport starts to read the sockets, and calls onHeartbeat with each heartbeat of this fleet.
func newTransport(
	sockets Transport,
	advertised netip.AddrPort,
	c *fleetconfig.File,
	onHeartbeat func(message []byte),
) *memberlistTransport {
	t := &memberlistTransport{
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

// route returns the address to use for a member that advertises addr.
func (t *memberlistTransport) route(addr string) string {
	if through, ok := t.mappings[addr]; ok {
		return through
	}
	return addr
}

func (t *memberlistTransport) isClosed() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *memberlistTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertised.Addr().AsSlice(), int(t.advertised.Port()), nil
}

// Shutdown implements memberlist.Transport. It ends the goroutines that read the sockets.
func (t *memberlistTransport) Shutdown() error {
	t.closeOnce.Do(func() {
		close(t.closed)
		t.sockets.close()
	})
	return nil
}
