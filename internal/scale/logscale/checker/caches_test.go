package checker

import (
	"slices"
	"testing"

	"dahliapin/internal/emulator/logtrace"
)

// validCacheRecords returns the records of two caches at which three purges are done: two of the key a and one of b.
// For the last purge, cache two is flushed.
func validCacheRecords() (purged []logtrace.PublishedPurge, records []logtrace.CacheEvent) {
	purged = []logtrace.PublishedPurge{
		{Index: 2, Key: "a", Version: 2, Sent: 100, Phase: "p"},
		{Index: 3, Key: "b", Version: 2, Sent: 110, Phase: "p"},
		{Index: 5, Key: "a", Version: 3, Sent: 200, Phase: "q"},
	}
	records = []logtrace.CacheEvent{
		0:  {Cache: "one", At: 90, Kind: logtrace.Served, Key: "a", Version: 1},
		1:  {Cache: "one", At: 120, Kind: logtrace.Deleted, Key: "a"},
		2:  {Cache: "one", At: 121, Kind: logtrace.Deleted, Key: "b"},
		3:  {Cache: "one", At: 130, Kind: logtrace.Served, Key: "a", Version: 1},
		4:  {Cache: "one", At: 140, Kind: logtrace.Deleted, Key: "a"},
		5:  {Cache: "one", At: 150, Kind: logtrace.Confirmed, Index: 4},
		6:  {Cache: "one", At: 160, Kind: logtrace.Served, Key: "a", Version: 2},
		7:  {Cache: "one", At: 210, Kind: logtrace.Deleted, Key: "a"},
		8:  {Cache: "one", At: 250, Kind: logtrace.Confirmed, Index: 5},
		9:  {Cache: "one", At: 260, Kind: logtrace.Served, Key: "a", Version: 3},
		10: {Cache: "two", At: 125, Kind: logtrace.Deleted, Key: "a"},
		11: {Cache: "two", At: 125, Kind: logtrace.Deleted, Key: "b"},
		12: {Cache: "two", At: 155, Kind: logtrace.Confirmed, Index: 3},
		13: {Cache: "two", At: 240, Kind: logtrace.Emptied},
		14: {Cache: "two", At: 300, Kind: logtrace.Confirmed, Index: 9},
	}
	return purged, records
}

func TestCheckCachesFindsNoBreachInSoundRun(t *testing.T) {
	purged, records := validCacheRecords()
	r := CheckCaches(purged, records, nil)
	if len(r.Breaches) > 0 || r.Caches != 2 || r.Deletes != 6 || r.Emptied != 1 || r.Served != 4 || len(r.Phases) != 2 {
		t.Fatalf("unexpected report: %+v", r)
	}
	p := r.Phases[0]
	if p.Deleted.Max != 25e-9 || p.Done.Max != 55e-9 {
		t.Errorf("got %+v, want a deletion after 25 ns and completion after 55 ns at the last cache", p)
	}
	q := r.Phases[1]
	if q.Deleted.Max != 10e-9 || q.Done.Max != 100e-9 {
		t.Errorf("got %+v, want a deletion after 10 ns and completion after 100 ns at the last cache", q)
	}
}

func TestCheckCachesFindsEachBreach(t *testing.T) {
	for name, c := range map[string]struct {
		want   string
		mutate func(records []logtrace.CacheEvent) []logtrace.CacheEvent
	}{
		"an old value after the purge counts as done": {
			want:   StaleServed,
			mutate: func(r []logtrace.CacheEvent) []logtrace.CacheEvent { r[6].Version = 1; return r },
		},
		"an old value after the second purge": {
			want:   StaleServed,
			mutate: func(r []logtrace.CacheEvent) []logtrace.CacheEvent { r[9].Version = 2; return r },
		},
		"no deletion": {
			want:   NotCarriedOut,
			mutate: func(r []logtrace.CacheEvent) []logtrace.CacheEvent { return slices.Delete(r, 2, 3) },
		},
		"only a deletion from before the purge": {
			want:   NotCarriedOut,
			mutate: func(r []logtrace.CacheEvent) []logtrace.CacheEvent { r[7].At = 199; return r },
		},
		"only a flush from before the purge": {
			want:   NotCarriedOut,
			mutate: func(r []logtrace.CacheEvent) []logtrace.CacheEvent { r[13].At = 199; return r },
		},
		"a deletion after the purge counted as done": {
			want:   NotCarriedOut,
			mutate: func(r []logtrace.CacheEvent) []logtrace.CacheEvent { r[7].At = 251; return r },
		},
		"the last purge is never done at one cache": {
			want:   NeverCounted,
			mutate: func(r []logtrace.CacheEvent) []logtrace.CacheEvent { r[14].Index = 4; return r },
		},
	} {
		t.Run(name, func(t *testing.T) {
			purged, records := validCacheRecords()
			got := CheckCaches(purged, c.mutate(records), nil).Breaches
			if len(got) != 1 || got[0].What != c.want {
				t.Errorf("found %+v, want only: %s", got, c.want)
			}
		})
	}
}
