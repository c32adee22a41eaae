package policy

import (
	"fmt"
	"math/bits"
	"runtime"
	"slices"
	"testing"

	"dahliapin/internal/keyhash"
)

// plainAssign is the plain form of assignEvenly: it sorts all pairs.
func plainAssign(hashes []uint64, places, salt int) []int {
	pairs, placeOf, held := make([]uint64, len(hashes)*places), make([]int, len(hashes)), make([]int, places)
	mask := uint64(1)<<bits.Len(uint(len(pairs))) - 1
	for i := range pairs {
		pairs[i], placeOf[i/places] = keyhash.Salted(hashes[i/places], salt+i%places)&^mask|uint64(i), unassigned
	}
	slices.Sort(pairs)
	least, extra := len(hashes)/places, len(hashes)%places
	for _, q := range pairs {
		item, at := int(q&mask)/places, int(q&mask)%places
		if placeOf[item] == unassigned && (held[at] < least || held[at] == least && extra > 0) {
			if held[at]++; held[at] > least {
				extra--
			}
			placeOf[item] = at
		}
	}
	return placeOf
}

// Nodes of different versions run side by side, and must agree on where keys are.
func TestAssignmentIsThatOfAllPairsSorted(t *testing.T) {
	for _, items := range []int{0, 1, 2, 6, 7, 8, 9, 17, 64, 65, 199, 458} {
		hashes := make([]uint64, items)
		for i := range hashes {
			hashes[i] = keyhash.String(fmt.Sprint(items, "cache", i))
		}
		for _, places := range []int{segments, max(1, items), 3 * items / 2} {
			if places == 0 {
				continue
			}
			if got, want := assignEvenly(hashes, places, places), plainAssign(hashes, places, places); !slices.Equal(got, want) {
				t.Errorf("%d items over %d places: %v, want %v", items, places, got, want)
			}
		}
	}
}

// Two caches with one hash are two caches.
func TestAssignmentOfEqualHashes(t *testing.T) {
	hashes := slices.Repeat([]uint64{7}, 40)
	if got, want := assignEvenly(hashes, 40, 1), plainAssign(hashes, 40, 1); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestLeftNeighboursAreTheNearestToTheLeft(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 16, 457} {
		at := func(slot int) uint64 { return bits.Reverse64(uint64(slot)) }
		for slot, got := range leftNeighbours(n) {
			want := slot
			for s := range n { // distances wrap round
				if s != slot && (want == slot || at(slot)-at(s) < at(slot)-at(want)) {
					want = s
				}
			}
			if got != want {
				t.Errorf("left of %d of %d is %d, want %d", slot, n, got, want)
			}
		}
	}
}

// cachesNamed are caches as a list has them.
func cachesNamed(n int) (caches []*cache) {
	for i := range n {
		id := EndpointID(fmt.Sprint("cache-", i))
		caches = append(caches, &cache{Endpoint: Endpoint{ID: id, Weight: 1}, hash: keyhash.String(string(id))})
	}
	return caches
}

// allocated tells how many bytes a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Incident 60a37a: the pairs that are sorted grew with the square of the caches: 12 MB at 3,200 of them.
func TestPlacementSortsAFewPairsForEachCache(t *testing.T) {
	const mostForEach = 600 // bytes: 8 pairs for the slots and 7 for the segments, with room to grow, and what stays
	for _, n := range []int{200, 800, 3200} {
		caches := cachesNamed(n)
		if bytes := allocated(func() { newPlacement(caches) }); bytes > uint64(n*mostForEach) {
			t.Errorf("%d caches: %d bytes, %d each", n, bytes, int(bytes)/n)
		}
	}
}

// Where all caches of a segment take no connection, each slot is looked at once, and not each other slot for each of them: at 3,200 caches a
// single decision took 52 ms.
func TestSegmentOfDeadSlotsIsPassedOnce(t *testing.T) {
	const caches = 3200
	p, asked := newPlacement(cachesNamed(caches)), 0
	for i := range p {
		p[i].locate(keyhash.Mix(uint64(i)), func(*cache) bool { asked++; return true })
	}
	if asked > caches {
		t.Errorf("%d slots were looked at for %d caches", asked, caches)
	}
}

// BenchmarkPlacement is what the event loop waits for at each change of the set of caches.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{12, 200, 800, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			caches := cachesNamed(n)
			b.ReportAllocs()
			for b.Loop() {
				newPlacement(caches)
			}
		})
	}
}
