package gossip

import (
	"io"
	stdlog "log"
	"time"

	"github.com/hashicorp/memberlist"

	"dahliapin/internal/config/fleetconfig"
)

const (
	// processSeparator separates the node's name and the process in the names of library members.
	processSeparator = "~"
	// retransmitMult is how often a statement is gossiped, as a multiple of the logarithm of the fleet's size. It is
	// the library's default.
	retransmitMult = 4
	// streamTimeout is the timeout for opening a stream, and for each answer on it.
	streamTimeout = 2 * time.Second
	// pushPullInterval is the time between two exchanges of the full state that a node starts in a small fleet.
	pushPullInterval = 15 * time.Second
	// largeFleet is the number of members above which the library exchanges the full state less often, and datagrams
	// are read once a tick.
	largeFleet = 32
)

// libraryConfig returns the configuration of the library.
func (n *Node) libraryConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = n.Name + processSeparator + hexID(n.process)
	c.Transport = n.transport
	c.Events = events{n}
	c.Delegate = delegate{n}
	c.SecretKey = n.FleetConfig.Fleet.KeyBytes()
	c.UDPBufferSize = maxDatagramBytes - prefaceBytes
	c.Logger = stdlog.New(io.Discard, "", 0)
	if n.FleetConfig.Fleet.Engine == fleetconfig.EngineTuned {
		tune(c)
	}
	return c
}

// tune configures the library to carry statements. It gossips quickly but is slow to consider a member dead, since the
// detector decides which members are removed.
func tune(c *memberlist.Config) {
	// Messages are short, so compression costs more than it saves.
	c.EnableCompression = false
	c.GossipInterval = 100 * time.Millisecond
	c.GossipNodes = 4
	// Probes only decide with which members the library gossips, and in a busy fleet its suspicions cause more traffic
	// than statements do.
	c.ProbeInterval = 5 * time.Second
	c.ProbeTimeout = 3 * time.Second
	c.SuspicionMult = 8
	c.IndirectChecks = 4
	c.PushPullInterval = pushPullInterval
	c.GossipToTheDeadTime = time.Minute
	c.TCPTimeout = streamTimeout
}

// PushPullInterval returns the time between two exchanges of the full state that each node starts in a fleet of this
// size. It is computed as in the library, to estimate the traffic of a fleet.
func PushPullInterval(members int) time.Duration {
	interval := pushPullInterval
	for n := largeFleet; n < members; n *= 2 {
		interval += pushPullInterval
	}
	return interval
}
