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
	// deliveryInterval is the minimum time between two wake-ups of the deliveries. Entries that arrive meanwhile are
	// sent together.
	deliveryInterval = 20 * time.Millisecond
	// maxRequestTimes is the number of entries whose request times are retained. It equals maxPending, and is far above
	// the number of entries published during the longest cache fill, for which the times are needed.
	maxRequestTimes = 16_384
)

// sharedLog is this server's copy of the replicated log. The loop writes it; deliveries, the status table and the
// purger read it.
type sharedLog struct {
	bounds  replicatedlog.Bounds
	dirty   chan struct{}                 // holds a value while a wake-up of the readers is due
	changed atomic.Pointer[chan struct{}] // closed and replaced when the log has changed

	mu           sync.RWMutex
	state        *replicatedlog.State
	requestTimes []requestTime // sorted by index; at most maxRequestTimes
}

// requestTime is the time at which this server was first asked to have an entry ordered.
type requestTime struct {
	index replicatedlog.Index
	at    monotime.Instant
}

// openSharedLog returns the log of the storage's snapshot. Raft delivers the entries after it again.
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

// restoredState returns the state in a raft snapshot; an empty one for a snapshot without data, such as the first.
func (l *sharedLog) restoredState(snapshot *pb.Snapshot) (*replicatedlog.State, error) {
	if len(snapshot.GetData()) == 0 {
		return replicatedlog.New(l.bounds), nil
	}
	return replicatedlog.Restore(snapshot.GetData(), l.bounds)
}

// restore replaces the log with the one in a snapshot that the leader has sent.
func (l *sharedLog) restore(snapshot *pb.Snapshot) error {
	state, err := l.restoredState(snapshot)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.state = state
	l.mu.Unlock()
	l.requestWakeUp()
	return nil
}

// apply applies a committed batch to the log and returns the index of each proposal, 0 for one that cannot become an
// entry. requestedAt returns when this server was asked to have a proposal ordered, false if it was not; it is nil if
// request times are not needed.
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

// recordRequestTimes records when the batch's entries were requested. The caller holds the lock. Indexes that are not
// above the last recorded one are left out, which keeps requestTimes sorted. That is so for most repeated proposals and
// invalid ones. Others are recorded, which does no harm: a repeated proposal, too, was requested after the origin was
// written, and there is no entry 0.
func (l *sharedLog) recordRequestTimes(
	batch replicatedlog.Batch, indexes []replicatedlog.Index,
	requestedAt func(replicatedlog.ProposalID) (monotime.Instant, bool),
) {
	for i, p := range batch.Proposals {
		at, ok := requestedAt(p.ID)
		n := len(l.requestTimes)
		if ok && (n == 0 || l.requestTimes[n-1].index < indexes[i]) {
			l.requestTimes = append(l.requestTimes, requestTime{index: indexes[i], at: at})
		}
	}
	if over := len(l.requestTimes) - maxRequestTimes; over > 0 {
		l.requestTimes = slices.Delete(l.requestTimes, 0, over)
	}
}

// snapshot returns the encoded state.
func (l *sharedLog) snapshot() []byte {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.Snapshot()
}

// Position returns the log's id (0 for not known yet), the index up to which entries are no longer retained, and the
// index of the newest entry.
func (l *sharedLog) Position() (id replicatedlog.LogID, floor, last replicatedlog.Index) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.ID(), l.state.Floor(), l.state.Last()
}

// describe fills in the report's indexes of the newest entry, the floor and the newest configuration, consistently.
func (l *sharedLog) describe(report *controlwire.ServerReport) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	report.Last = uint64(l.state.Last())
	report.Floor = uint64(l.state.Floor())
	report.Config = uint64(l.state.Config())
}

// Entry returns the entry at an index; false if it is not retained.
func (l *sharedLog) Entry(index replicatedlog.Index) (replicatedlog.Entry, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.Entry(index)
}

// RequestedAt returns when this server was first asked to have an entry ordered; false if it was not asked, or the time
// is no longer retained.
func (l *sharedLog) RequestedAt(index replicatedlog.Index) (monotime.Instant, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n, ok := slices.BinarySearchFunc(l.requestTimes, index, func(r requestTime, index replicatedlog.Index) int {
		return cmp.Compare(r.index, index)
	})
	if !ok {
		return 0, false
	}
	return l.requestTimes[n].at, true
}

// Changed returns a channel that is closed at the next change. Callers must get the channel before they read the log;
// otherwise they could miss a change.
func (l *sharedLog) Changed() <-chan struct{} { return *l.changed.Load() }

// requestWakeUp makes wakeReaders wake the readers.
func (l *sharedLog) requestWakeUp() {
	select {
	case l.dirty <- struct{}{}:
	default:
	}
}

// wakeReaders wakes the readers after calls of requestWakeUp, at most once per deliveryInterval, until closed.
func (l *sharedLog) wakeReaders(closed <-chan struct{}) {
	for {
		select {
		case <-l.dirty:
		case <-closed:
			return
		}
		time.Sleep(deliveryInterval) // delays the stop by at most as much, because closed is not watched meanwhile
		next := make(chan struct{})
		close(*l.changed.Swap(&next))
	}
}
