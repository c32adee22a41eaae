package purge

import (
	"sort"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// maxArrivals is how many arrivals are remembered: as many as entries are kept.
const maxArrivals = 65_536

// ArrivalTimes remembers when this server had which entries. Each was published before that time.
type ArrivalTimes struct {
	logID    replicatedlog.LogID
	arrivals []arrival // by time and index, both rising
}

// arrival is when entries up to an index were there.
type arrival struct {
	at   monotime.Instant
	last replicatedlog.Index
}

// Record notes the newest entry of a log. With another log than before everything is forgotten.
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

// Last is the newest entry that was recorded; 0 for none.
func (t *ArrivalTimes) Last() replicatedlog.Index {
	if len(t.arrivals) == 0 {
		return 0
	}
	return t.arrivals[len(t.arrivals)-1].last
}

// KnownAt is when an entry was there at the latest; false for not yet.
func (t *ArrivalTimes) KnownAt(index replicatedlog.Index) (monotime.Instant, bool) {
	n := sort.Search(len(t.arrivals), func(n int) bool { return t.arrivals[n].last >= index })
	if n == len(t.arrivals) {
		return 0, false
	}
	return t.arrivals[n].at, true
}

// NewestAt is the newest entry that was there at a time; 0 where that is not known.
func (t *ArrivalTimes) NewestAt(at monotime.Instant) replicatedlog.Index {
	n := sort.Search(len(t.arrivals), func(n int) bool { return t.arrivals[n].at > at })
	if n == 0 {
		return 0
	}
	return t.arrivals[n-1].last
}
