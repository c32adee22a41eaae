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
	// serverTimeout is the silence after which a node leaves its server: four heartbeats.
	serverTimeout = 4 * controlwire.HeartbeatInterval
	// leaderlessTimeout is how long a server may say that it has no leader before the node leaves it: longer than an
	// election takes.
	leaderlessTimeout = 2 * time.Second
	// maxLeaderlessTimeout bounds the same where no server has a leader. It is doubled at each server, so that a
	// fleet without a quorum does not have all of its nodes move on all the time.
	maxLeaderlessTimeout = 30 * time.Second
	// firstReconnectDelay is the backoff before the second server is tried.
	firstReconnectDelay = 100 * time.Millisecond
)

// errNoLeader ends the stream to a server that said for too long that it has no leader.
var errNoLeader = errors.New("the control machine hears no leader")

// Follower follows the replicated log for one node.
type Follower struct {
	Config
	order        []string // of Config.Servers, this node's own
	random       keyhash.Source
	progress     atomic.Pointer[replicatedlog.Progress] // a copy of the Applier's, written by run
	lastIndex    atomic.Uint64                          // newest entry that a server was known to have
	leaderSeenAt atomic.Int64                           // monotime.Instant of a message of a server that has a leader
	server       atomic.Pointer[string]                 // address of the open stream; empty for none
	moves        atomic.Uint64                          // streams opened
	bytesIn      atomic.Uint64
	bytesOut     atomic.Uint64
	closed       chan struct{} // closed by Close
	done         chan struct{} // closed when run has ended
	closeOnce    sync.Once
	loggedStale  bool // what logStaleness said last
}

// Start starts to follow, and does not wait for a server to answer. Close ends it.
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

// serverOrder sorts the servers by a hash of address and seed, so that the nodes of a server that goes away spread
// over all others.
func serverOrder(servers []string, seed uint32) []string {
	order := slices.Clone(servers)
	rank := func(addr string) uint64 { return keyhash.Salted(keyhash.String(addr), int(seed)) }
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}

// Close ends the Follower and waits until the Applier is no longer called.
func (f *Follower) Close() {
	f.closeOnce.Do(func() { close(f.closed) })
	<-f.done
}

// publishProgress copies the Applier's progress to where other goroutines read it.
func (f *Follower) publishProgress() {
	progress := f.Applier.CurrentProgress()
	f.progress.Store(&progress)
}

// run goes from server to server until Close.
func (f *Follower) run() {
	defer close(f.done)
	patience := leaderlessTimeout
	next := 0     // position in order
	failures := 0 // streams in a row that brought nothing of a server with a leader, and the one that just ended
	for {
		if failures > 0 {
			delay := controlwire.ReconnectDelay(firstReconnectDelay, failures, f.random.Float64())
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
			sawLeader, err = f.followAt(addr, stream, patience)
			if sawLeader {
				failures = 0
				patience = leaderlessTimeout
			} else {
				patience = min(2*patience, maxLeaderlessTimeout)
			}
		}
		if !errors.Is(err, replicatedlog.ErrGap) { // after a gap the same server sends again what was not applied
			next++
		}
		failures++
		f.logStaleness()
		select {
		case <-f.closed:
			return
		default:
			f.Log.WithError(err).WithField("machine", addr).Debug("the log of changes is followed elsewhere")
		}
	}
}

// followAt follows over a stream until it ends, and says whether the server had a leader at some time.
func (f *Follower) followAt(
	addr string, stream *controlwire.Stream, patience time.Duration,
) (sawLeader bool, err error) {
	f.moves.Add(1)
	f.server.Store(&addr)
	before := f.leaderSeenAt.Load()
	err = f.followStream(stream, patience)
	_ = stream.Close()
	f.server.Store(new(string))
	return f.leaderSeenAt.Load() != before, err
}

// noteLeader notes that a message of a server that has a leader arrived.
func (f *Follower) noteLeader() {
	f.leaderSeenAt.Store(int64(f.Now()))
	f.logStaleness()
}
