package logfollower

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// Descriptors is the number of file descriptors to reserve for a Follower: one for its stream, and one spare. It closes
// its stream before it dials the next server.
const Descriptors = 2

// Applier applies the log at a node. Production code uses replicatedlog.Applier; tests have other implementations.
type Applier interface {
	// Start begins at an index of a log, with the encoded configuration in force at that index; empty for none.
	Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error
	// Apply applies encoded entries in order. After an error that wraps replicatedlog.ErrGap the Follower reconnects
	// to the same server.
	Apply([]cbor.RawMessage) error
	// CurrentProgress returns how far the log has been applied.
	CurrentProgress() replicatedlog.Progress
}

// Config configures a Follower.
type Config struct {
	Name       string        // of the node, unique in the fleet
	Process    uint64        // a random number for this process of the node
	Label      string        // of the fleet; servers of another fleet reject the stream
	Servers    []string      // addresses of control servers, at least one
	Seed       uint32        // for the order of servers and the jitter
	StaleAfter time.Duration // time without a message from a server that has a leader
	Applier    Applier       // called by one goroutine
	Log        *logrus.Logger
	Now        func() monotime.Instant // of a clock that also runs while the machine is suspended
	Dial       controlwire.DialFunc    // nil for TCP
	// OnProgressSent, if not nil, is called with the reported index before each progress report is sent. Tests set it
	// for their invariant checker.
	OnProgressSent func(applied replicatedlog.Index)
}
