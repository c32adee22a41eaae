package controlserver

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	// deliveryInterval is the least time between two wake-ups of the deliveries: entries that arrive meanwhile go
	// together.
	deliveryInterval = 20 * time.Millisecond
	// maxRequestTimes is how many entries' request times are remembered: as many as may wait to be ordered, and far
	// more than are published during the longest fill, for which they are needed.
	maxRequestTimes = 16_384
)

// sharedLog is the replicated log as this server has it. The loop writes it; deliveries, the status table and the
// purger read it.
type sharedLog struct {
	bounds  replicatedlog.Bounds
	dirty   chan struct{}                 // holds a value while readers are to be woken
	changed atomic.Pointer[chan struct{}] // closed when there is something new, and replaced by another

	mu           sync.RWMutex
	state        *replicatedlog.State
	requestTimes []requestTime // by index, at most maxRequestTimes
}

// requestTime is when this server was first asked to have an entry ordered.
type requestTime struct {
	index replicatedlog.Index
	at    monotime.Instant
}

// openSharedLog is the log that the storage's snapshot has. Raft hands out the entries after it again.
func openSharedLog(storage Storage, bounds replicatedlog.Bounds) (*sharedLog, error) {
	l := &sharedLog{bounds: bounds, dirty: make(chan struct{}, 1)}
	changed := make(chan struct{})
	l.changed.Store(&changed)
	snapshot, err := storage.Snapshot()
	if err != nil {
		return nil, err
	}
	l.state, err = l.restoredState(snapshot)
	return l, err
}

// restoredState is the state that a snapshot of raft's has; an empty one where no state is in it, as in the first.
func (l *sharedLog) restoredState(snapshot *pb.Snapshot) (*replicatedlog.State, error) {
	if len(snapshot.GetData()) == 0 {
		return replicatedlog.New(l.bounds), nil
	}
	return replicatedlog.Restore(snapshot.GetData(), l.bounds)
}

// restore replaces the log by the one in a snapshot that the leader has sent.
func (l *sharedLog) restore(snapshot *pb.Snapshot) error {
	state, err := l.restoredState(snapshot)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.state = state
	l.mu.Unlock()
	l.wakeReaders()
	return nil
}

// apply puts a batch that raft has committed into the log and returns the index of each proposal, 0 for one that
// cannot become an entry. requestedAt is when this server was asked to have a proposal ordered, false for not; nil
// where no request times are needed.
func (l *sharedLog) apply(
	batch replicatedlog.Batch, requestedAt func(replicatedlog.ProposalID) (monotime.Instant, bool),
) []replicatedlog.Index {
	l.mu.Lock()
	indexes := l.state.Apply(batch)
	if requestedAt != nil {
		l.recordRequestTimes(batch, indexes, requestedAt)
	}
	l.mu.Unlock()
	return indexes
}

// recordRequestTimes remembers when the batch's entries were requested. The lock is held.
func (l *sharedLog) recordRequestTimes(
	batch replicatedlog.Batch, indexes []replicatedlog.Index,
	requestedAt func(replicatedlog.ProposalID) (monotime.Instant, bool),
) {
	for i, p := range batch.Proposals {
		at, is := requestedAt(p.ID)
		n := len(l.requestTimes)
		if is && (n == 0 || l.requestTimes[n-1].index < indexes[i]) { // not of one that has its index already
			l.requestTimes = append(l.requestTimes, requestTime{index: indexes[i], at: at})
		}
	}
	if over := len(l.requestTimes) - maxRequestTimes; over > 0 {
		l.requestTimes = slices.Delete(l.requestTimes, 0, over)
	}
}

// snapshot is the encoded state.
func (l *sharedLog) snapshot() []byte {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.Snapshot()
}

// Position returns which log it is (0 for not known yet), the index up to which entries are not kept, and the newest
// entry's.
func (l *sharedLog) Position() (id replicatedlog.LogID, floor, last replicatedlog.Index) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.ID(), l.state.Floor(), l.state.Last()
}

// describe puts the newest entry, the floor and the newest configuration into a report, as of one moment.
func (l *sharedLog) describe(report *controlwire.ServerReport) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	report.Last = uint64(l.state.Last())
	report.Floor = uint64(l.state.Floor())
	report.Config = uint64(l.state.Config())
}

// Entry returns an entry; false where it is not kept.
func (l *sharedLog) Entry(index replicatedlog.Index) (replicatedlog.Entry, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.Entry(index)
}

// RequestedAt is when this server was first asked to have an entry ordered; false where it was not, or that is
// forgotten.
func (l *sharedLog) RequestedAt(index replicatedlog.Index) (monotime.Instant, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n, is := slices.BinarySearchFunc(l.requestTimes, index, func(r requestTime, index replicatedlog.Index) int {
		return cmp.Compare(r.index, index)
	})
	if !is {
		return 0, false
	}
	return l.requestTimes[n].at, true
}

// Changed is closed when there is something new. Who waits for it takes it before it looks at the log, else it could
// miss a change.
func (l *sharedLog) Changed() <-chan struct{} { return *l.changed.Load() }

func (l *sharedLog) wakeReaders() {
	select {
	case l.dirty <- struct{}{}:
	default:
	}
}

// notify wakes readers, not more often than deliveryInterval.
func (l *sharedLog) notify(closed <-chan struct{}) {
	for {
		select {
		case <-l.dirty:
		case <-closed:
			return
		}
		time.Sleep(deliveryInterval) // closed is not watched meanwhile: the end is late by that much at most
		next := make(chan struct{})
		close(*l.changed.Swap(&next))
	}
}
