package membership

import (
	"cmp"
	"slices"
	"testing"

	"dahliapin/internal/keyhash"
)

// The neighbours of a process in a ring must be its predecessor and successor in the ring's order, for any size of the
// fleet and any position of the process.
func TestRingNeighboursArePredecessorAndSuccessor(t *testing.T) {
	for _, n := range []int{14, 15, 40, 200} {
		ids := make([]ProcessID, n)
		for own := range n {
			id := ProcessID(keyhash.Mix(uint64(own + 1)))
			for i := range n {
				ids[i] = ProcessID(keyhash.Mix(uint64(i + 1)))
			}
			for ring := range ringCount {
				before, after := ringNeighbours(id, ids, ring)
				slices.SortFunc(ids, func(x, y ProcessID) int {
					return cmp.Compare(keyhash.Salted(uint64(x), ring), keyhash.Salted(uint64(y), ring))
				})
				i := slices.Index(ids, id)
				if before != ids[(i+n-1)%n] || after != ids[(i+1)%n] {
					t.Fatalf("%d processes, ring %d, at %d: %x and %x", n, ring, i, before, after)
				}
			}
		}
	}
}
