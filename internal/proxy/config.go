package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/internal/proxy/handover"
)

// Config is the configuration of a node. It has many fields because each is a setting or a callback of the process that
// runs the node. The callbacks are called by New and by the event loop, and must not block.
type Config struct {
	// Listen is the address of the first listener, which speaks meta commands.
	Listen string
	// Discovery is the address that the endpoint list is polled from.
	Discovery string
	// Listeners holds the additional listeners, the degradation levels, and the settings of endpoints that speak HTTP.
	Listeners listeners.File
	// Seed is the seed of all random decisions of the node.
	Seed int64
	// DescriptorLimit is how many file descriptors the proxy may use, including those that are not for connections.
	DescriptorLimit int
	// ReservedDescriptors is how many file descriptors the process uses for its other parts.
	ReservedDescriptors int
	// MemoryLimit is how many bytes of memory the process may use for data, beside the program itself.
	MemoryLimit int64
	// Settings are the deployment's settings.
	Settings settings.Settings
	// LastKnownEndpoints is the endpoint list as last received by an earlier process, in discovery's format, or nil.
	LastKnownEndpoints []byte
	// Log takes the node's log lines.
	Log *logrus.Logger
	// OnPhaseChange is called at each change of phase; nil if not needed.
	OnPhaseChange func(Phase)
	// PublishMetrics makes the node publish snapshots of its metrics for the admin server.
	PublishMetrics bool
	// Inherited is what the process that this one replaces has handed over; nil if none.
	Inherited *handover.Inherited
	// HandoverPath is the socket through which another process may take over from this one; empty if none.
	HandoverPath string
	// OnLoopIteration is called at each iteration of the event loop; nil if not needed.
	OnLoopIteration func()
	// OnSharedLimits is called when two processes begin (true) or cease (false) to share the node's limits; nil if not
	// needed.
	OnSharedLimits func(shared bool)
	// Name is the node's name in the event log.
	Name string
	// OnEvent is called for each event of the event log; nil if not needed.
	OnEvent func(eventlog.Event, time.Time)
}
