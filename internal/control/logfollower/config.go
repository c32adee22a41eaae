package logfollower

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// Descriptors is the number of file descriptors that a Follower needs: its stream, and one more while it changes to
// another server.
const Descriptors = 2

// Applier applies the log at a node. replicatedlog.Applier is the one of the product; tests have others.
type Applier interface {
	// Start starts at an index of a log, with the encoded configuration that is in force there; empty for none.
	Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error
	// Apply applies encoded entries in order. An error that wraps replicatedlog.ErrGap has the same server asked
	// again.
	Apply([]cbor.RawMessage) error
	// CurrentProgress says how far it has come.
	CurrentProgress() replicatedlog.Progress
}

// Config is what a Follower is started with.
type Config struct {
	Name       string        // of the node, unique in the fleet
	Process    uint64        // a random number for this process of the node
	Label      string        // of the fleet; servers of another one reject the stream
	Servers    []string      // addresses of control servers, at least one
	Seed       uint32        // for the order of servers and the jitter
	StaleAfter time.Duration // without a message from a server that has a leader
	Applier    Applier       // called by one goroutine
	Log        *logrus.Logger
	Now        func() monotime.Instant // of a clock that runs through suspends
	Dial       controlwire.DialFunc    // nil for TCP
	// OnProgressSent is called before a report with the index in it. The invariant checker of tests sets it; nil for
	// nobody.
	OnProgressSent func(applied replicatedlog.Index)
}
