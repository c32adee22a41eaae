package policy

import (
	"cmp"
	"math/bits"
	"slices"

	"dahliapin/internal/keyhash"
)

// segmentCount is the number of disjoint segments (k in docs/design.md). Each segment has one possible location for a
// key.
const segmentCount = 7

// placement assigns keys to caches as in Kinesis, section 3.1 (see docs/design.md): the caches are spread evenly over
// disjoint segments, each segment has one slot for each of its caches, and linear hashing selects the slot of a segment
// that holds a key. A placement depends only on the set of caches, so nodes with the same list agree.
type placement [segmentCount]segment

// segment holds the caches of one segment by slot.
type segment struct {
	slots []*upstream
	left  []int // for each slot, its left neighbour in the key space; nil until first needed
}

// newPlacement returns the placement of n caches. It computes about n²/7 hashes, one per pair of a cache and a slot of
// its segment; all other work is O(n log n). It has to be fast because the event loop is blocked during each change of
// the set of caches.
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

// lookup returns the cache whose slot holds a key, given the key's hash for this segment; nil in an empty segment. An
// unreachable slot passes its keys to its left neighbour (section 3.1.1, Fig. 2). If all slots are unreachable, the
// first one keeps the key.
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

// linearSlot returns the slot, of n, that holds a hash, by linear hashing (section 3.1.1).
func linearSlot(hash uint64, n int) int {
	level := bits.Len(uint(n)) - 1
	if slot := int(hash & (1<<(level+1) - 1)); slot < n {
		return slot
	}
	return int(hash & (1<<level - 1))
}

// leftNeighbours returns, for each of n slots, its left neighbour in the key space (Fig. 2). The key space wraps
// around, and its slots are ordered by their reversed bits.
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

// unassigned marks an item without a place.
const unassigned = -1

// assignment spreads items evenly over places such that few items move when one is added or removed: each pair of an
// item and a place has a hash score, and pairs are accepted in ascending order of score if the item has no place yet
// and the place has room.
type assignment struct {
	hashes      []uint64 // of the items
	salts       []uint64 // of the places
	pairMask    uint64   // low bits of a score that hold the pair's index, which makes scores distinct
	placeOf     []int    // by item; unassigned if it has none yet
	assigned    []int    // number of items by place
	minPerPlace int      // number of items that every place gets
	remainder   int      // number of places that may still get one item more
	scoreLimit  uint64   // score up to which pairs have been processed
	openItems   []int    // items without a place
	openPlaces  []int    // places with room
}

// assignEvenly returns the place of each item, from 0 to places-1. Assignments of the same items with different salts
// are independent.
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

// candidatesPerItem is the mean number of pairs that a round considers for each open item. Each round sorts a few pairs
// per item and leaves about a ninth of the items for the next one, whereas sorting all pairs would take time quadratic
// in the number of items.
const candidatesPerItem = 8

// raiseScoreLimit raises and returns the score up to which the next round accepts pairs: the highest score once few
// places are open. The limit at least doubles, so that the loop ends for any set of hashes.
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

// assignUpTo processes the open pairs up to a score, in ascending order. Pairs up to the limits of earlier rounds are
// not open any more.
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
			if mixed > highest { // true of most pairs, so this check comes first
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

// assign assigns an item to a place if both are open.
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
