package node

import (
	"cmp"
	"runtime"
	"runtime/debug"

	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/proxy/admin"
)

// The limits of file descriptors, which the configuration calls sockets.
const (
	minSockets          = 64   // least number with which a node works
	minSocketsWithAdmin = 136  // for a node that allows takeover: two processes, each with admin connections
	defaultSockets      = 1024 // default limit of most systems
	adminExtraSockets   = 2    // of the admin server besides its connections: its listener and a new connection
)

const (
	defaultMemoryMB = 192 // if no limit is configured

	// programMemory is the resident memory in bytes that the program itself takes: its code and what the runtime needs
	// without any connection. It is part of the memory limit, so only the rest is available for data.
	programMemory = 18 << 20

	// minDataDivisor gives data at least the memory limit divided by it, however low that limit is.
	minDataDivisor = 4

	// heapShare is the fraction of the memory limit that is set as the limit of the Go runtime at most, beyond which the
	// garbage collector works harder. The rest is for stacks and sockets.
	heapShare = 0.6

	// dataHeapShare is the same fraction of the memory that is available for data.
	dataHeapShare = 0.85

	// gcPercent is the growth of the heap between collections, in percent. It is this high because the heap is small,
	// so that a single long value is a considerable part of it.
	gcPercent = 200

	// minThreads is the least GOMAXPROCS, so that the event loop does not have to wait for the goroutine of the poller.
	minThreads = 2
)

// ApplyLimits applies the limits of a configuration to the process. It is for a program that runs one node and nothing
// else.
func ApplyLimits(c *Config) {
	runtime.GOMAXPROCS(max(minThreads, runtime.GOMAXPROCS(0)))
	debug.SetGCPercent(gcPercent)
	c.limitsApplied = true
	c.limitMemory(false)
}

// limitMemory sets the memory limit of the process, which is halved while two processes share the node's limits.
func (c *Config) limitMemory(shared bool) {
	limit := min(heapShare*float64(c.memory()), dataHeapShare*float64(c.dataMemory()))
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(int64(limit))
}

// memory returns the memory limit in bytes.
func (c *Config) memory() int64 { return int64(cmp.Or(c.MemoryMB, defaultMemoryMB)) << 20 }

// dataMemory returns how many bytes of the memory limit are available for data: all of it in a process that shares its
// memory with other parts than the node, which then states a limit for the node alone.
func (c *Config) dataMemory() int64 {
	if !c.limitsApplied {
		return c.memory()
	}
	return max(c.memory()-programMemory, c.memory()/minDataDivisor)
}

// proxyDescriptors returns the number of descriptors for the proxy: all but otherDescriptors.
func (c *Config) proxyDescriptors() int {
	return cmp.Or(c.Sockets, defaultSockets) - c.otherDescriptors()
}

// otherDescriptors returns the number of descriptors for the node's parts other than the proxy.
func (c *Config) otherDescriptors() int {
	if c.Admin == "" {
		return c.fleetDescriptors()
	}
	return c.fleetDescriptors() + admin.MaxConnections + adminExtraSockets
}

// fleetDescriptors returns the number of descriptors for gossip and the log follower; 0 without a fleet.
func (c *Config) fleetDescriptors() int {
	switch {
	case c.fleet == nil:
		return 0
	case len(c.fleet.Changes.Servers) > 0:
		return gossip.Descriptors + logfollower.Descriptors
	}
	return gossip.Descriptors
}
