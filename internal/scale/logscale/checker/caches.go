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
	StaleServed   = "served an old value"         // older than a purge that counts as done there
	NotCarriedOut = "counted and not carried out" // no deletion of the key since it was published
	NeverCounted  = "never done at a cache"       // at the end
)

// CachesPhase is the time that a phase's purges took from publishing until the last cache.
type CachesPhase struct {
	Phase   string        `json:"play"`
	Deleted DurationStats `json:"to_first_deletion_at_last_cache"`
	Done    DurationStats `json:"to_done_at_last_cache"`
}

// CachesReport is the result of checking the caches.
type CachesReport struct {
	Breaches []Breach      `json:"breaches"`
	Caches   int           `json:"caches"`    // that left a record
	Purges   int           `json:"purges"`    // of the whole log
	Deletes  int           `json:"deletions"` // of single keys, at all caches
	Emptied  int           `json:"emptied"`   // times that a cache was emptied as a whole
	Served   int           `json:"served"`    // values that caches served
	Phases   []CachesPhase `json:"plays"`
}

// CheckCaches checks the records of all caches against the purges of the whole log, in which no index occurs twice.
// Durations cover the caches for which looked returns true; nil selects all. Both slices are sorted in place.
func CheckCaches(purges []logtrace.PublishedPurge, records []logtrace.CacheEvent,
	looked func(cache string) bool) CachesReport {
	if looked == nil {
		looked = func(string) bool { return true }
	}
	c := &cacheChecker{
		checker: New(0, nil),
		looked:  looked,
		purges:  purges,
		deleted: make([]monotime.Instant, len(purges)),
		done:    make([]monotime.Instant, len(purges)),
		report:  CachesReport{Purges: len(purges)},
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

// cacheChecker checks one cache after the other.
type cacheChecker struct {
	checker *Checker // collects the breaches
	looked  func(cache string) bool
	purges  []logtrace.PublishedPurge // by index, ascending
	deleted []monotime.Instant        // by purge: its key's first deletion at the last cache; 0 for none
	done    []monotime.Instant        // by purge: when it counted as done at the last cache; 0 for never
	report  CachesReport
}

// cacheHistory is the state of one cache up to a record.
type cacheHistory struct {
	name      string
	deletions map[string][]monotime.Instant // by key, ascending
	emptied   monotime.Instant              // when it was last emptied as a whole
	required  map[string]uint64             // by key: the version below which it must not serve any more
	counted   int                           // purges that count as done here
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
		c.checker.addBreach(NeverCounted, "%s ended with %d purges of %d", name, h.counted, len(c.purges))
	}
	if !c.looked(name) {
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
			c.checker.addBreach(StaleServed, "%s: %s in version %d, after %d was purged",
				h.name, record.Key, record.Version, required)
		}
	case logtrace.Confirmed:
		for h.counted < len(c.purges) && c.purges[h.counted].Index <= record.Index {
			c.count(h, record.At)
		}
	}
}

// count marks the next purge as done at a cache, and checks that its key was deleted since it was published.
func (c *cacheChecker) count(h *cacheHistory, at monotime.Instant) {
	purge := c.purges[h.counted]
	deletions := h.deletions[purge.Key]
	deletedSince := len(deletions) > 0 && deletions[len(deletions)-1] >= purge.Sent
	if !deletedSince && h.emptied < purge.Sent {
		c.checker.addBreach(NotCarriedOut, "%s: entry %d", h.name, purge.Index)
	}
	h.required[purge.Key] = max(h.required[purge.Key], purge.Version)
	if c.looked(h.name) {
		c.done[h.counted] = max(c.done[h.counted], at)
	}
	h.counted++
}

// phases summarizes durations by phase, in the order in which the phases first appear in the log.
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
		phases = append(phases, CachesPhase{Phase: phase, Deleted: spans(t.deleted), Done: spans(t.done)})
	}
	return phases
}
