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

// Progress returns the progress of each cache in the list, sorted by name. listed is false until there is a list.
func (p *Purger) Progress() (all []purge.Progress, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, c := range p.caches {
		if c.stop != nil {
			all = append(all, c.progress(now))
		}
	}
	slices.SortFunc(all, func(a, b purge.Progress) int { return cmp.Compare(a.Cache, b.Cache) })
	return all, p.hasList
}

func (c *cache) progress(now monotime.Instant) purge.Progress {
	p := c.purger
	log, _, _ := p.Log.Position()
	cursor := c.Cursor()
	progress := purge.Progress{
		Cache:        string(c.id),
		Incarnation:  int64(cursor.Incarnation),
		Log:          uint64(cursor.Log),
		Done:         uint64(cursor.Done),
		QuickDeleted: uint64(c.QuickDeleted()),
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

// MergeProgress adopts the cursors reported by another control server, see purge.Cache.MergeCursor.
func (p *Purger) MergeProgress(reports []purge.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range reports {
		c := p.caches[purge.CacheID(report.Cache)]
		if c == nil {
			continue
		}
		cursor := purge.Cursor{
			Log:         replicatedlog.LogID(report.Log),
			Incarnation: purge.Incarnation(report.Incarnation),
			Done:        replicatedlog.Index(report.Done),
		}
		c.update(func() { c.MergeCursor(cursor) })
	}
}

// truncatedReason returns the text of an error, cut to the bound of a report.
func truncatedReason(err error) string {
	text := fmt.Sprint(err)
	return text[:min(len(text), maxReasonBytes)]
}
