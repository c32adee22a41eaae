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
	OldServed    = "served an old value"         // older than a purge that counts as done there
	NotDone      = "counted and not carried out" // no deletion of the key since it was published
	NeverCounted = "never done at a cache"       // at the end
)

// CachesPlay is how long a play's purges took from publishing until the last cache.
type CachesPlay struct {
	Play    string `json:"play"`
	Deleted Spans  `json:"to_first_deletion_at_last_cache"`
	Done    Spans  `json:"to_done_at_last_cache"`
}

// CachesReport is the judgement on caches.
type CachesReport struct {
	Breaches []Breach     `json:"breaches"`
	Caches   int          `json:"caches"`
	Purges   int          `json:"purges"`
	Deletes  int          `json:"deletions"`
	Emptied  int          `json:"emptied"`
	Served   int          `json:"served"`
	Plays    []CachesPlay `json:"plays"`
}

// Caches judges what caches did: purges are those of the whole log, with no index twice, records those of all caches.
func Caches(purges []logtrace.Purged, records []logtrace.Cached, looked func(cache string) bool) CachesReport {
	j := New(0, nil)
	r := CachesReport{Purges: len(purges), Breaches: []Breach{}}
	slices.SortFunc(purges, func(a, b logtrace.Purged) int { return cmp.Compare(a.Index, b.Index) })
	of := map[string][]logtrace.Cached{}
	for _, x := range records {
		of[x.Cache] = append(of[x.Cache], x)
	}
	r.Caches = len(of)
	deleted, done := make([]monotime.Instant, len(purges)), make([]monotime.Instant, len(purges))
	for name, all := range of {
		slices.SortStableFunc(all, func(a, b logtrace.Cached) int { return cmp.Compare(a.At, b.At) })
		first := map[string][]monotime.Instant{} // deletions of a key
		emptied, purged, upTo := monotime.LongAgo, map[string]uint64{}, 0
		for _, x := range all {
			switch x.What {
			case logtrace.Deleted:
				r.Deletes++
				first[x.Key] = append(first[x.Key], x.At)
			case logtrace.Emptied:
				r.Emptied++
				emptied = x.At
			case logtrace.Served:
				r.Served++
				if want := purged[x.Key]; x.Version < want {
					j.broke(OldServed, "%s: %s in version %d, after %d was purged", name, x.Key, x.Version, want)
				}
			case logtrace.Counted:
				for ; upTo < len(purges) && purges[upTo].Index <= x.Index; upTo++ {
					p := purges[upTo]
					if d := first[p.Key]; emptied < p.Sent && (len(d) == 0 || d[len(d)-1] < p.Sent) {
						j.broke(NotDone, "%s: entry %d", name, p.Index)
					}
					purged[p.Key] = max(purged[p.Key], p.Version)
					if looked == nil || looked(name) {
						done[upTo] = max(done[upTo], x.At)
					}
				}
			}
		}
		if upTo < len(purges) {
			j.broke(NeverCounted, "%s ended with %d purges of %d", name, upTo, len(purges))
		}
		for i, p := range purges {
			d := first[p.Key]
			if n, _ := slices.BinarySearch(d, p.Sent); n < len(d) && (looked == nil || looked(name)) {
				deleted[i] = max(deleted[i], d[n])
			}
		}
	}
	plays, order := map[string]*[2][]time.Duration{}, []string{}
	for i, p := range purges {
		if plays[p.Play] == nil {
			plays[p.Play], order = &[2][]time.Duration{}, append(order, p.Play)
		}
		for n, at := range []monotime.Instant{deleted[i], done[i]} {
			if at > 0 {
				plays[p.Play][n] = append(plays[p.Play][n], at.Since(p.Sent))
			}
		}
	}
	for _, play := range order {
		r.Plays = append(r.Plays, CachesPlay{play, spans(plays[play][0]), spans(plays[play][1])})
	}
	for _, what := range []string{OldServed, NotDone, NeverCounted} {
		if b := j.breach[what]; b != nil {
			r.Breaches = append(r.Breaches, *b)
		}
	}
	return r
}
