package checker

import (
	"slices"
	"testing"

	"dahliapin/internal/emulator/logtrace"
)

// soundCaches are two caches at which three purges are done: a's twice, b's once; one cache is flushed for the last.
func soundCaches() (purged []logtrace.Purged, records []logtrace.Cached) {
	purged = []logtrace.Purged{{Index: 2, Key: "a", Version: 2, Sent: 100, Play: "p"}, {Index: 3, Key: "b", Version: 2, Sent: 110, Play: "p"}, {Index: 5, Key: "a", Version: 3, Sent: 200, Play: "q"}}
	add := func(cache string, all ...logtrace.Cached) {
		for _, x := range all {
			x.Cache = cache
			records = append(records, x)
		}
	}
	add("one", logtrace.Cached{At: 90, What: logtrace.Served, Key: "a", Version: 1}, logtrace.Cached{At: 120, What: logtrace.Deleted, Key: "a"}, logtrace.Cached{At: 121, What: logtrace.Deleted, Key: "b"},
		logtrace.Cached{At: 130, What: logtrace.Served, Key: "a", Version: 1}, logtrace.Cached{At: 140, What: logtrace.Deleted, Key: "a"}, logtrace.Cached{At: 150, What: logtrace.Counted, Index: 4},
		logtrace.Cached{At: 160, What: logtrace.Served, Key: "a", Version: 2}, logtrace.Cached{At: 210, What: logtrace.Deleted, Key: "a"}, logtrace.Cached{At: 250, What: logtrace.Counted, Index: 5},
		logtrace.Cached{At: 260, What: logtrace.Served, Key: "a", Version: 3})
	add("two", logtrace.Cached{At: 125, What: logtrace.Deleted, Key: "a"}, logtrace.Cached{At: 125, What: logtrace.Deleted, Key: "b"}, logtrace.Cached{At: 155, What: logtrace.Counted, Index: 3},
		logtrace.Cached{At: 240, What: logtrace.Emptied}, logtrace.Cached{At: 300, What: logtrace.Counted, Index: 9})
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
		bend func(all *[]logtrace.Cached)
	}{
		"an old value where it counts":     {OldServed, func(all *[]logtrace.Cached) { (*all)[6].Version = 1 }},
		"the same after a flush":           {OldServed, func(all *[]logtrace.Cached) { (*all)[9].Version = 2 }},
		"no deletion":                      {NotDone, func(all *[]logtrace.Cached) { *all = slices.Delete(*all, 2, 3) }},
		"only one from before it":          {NotDone, func(all *[]logtrace.Cached) { (*all)[7].At = 199 }},
		"a flush from before it":           {NotDone, func(all *[]logtrace.Cached) { (*all)[13].At = 199 }},
		"an answer that came after it":     {NotDone, func(all *[]logtrace.Cached) { (*all)[7].At = 251 }},
		"the last is never counted at one": {NeverCounted, func(all *[]logtrace.Cached) { (*all)[14].Index = 4 }},
	} {
		purged, records := soundCaches()
		c.bend(&records)
		if got := Caches(purged, records, nil).Breaches; len(got) != 1 || got[0].What != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
