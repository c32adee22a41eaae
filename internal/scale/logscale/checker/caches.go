package checker

import (
	"cmp"
	"slices"
	"time"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/monotime"
)

// The breaches at caches.
const (
	StaleServed   = "served an old value"         // older than a purge that counts as done at the cache
	NotCarriedOut = "counted and not carried out" // the key was not deleted between publishing and completion
	NeverCounted  = "never done at a cache"       // a purge is not done at the end of the run
)

// CachesPhase summarizes the time from the publishing of a phase's purges until they took effect at the last cache.
type CachesPhase struct {
	Phase   string        `json:"play"`
	Deleted DurationStats `json:"to_first_deletion_at_last_cache"`
	Done    DurationStats `json:"to_done_at_last_cache"`
}

// CachesReport is the result of checking the caches.
type CachesReport struct {
	Breaches []Breach      `json:"breaches"`
	Caches   int           `json:"caches"`    // caches with a record
	Purges   int           `json:"purges"`    // purges in the whole log
	Deletes  int           `json:"deletions"` // deletions of single keys at all caches
	Emptied  int           `json:"emptied"`   // flushes and restarts of caches
	Served   int           `json:"served"`    // values that caches served
	Phases   []CachesPhase `json:"plays"`
}

// CheckCaches checks the records of all caches against the purges of the whole log, whose indexes must be unique.
// Durations cover the caches for which observed returns true; nil selects all. Both slices are sorted in place.
func CheckCaches(purges []logtrace.PublishedPurge, records []logtrace.CacheEvent,
	observed func(cache string) bool) CachesReport {
	if observed == nil {
		observed = func(string) bool { return true }
	}
	c := &cacheChecker{
		checker:  New(0, nil),
		observed: observed,
		purges:   purges,
		deleted:  make([]monotime.Instant, len(purges)),
		done:     make([]monotime.Instant, len(purges)),
		report:   CachesReport{Purges: len(purges)},
	}
	slices.SortFunc(purges, func(a, b logtrace.PublishedPurge) int { return cmp.Compare(a.Index, b.Index) })
	byCache := map[string][]logtrace.CacheEvent{}
	for _, record := range records {
		byCache[record.Cache] = append(byCache[record.Cache], record)
	}
	c.report.Caches = len(byCache)
	for name, all := range byCache {
		c.cache(name, all)
	}
	c.report.Phases = c.phases()
	c.report.Breaches = c.checker.breaches(StaleServed, NotCarriedOut, NeverCounted)
	return c.report
}

// cacheChecker checks the caches one after the other.
type cacheChecker struct {
	checker  *Checker // collects the breaches
	observed func(cache string) bool
	purges   []logtrace.PublishedPurge // in ascending order of their indexes
	deleted  []monotime.Instant        // by purge: first deletion of its key at the last cache; 0 for none
	done     []monotime.Instant        // by purge: when it counted as done at the last cache; 0 for never
	report   CachesReport
}

// cacheHistory is the state of one cache up to a record.
type cacheHistory struct {
	name      string
	deletions map[string][]monotime.Instant // by key, in ascending order
	emptied   monotime.Instant              // time of the last flush or restart
	required  map[string]uint64             // by key: lowest version that the cache may still serve
	counted   int                           // number of purges that count as done at the cache
}

// cache checks one cache by its records.
func (c *cacheChecker) cache(name string, records []logtrace.CacheEvent) {
	slices.SortStableFunc(records, func(a, b logtrace.CacheEvent) int { return cmp.Compare(a.At, b.At) })
	h := &cacheHistory{
		name:      name,
		deletions: map[string][]monotime.Instant{},
		emptied:   monotime.LongAgo,
		required:  map[string]uint64{},
	}
	for _, record := range records {
		c.record(h, record)
	}
	if h.counted < len(c.purges) {
		c.checker.addBreach(NeverCounted, "%s: %d of %d purges count as done", name, h.counted, len(c.purges))
	}
	if !c.observed(name) {
		return
	}
	for i, purge := range c.purges {
		deletions := h.deletions[purge.Key]
		first, _ := slices.BinarySearch(deletions, purge.Sent)
		if first < len(deletions) {
			c.deleted[i] = max(c.deleted[i], deletions[first])
		}
	}
}

// record processes the next record of a cache.
func (c *cacheChecker) record(h *cacheHistory, record logtrace.CacheEvent) {
	switch record.Kind {
	case logtrace.Deleted:
		c.report.Deletes++
		h.deletions[record.Key] = append(h.deletions[record.Key], record.At)
	case logtrace.Emptied:
		c.report.Emptied++
		h.emptied = record.At
	case logtrace.Served:
		c.report.Served++
		if required := h.required[record.Key]; record.Version < required {
			c.checker.addBreach(StaleServed, "%s: served version %d of %s, but version %d is required",
				h.name, record.Version, record.Key, required)
		}
	case logtrace.Confirmed:
		for h.counted < len(c.purges) && c.purges[h.counted].Index <= record.Index {
			c.count(h, record.At)
		}
	}
}

// count marks the next purge as done at a cache, and checks that its key was deleted after it was published.
func (c *cacheChecker) count(h *cacheHistory, at monotime.Instant) {
	purge := c.purges[h.counted]
	deletions := h.deletions[purge.Key]
	deletedSince := len(deletions) > 0 && deletions[len(deletions)-1] >= purge.Sent
	if !deletedSince && h.emptied < purge.Sent {
		c.checker.addBreach(NotCarriedOut, "%s: entry %d, key %s", h.name, purge.Index, purge.Key)
	}
	h.required[purge.Key] = max(h.required[purge.Key], purge.Version)
	if c.observed(h.name) {
		c.done[h.counted] = max(c.done[h.counted], at)
	}
	h.counted++
}

// phases summarizes the durations by phase, in the order in which the phases first appear in the log.
func (c *cacheChecker) phases() []CachesPhase {
	type times struct{ deleted, done []time.Duration }
	byPhase := map[string]*times{}
	var order []string
	for i, purge := range c.purges {
		t := byPhase[purge.Phase]
		if t == nil {
			t = &times{}
			byPhase[purge.Phase] = t
			order = append(order, purge.Phase)
		}
		if c.deleted[i] > 0 {
			t.deleted = append(t.deleted, c.deleted[i].Since(purge.Sent))
		}
		if c.done[i] > 0 {
			t.done = append(t.done, c.done[i].Since(purge.Sent))
		}
	}
	var phases []CachesPhase
	for _, phase := range order {
		t := byPhase[phase]
		phases = append(phases, CachesPhase{Phase: phase, Deleted: summarize(t.deleted), Done: summarize(t.done)})
	}
	return phases
}
