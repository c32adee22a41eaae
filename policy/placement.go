package policy

import (
	"cmp"
	"math/bits"
	"slices"

	"dahliapin/internal/keyhash"
)

// segmentCount is the number of disjoint segments (k in docs/design.md): each offers one location for a key.
const segmentCount = 7

// placement is that of Kinesis, section 3.1 (see docs/design.md): the caches are spread evenly over disjoint segments,
// each segment has one slot for each of its caches, and linear hashing says which slot of a segment holds a key. It
// depends on the set of caches alone, so nodes with the same list agree.
type placement [segmentCount]segment

// segment holds its caches by slot.
type segment struct {
	slots []*upstream
	left  []int // of each slot the next one to the left in the key space; nil until a dead slot was passed
}

// newPlacement places caches. Its work grows with their number times its logarithm, but for one hash of each pair of a
// cache and a slot of its segment: the event loop waits for it at each change of the set.
func newPlacement(caches []*upstream) *placement {
	var p placement
	for i, s := range assignEvenly(hashesOf(caches), segmentCount, 0) {
		p[s].slots = append(p[s].slots, caches[i])
	}
	for i := range p {
		members := p[i].slots
		p[i].slots = make([]*upstream, len(members))
		for member, slot := range assignEvenly(hashesOf(members), len(members), segmentCount) {
			p[i].slots[slot] = members[member]
		}
	}
	return &p
}

func hashesOf(caches []*upstream) []uint64 {
	hashes := make([]uint64, len(caches))
	for i, c := range caches {
		hashes[i] = c.hash
	}
	return hashes
}

// lookup returns the cache whose slot holds a key, by the key's hash for this segment; nil in an empty segment. A dead
// slot passes its keys to the next one to the left (3.1.1, Fig. 2); if all are dead, the first slot keeps them.
func (s *segment) lookup(hash uint64, unreachable func(*upstream) bool) *upstream {
	if len(s.slots) == 0 {
		return nil
	}
	slot := linearSlot(hash, len(s.slots))
	for i := 0; i < len(s.slots) && unreachable(s.slots[slot]); i++ {
		if s.left == nil {
			s.left = leftNeighbours(len(s.slots))
		}
		slot = s.left[slot]
	}
	return s.slots[slot]
}

// linear is linear hashing (3.1.1): the slot of n that holds a hash.
func linearSlot(hash uint64, n int) int {
	level := bits.Len(uint(n)) - 1
	if slot := int(hash & (1<<(level+1) - 1)); slot < n {
		return slot
	}
	return int(hash & (1<<level - 1))
}

// leftNeighbours returns, for each of n slots, the slot next to the left in the key space (Fig. 2), which wraps round.
// There, slots lie in the order of their reversed bits.
func leftNeighbours(n int) []int {
	order := make([]int, n)
	for slot := range order {
		order[slot] = slot
	}
	position := func(slot int) uint64 { return bits.Reverse64(uint64(slot)) }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(position(a), position(b)) })
	left := make([]int, n)
	for i, slot := range order {
		left[slot] = order[(i+n-1)%n]
	}
	return left
}

// unassigned stands for the place of an item that has none yet.
const unassigned = -1

// assignment spreads items evenly over places, so that few move when one item comes or goes: each pair of an item and a
// place has a score by hash, and pairs are taken from the lowest score up, as far as the item has no place yet and the
// place has capacity left.
type assignment struct {
	hashes      []uint64 // of the items
	salts       []uint64 // of the places
	pairMask    uint64   // the low bits of a score, which hold its pair's number: scores are distinct
	placeOf     []int    // of each item; unassigned for none yet
	assigned    []int    // items at each place
	minPerPlace int      // items that every place gets
	remainder   int      // places that may still get one more
	scoreLimit  uint64   // the score up to which pairs were taken by now
	openItems   []int    // without a place
	openPlaces  []int    // with capacity left
}

