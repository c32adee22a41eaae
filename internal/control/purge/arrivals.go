package purge

import (
	"sort"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// maxArrivals is the maximum number of recorded arrivals. It equals the default number of entries that the log retains.
const maxArrivals = 65_536

// ArrivalTimes records when entries arrived at this server. Each entry was requested before its arrival, so a period
// that has passed since the arrival has also passed since the request.
type ArrivalTimes struct {
	logID    replicatedlog.LogID
	arrivals []arrival // ordered by time and by index
}

// arrival is the time by which all entries up to an index had arrived.
type arrival struct {
	at   monotime.Instant
	last replicatedlog.Index
}

// Record records the arrival of the newest entry of a log. If the log differs from the previous one, the earlier
// arrivals are discarded.
func (t *ArrivalTimes) Record(now monotime.Instant, log replicatedlog.LogID, last replicatedlog.Index) {
	if log != t.logID {
		t.logID = log
		t.arrivals = nil
	}
	if last <= t.Last() && len(t.arrivals) > 0 {
		return
	}
	t.arrivals = append(t.arrivals, arrival{at: now, last: last})
	if len(t.arrivals) > maxArrivals {
		t.arrivals = t.arrivals[1:]
	}
}

// Last returns the newest recorded entry; 0 for none.
func (t *ArrivalTimes) Last() replicatedlog.Index {
	if len(t.arrivals) == 0 {
		return 0
	}
	return t.arrivals[len(t.arrivals)-1].last
}

// KnownAt returns the time by which an entry had arrived; false if it has not arrived yet.
func (t *ArrivalTimes) KnownAt(index replicatedlog.Index) (monotime.Instant, bool) {
	n := sort.Search(len(t.arrivals), func(n int) bool { return t.arrivals[n].last >= index })
	if n == len(t.arrivals) {
		return 0, false
	}
	return t.arrivals[n].at, true
}

// NewestAt returns the newest entry that had arrived at a time; 0 if that is not known.
func (t *ArrivalTimes) NewestAt(at monotime.Instant) replicatedlog.Index {
	n := sort.Search(len(t.arrivals), func(n int) bool { return t.arrivals[n].at > at })
	if n == 0 {
		return 0
	}
	return t.arrivals[n-1].last
}
