package policy

import (
	"fmt"
	"math/bits"
	"runtime"
	"slices"
	"testing"

	"dahliapin/internal/keyhash"
)

// referenceAssign is a simple implementation of assignEvenly that sorts all pairs.
func referenceAssign(hashes []uint64, places, salt int) []int {
	pairs := make([]uint64, len(hashes)*places)
	placeOf := make([]int, len(hashes))
	mask := uint64(1)<<bits.Len(uint(len(pairs))) - 1
	for i := range pairs {
		score := keyhash.Salted(hashes[i/places], salt+i%places)
		pairs[i] = score&^mask | uint64(i)
		placeOf[i/places] = unassigned
	}
	slices.Sort(pairs)
	assigned := make([]int, places)
	minPerPlace := len(hashes) / places
	remainder := len(hashes) % places
	for _, pair := range pairs {
		item := int(pair&mask) / places
		place := int(pair&mask) % places
		hasRoom := assigned[place] < minPerPlace || assigned[place] == minPerPlace && remainder > 0
		if placeOf[item] != unassigned || !hasRoom {
			continue
		}
		assigned[place]++
		if assigned[place] > minPerPlace {
			remainder--
		}
		placeOf[item] = place
	}
	return placeOf
}

// Nodes of different versions run side by side and must agree on where keys are, so the assignment in rounds must equal
// that of earlier versions, which sorted all pairs.
func TestAssignEvenlyMatchesReference(t *testing.T) {
	for _, items := range []int{0, 1, 2, 6, 7, 8, 9, 17, 64, 65, 199, 458} {
		hashes := make([]uint64, items)
		for i := range hashes {
			hashes[i] = keyhash.String(fmt.Sprint(items, "cache", i))
		}
		for _, places := range []int{segmentCount, max(1, items), 3 * items / 2} {
			if places == 0 {
				continue
			}
			got := assignEvenly(hashes, places, places)
			want := referenceAssign(hashes, places, places)
			if !slices.Equal(got, want) {
				t.Errorf("%d items over %d places: got %v, want %v", items, places, got, want)
			}
		}
	}
}

// Caches with equal hashes must each get a slot.
func TestAssignEvenlyWithEqualHashes(t *testing.T) {
	hashes := slices.Repeat([]uint64{7}, 40)
	got := assignEvenly(hashes, 40, 1)
	want := referenceAssign(hashes, 40, 1)
	if !slices.Equal(got, want) {
		t.Errorf("assigned %v, want %v", got, want)
	}
}

func TestLinearHashingMatchesKinesisFigure2(t *testing.T) {
	for hash, want := range []int{0, 1, 2, 3, 4, 5, 2, 3} { // six slots; 2 and 3 are not split yet
		if got := linearSlot(uint64(hash), 6); got != want {
			t.Errorf("key %d is in slot %d, want %d", hash, got, want)
		}
	}
	for slot, want := range map[int]int{2: 4, 4: 0, 1: 2, 5: 1, 3: 5, 0: 3} { // slots in key-space order: 0 4 2 1 5 3
		if got := leftNeighbours(6)[slot]; got != want {
			t.Errorf("left neighbour of %d is %d, want %d", slot, got, want)
		}
	}
}

func TestLeftNeighboursAreTheNearestToTheLeft(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 16, 457} {
		at := func(slot int) uint64 { return bits.Reverse64(uint64(slot)) }
		for slot, got := range leftNeighbours(n) {
			want := slot
			for s := range n { // distances wrap around
				if s != slot && (want == slot || at(slot)-at(s) < at(slot)-at(want)) {
					want = s
				}
			}
			if got != want {
				t.Errorf("left neighbour of %d of %d is %d, want %d", slot, n, got, want)
			}
		}
	}
}

// namedCaches returns n caches with ids as in an endpoint list.
func namedCaches(n int) (caches []*upstream) {
	for i := range n {
		id := EndpointID(fmt.Sprint("cache-", i))
		endpoint := Endpoint{ID: id, Weight: 1}
		caches = append(caches, &upstream{Endpoint: endpoint, hash: keyhash.String(string(id))})
	}
	return caches
}

// allocatedBytes returns how many bytes a function allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against sorting all pairs of a cache and a slot at once. The number of pairs grows with the square of the
// number of caches; 3,200 caches took 12 MB and blocked the event loop meanwhile.
func TestNewPlacementMemoryGrowsLinearly(t *testing.T) {
	// 8 pairs for the slots and 7 for the segments, spare capacity of slices, and the placement itself
	const maxBytesPerCache = 600
	for _, n := range []int{200, 800, 3200} {
		caches := namedCaches(n)
		if bytes := allocatedBytes(func() { newPlacement(caches) }); bytes > uint64(n*maxBytesPerCache) {
			t.Errorf("%d caches: allocated %d bytes, %d per cache", n, bytes, int(bytes)/n)
		}
	}
}

// Guards against slow lookups when all caches of a segment are unreachable: the lookup moves from slot to slot, and
// each step searched all slots for the left neighbour, so that one decision took 52 ms with 3,200 caches. Each slot
// must be visited at most once.
func TestLookupVisitsEachUnreachableSlotOnce(t *testing.T) {
	const caches = 3200
	p := newPlacement(namedCaches(caches))
	visited := 0
	unreachable := func(*upstream) bool {
		visited++
		return true
	}
	for i := range p {
		p[i].lookup(keyhash.Mix(uint64(i)), unreachable)
	}
	if visited > caches {
		t.Errorf("lookups visited %d slots for %d caches", visited, caches)
	}
}
