package judge

import (
	"slices"
	"testing"

	"dahliapin/internal/scale/changes/trace"
)

// soundCaches are two caches at which three purges are done: a's twice, b's once; one cache is flushed for the last.
func soundCaches() (purged []trace.Purged, records []trace.Cached) {
	purged = []trace.Purged{{Index: 2, Key: "a", Version: 2, Sent: 100, Play: "p"}, {Index: 3, Key: "b", Version: 2, Sent: 110, Play: "p"}, {Index: 5, Key: "a", Version: 3, Sent: 200, Play: "q"}}
	add := func(cache string, all ...trace.Cached) {
		for _, x := range all {
			x.Cache = cache
			records = append(records, x)
		}
	}
	add("one", trace.Cached{At: 90, What: trace.Served, Key: "a", Version: 1}, trace.Cached{At: 120, What: trace.Deleted, Key: "a"}, trace.Cached{At: 121, What: trace.Deleted, Key: "b"},
		trace.Cached{At: 130, What: trace.Served, Key: "a", Version: 1}, trace.Cached{At: 140, What: trace.Deleted, Key: "a"}, trace.Cached{At: 150, What: trace.Counted, Index: 4},
		trace.Cached{At: 160, What: trace.Served, Key: "a", Version: 2}, trace.Cached{At: 210, What: trace.Deleted, Key: "a"}, trace.Cached{At: 250, What: trace.Counted, Index: 5},
		trace.Cached{At: 260, What: trace.Served, Key: "a", Version: 3})
	add("two", trace.Cached{At: 125, What: trace.Deleted, Key: "a"}, trace.Cached{At: 125, What: trace.Deleted, Key: "b"}, trace.Cached{At: 155, What: trace.Counted, Index: 3},
		trace.Cached{At: 240, What: trace.Emptied}, trace.Cached{At: 300, What: trace.Counted, Index: 9})
	return purged, records
}

func TestEachBreachAtCachesIsSeenAndNoneWhereThereIsNone(t *testing.T) {
	purged, records := soundCaches()
	r := Caches(purged, records, nil)
	if len(r.Breaches) > 0 || r.Caches != 2 || r.Deletes != 6 || r.Emptied != 1 || r.Served != 4 || len(r.Plays) != 2 {
		t.Errorf("%+v", r)
	}
	if p, q := r.Plays[0], r.Plays[1]; p.Deleted.Most != 25e-9 || p.Done.Most != 55e-9 || q.Deleted.Most != 10e-9 || q.Done.Most != 100e-9 {
		t.Errorf("%+v", r.Plays)
	}
	for name, c := range map[string]struct {
		want string
		bend func(all *[]trace.Cached)
	}{
		"an old value where it counts":     {OldServed, func(all *[]trace.Cached) { (*all)[6].Version = 1 }},
		"the same after a flush":           {OldServed, func(all *[]trace.Cached) { (*all)[9].Version = 2 }},
		"no deletion":                      {NotDone, func(all *[]trace.Cached) { *all = slices.Delete(*all, 2, 3) }},
		"only one from before it":          {NotDone, func(all *[]trace.Cached) { (*all)[7].At = 199 }},
		"a flush from before it":           {NotDone, func(all *[]trace.Cached) { (*all)[13].At = 199 }},
		"an answer that came after it":     {NotDone, func(all *[]trace.Cached) { (*all)[7].At = 251 }},
		"the last is never counted at one": {NeverCounted, func(all *[]trace.Cached) { (*all)[14].Index = 4 }},
	} {
		purged, records := soundCaches()
		c.bend(&records)
		if got := Caches(purged, records, nil).Breaches; len(got) != 1 || got[0].What != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
