package logfollower

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
)

const (
	// serverTimeout is the time without a message, four heartbeats, after which a node leaves its server.
	serverTimeout = 4 * controlwire.HeartbeatInterval
	// leaderlessTimeout is how long a server may report that it has no leader before the node leaves it. It is longer
	// than an election takes.
	leaderlessTimeout = 2 * time.Second
	// maxLeaderlessTimeout bounds the time while no server has a leader. The time starts at leaderlessTimeout and
	// doubles with each stream to a server without a leader, so that the nodes of a fleet without a quorum do not
	// reconnect all the time.
	maxLeaderlessTimeout = 30 * time.Second
	// reconnectDelayBase is the base of the exponential backoff before each reconnect, see
	// controlwire.ReconnectDelay.
	reconnectDelayBase = 100 * time.Millisecond
)

// errNoLeader ends the stream to a server that has reported for too long that it has no leader.
var errNoLeader = errors.New("the control server has no leader")

// Follower follows the replicated log for one node.
type Follower struct {
	Config
	order         []string // Config.Servers in the order in which this node tries them
	random        keyhash.Source
	progress      atomic.Pointer[replicatedlog.Progress] // a copy of the Applier's, written by run
	lastIndex     atomic.Uint64                          // index of the newest entry that a server reported
	leaderSeenAt  atomic.Int64                           // monotime.Instant: last message of a server with a leader
	server        atomic.Pointer[string]                 // address of the open stream; empty for none
	streamsOpened atomic.Uint64                          // streams opened
	bytesIn       atomic.Uint64
	bytesOut      atomic.Uint64
	closed        chan struct{} // closed by Close
	done          chan struct{} // closed when run has ended
	closeOnce     sync.Once
	loggedStale   bool // value of Status.Stale that logStaleness last logged
}

// Start starts a Follower without waiting for a server to answer. Close stops it.
func Start(config Config) *Follower {
	f := &Follower{
		Config: config,
		order:  serverOrder(config.Servers, config.Seed),
		random: keyhash.Source{Seed: config.Seed},
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	f.publishProgress()
	f.leaderSeenAt.Store(int64(config.Now()))
	f.server.Store(new(string))
	go f.run()
	return f
}

// serverOrder sorts the servers by a hash of address and seed, so that the nodes of a failed server spread over all
// others.
func serverOrder(servers []string, seed uint32) []string {
	order := slices.Clone(servers)
	rank := func(addr string) uint64 { return keyhash.Salted(keyhash.String(addr), int(seed)) }
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}

// Close stops the Follower and waits until the Applier is no longer called.
func (f *Follower) Close() {
	f.closeOnce.Do(func() { close(f.closed) })
	<-f.done
}

// publishProgress makes a copy of the Applier's progress visible to other goroutines.
func (f *Follower) publishProgress() {
	progress := f.Applier.CurrentProgress()
	f.progress.Store(&progress)
}

// run follows one server after another until Close.
func (f *Follower) run() {
	defer close(f.done)
	leaderlessLimit := leaderlessTimeout
	next := 0 // position in order
	// failures determines the delay before the next connection: 0 before the first connection, 1 after a connection to
	// a server with a leader, and one more after each that failed or had none.
	failures := 0
	for {
		if failures > 0 {
			delay := controlwire.ReconnectDelay(reconnectDelayBase, failures, f.random.Float64())
			select {
			case <-time.After(delay):
			case <-f.closed:
				return
			}
		}
		addr := f.order[next%len(f.order)]
		stream, err := controlwire.Dial(f.Dial, addr, controlwire.StreamFollower, f.Label, controlwire.MaxFrameBytes)
		if err == nil {
			var sawLeader bool
			sawLeader, err = f.followAt(addr, stream, leaderlessLimit)
			if sawLeader {
				failures = 0
				leaderlessLimit = leaderlessTimeout
			} else {
				leaderlessLimit = min(2*leaderlessLimit, maxLeaderlessTimeout)
			}
		}
		// After a gap the same server is asked again. The next hello states what was applied, and a server sends only
		// entries and starting points beyond that, so the gap does not repeat.
		if !errors.Is(err, replicatedlog.ErrGap) {
			next++
		}
		failures++
		f.logStaleness()
		select {
		case <-f.closed:
			return
		default:
			f.Log.WithError(err).WithField("machine", addr).
				Debug("the stream to the control server ended; reconnecting")
		}
	}
}

// followAt follows over a stream until it ends, and reports whether the server had a leader at any time.
func (f *Follower) followAt(
	addr string, stream *controlwire.Stream, leaderlessLimit time.Duration,
) (sawLeader bool, err error) {
	f.streamsOpened.Add(1)
	f.server.Store(&addr)
	before := f.leaderSeenAt.Load()
	err = f.followStream(stream, leaderlessLimit)
	_ = stream.Close()
	f.server.Store(new(string))
	return f.leaderSeenAt.Load() != before, err
}

// recordLeaderSeen notes that a message of a server that has a leader arrived.
func (f *Follower) recordLeaderSeen() {
	f.leaderSeenAt.Store(int64(f.Now()))
	f.logStaleness()
}