// assignEvenly returns the place of each item, from 0 up to places. The salt distinguishes assignments of the same
// items.
func assignEvenly(hashes []uint64, places, salt int) []int {
	if len(hashes) == 0 {
		return nil
	}
	a := newAssignment(hashes, places, salt)
	for len(a.openItems) > 0 {
		a.assignUpTo(a.raiseScoreLimit())
		a.removeClosed()
	}
	return a.placeOf
}

func newAssignment(hashes []uint64, places, salt int) *assignment {
	a := &assignment{
		hashes:      hashes,
		salts:       make([]uint64, places),
		pairMask:    1<<bits.Len(uint(len(hashes)*places)) - 1,
		placeOf:     make([]int, len(hashes)),
		assigned:    make([]int, places),
		minPerPlace: len(hashes) / places,
		remainder:   len(hashes) % places,
		openItems:   make([]int, len(hashes)),
		openPlaces:  make([]int, places),
	}
	for place := range places {
		a.salts[place] = keyhash.Salt(salt + place)
		a.openPlaces[place] = place
	}
	for item := range hashes {
		a.placeOf[item] = unassigned
		a.openItems[item] = item
	}
	return a
}

// candidatesPerItem is how many pairs of each open item a round looks at, on the mean: by it all but a ninth of the
// items find a place. Sorting all pairs would grow with the square of the items; each round has a few for each, and the
// next one a ninth of the items.
const candidatesPerItem = 8

// nextBound returns the score up to which the next round takes pairs: the highest one once few places are open. It at
// least doubles, so that an end comes whatever the hashes are.
func (a *assignment) raiseScoreLimit() uint64 {
	const highest = ^uint64(0)
	open := uint64(len(a.openPlaces))
	if open <= candidatesPerItem || a.scoreLimit > highest/2 {
		a.scoreLimit = highest
	} else {
		a.scoreLimit = max(2*a.scoreLimit, highest/open*candidatesPerItem)
	}
	return a.scoreLimit
}

// takeBelow takes the open pairs up to a score, in their order. What was left open by earlier rounds had no open pair
// up to their bounds.
func (a *assignment) assignUpTo(limit uint64) {
	places := uint64(len(a.salts))
	highest := limit | a.pairMask
	salts := make([]uint64, len(a.openPlaces))
	for i, place := range a.openPlaces {
		salts[i] = a.salts[place]
	}
	scores := make([]uint64, 0, len(a.openItems)*(min(candidatesPerItem, len(salts))+1))
	for _, item := range a.openItems {
		hash := a.hashes[item]
		firstPair := uint64(item) * places
		for i, salt := range salts {
			mixed := keyhash.Mix(hash ^ salt)
			if mixed > highest { // most are, and need no more than this
				continue
			}
			if score := mixed&^a.pairMask | (firstPair + uint64(a.openPlaces[i])); score <= limit {
				scores = append(scores, score)
			}
		}
	}
	slices.Sort(scores)
	for _, score := range scores {
		pair := score & a.pairMask
		a.assign(int(pair/places), int(pair%places))
	}
}

// take assigns an item to a place, if both are open.
func (a *assignment) assign(item, place int) {
	if a.placeOf[item] != unassigned || !a.hasRoom(place) {
		return
	}
	a.placeOf[item] = place
	a.assigned[place]++
	if a.assigned[place] > a.minPerPlace {
		a.remainder--
	}
}

func (a *assignment) hasRoom(place int) bool {
	return a.assigned[place] < a.minPerPlace || a.assigned[place] == a.minPerPlace && a.remainder > 0
}

func (a *assignment) removeClosed() {
	a.openItems = slices.DeleteFunc(a.openItems, func(item int) bool { return a.placeOf[item] != unassigned })
	a.openPlaces = slices.DeleteFunc(a.openPlaces, func(place int) bool { return !a.hasRoom(place) })
}
