package node

import (
	"cmp"
	"runtime"
	"runtime/debug"

	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/proxy/admin"
)

// The limits of descriptors, which the configuration calls sockets.
const (
	minSockets          = 64   // with which a node can do anything
	minSocketsWithAdmin = 136  // where a node can be replaced: two processes, each with operators' connections
	defaultSockets      = 1024 // what most systems allow
	adminExtraSockets   = 2    // of the admin server beside its connections: the listener, and one just accepted
)

const (
	defaultMemoryMB = 192 // where no limit is stated

	// heapShare is the part of the memory limit at which the garbage collector works harder: stacks and sockets need
	// memory too.
	heapShare = 0.6

	// gcPercent is how much the heap may grow between collections. It is small, and one long value is a fair part of
	// it.
	gcPercent = 200

	// minThreads is how many threads run Go code, so that the event loop does not have to wait for the poller's.
	minThreads = 2
)

// ApplyLimits makes the process keep within a configuration's limits. It is for a program that runs one node and
// nothing else.
func ApplyLimits(c *Config) {
	runtime.GOMAXPROCS(max(minThreads, runtime.GOMAXPROCS(0)))
	debug.SetGCPercent(gcPercent)
	c.limitsApplied = true
	c.limitMemory(false)
}

// limitMemory sets the memory limit of the process, half of it while two processes share the node's.
func (c *Config) limitMemory(shared bool) {
	limit := heapShare * float64(c.memory())
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(int64(limit))
}

// memory returns the memory limit in bytes.
func (c *Config) memory() int64 { return int64(cmp.Or(c.MemoryMB, defaultMemoryMB)) << 20 }

// proxyDescriptors returns the descriptors for the proxy: those that otherDescriptors leaves.
func (c *Config) proxyDescriptors() int {
	return cmp.Or(c.Sockets, defaultSockets) - c.otherDescriptors()
}

// otherDescriptors returns the descriptors for the node's parts beside the proxy.
func (c *Config) otherDescriptors() int {
	if c.Admin == "" {
		return c.fleetDescriptors()
	}
	return c.fleetDescriptors() + admin.MaxConnections + adminExtraSockets
}

// fleetDescriptors returns the descriptors for the membership and the log of changes; 0 without a fleet.
func (c *Config) fleetDescriptors() int {
	switch {
	case c.fleet == nil:
		return 0
	case len(c.fleet.Changes.Servers) > 0:
		return gossip.Descriptors + logfollower.Descriptors
	}
	return gossip.Descriptors
}
