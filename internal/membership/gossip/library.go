package gossip

import (
	"io"
	stdlog "log"
	"time"

	"github.com/hashicorp/memberlist"

	"dahliapin/internal/config/fleetconfig"
)

const (
	// processSeparator stands between the node's name and the process in the names that the library knows.
	processSeparator = "~"
	// retransmitMult is how often a statement is passed on, times the logarithm of the fleet's size: the library's
	// default.
	retransmitMult = 4
	// streamTimeout is the time for a stream to be set up, and for each answer on it.
	streamTimeout = 2 * time.Second
	// pushPullInterval is the time between two exchanges of the full state that a node begins, in a small fleet.
	pushPullInterval = 15 * time.Second
	// largeFleet is the number of members above which the library makes exchanges rarer, and datagrams are read at
	// ticks.
	largeFleet = 32
)

// libraryConfig returns the library's configuration.
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

// tune sets the library up to carry statements: quick to pass them on, slow to take a member for dead, as that is
// decided by the detector.
func tune(c *memberlist.Config) {
	// messages are short: compression would cost more than it saves
	c.EnableCompression = false
	c.GossipInterval = 100 * time.Millisecond
	c.GossipNodes = 4
	// probes only decide with which members the library gossips, and in a busy fleet its suspicions cost more than
	// statements do
	c.ProbeInterval = 5 * time.Second
	c.ProbeTimeout = 3 * time.Second
	c.SuspicionMult = 8
	c.IndirectChecks = 4
	c.PushPullInterval = pushPullInterval
	c.GossipToTheDeadTime = time.Minute
	c.TCPTimeout = streamTimeout
}

// PushPullInterval returns the time between two exchanges of the full state that each node begins in a fleet of so
// many members: the library's rule, for those who estimate the traffic of a fleet.
func PushPullInterval(members int) time.Duration {
	interval := pushPullInterval
	for n := largeFleet; n < members; n *= 2 {
		interval += pushPullInterval
	}
	return interval
}
