package purger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// overdueTolerance is how long a purge may take beyond the longest fill before it is reported as overdue.
const overdueTolerance = 2 * time.Second

// Progress is up to where a control server has carried purges out at a cache, as servers report it to each other and to operators.
type Progress struct {
	Cache        string `cbor:"1,keyasint"`
	Started      int64  `cbor:"2,keyasint,omitempty"`  // the cache's purge.Incarnation
	Log          uint64 `cbor:"3,keyasint,omitempty"`  // of the cursor
	Done         uint64 `cbor:"4,keyasint,omitempty"`  // purges up to here are done
	FirstDeleted uint64 `cbor:"5,keyasint,omitempty"`  // each key up to here was deleted at least once
	Overdue      uint64 `cbor:"6,keyasint,omitempty"`  // entries that should be done by now
	Flushing     bool   `cbor:"7,keyasint,omitempty"`  // what it lacks is not kept: the cache has to be emptied
	Reason       string `cbor:"8,keyasint,omitempty"`  // why the last connection ended; empty once something was answered
	UnansweredMs uint64 `cbor:"9,keyasint,omitempty"`  // since something was answered, where something is due
	Server       uint64 `cbor:"10,keyasint,omitempty"` // id of the control server that reports; set by package controlserver
	AgeMs        uint64 `cbor:"11,keyasint,omitempty"` // since it reported; set by package controlserver
	OtherLog     bool   `cbor:"12,keyasint,omitempty"` // the cursor is of another log than the server has
}

// Progress returns how far each cache in the list is, by name. listed is false until there is a list.
func (p *Purger) Progress() (all []Progress, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, c := range p.caches {
		if c.stop != nil {
			all = append(all, c.progress(now))
		}
	}
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Compare(a.Cache, b.Cache) })
	return all, p.hasList
}

func (c *cache) progress(now monotime.Instant) Progress {
	p := c.purger
	log, _, _ := p.Log.Position()
	cursor := c.Cursor()
	progress := Progress{
		Cache:        string(c.id),
		Started:      int64(cursor.Started),
		Log:          uint64(cursor.Log),
		Done:         uint64(cursor.Done),
		FirstDeleted: uint64(c.FirstDeleted()),
		Overdue:      c.Overdue(now, &p.arrivals, overdueTolerance),
		Flushing:     c.Flushing(p.Log),
		Reason:       c.reason,
		OtherLog:     cursor.Log != log,
	}
	if _, awaiting := c.AwaitingAnswer(); awaiting || c.reason != "" {
		progress.UnansweredMs = uint64(max(0, now.Since(c.answeredAt)) / time.Millisecond)
	}
	return progress
}

// MergeProgress takes what another control server has done.
func (p *Purger) MergeProgress(reports []Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range reports {
		c := p.caches[purge.CacheID(report.Cache)]
		if c == nil {
			continue
		}
		cursor := purge.Cursor{
			Log:     replicatedlog.LogID(report.Log),
			Started: purge.Incarnation(report.Started),
			Done:    replicatedlog.Index(report.Done),
		}
		c.update(func() { c.MergeCursor(cursor) })
	}
}

// reasonOf is an error's text within the bounds of a report.
func reasonOf(err error) string {
	text := fmt.Sprint(err)
	return text[:min(len(text), maxReasonBytes)]
}
