// Package slots keeps things in numbered slots. An id holds its slot's number and how often that was given out,
// so an event that comes late for what is gone finds nothing, though the slot is in use again.
package slotmap

// Table holds things of type T under ids of type K. The zero id finds nothing.
type Table[K ~uint64, T any] struct {
	slots []*slot[T]
	free  []uint32
}

type slot[T any] struct {
	given uint32 // odd while in use
	thing *T
}

// Add gives out a slot.
func (t *Table[K, T]) Add(thing *T) K {
	if len(t.free) == 0 {
		t.free = append(t.free, uint32(len(t.slots)))
		t.slots = append(t.slots, &slot[T]{})
	}
	at := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	s := t.slots[at]
	s.given++
	s.thing = thing
	return K(s.given)<<32 | K(at)
}

// Get returns what an id was given out for, or nil once that is gone.
func (t *Table[K, T]) Get(id K) *T {
	if at := uint32(id); int(at) < len(t.slots) && t.slots[at].given == uint32(id>>32) {
		return t.slots[at].thing
	}
	return nil
}

// Remove takes a slot back; an id that is gone is ignored.
func (t *Table[K, T]) Remove(id K) {
	if t.Get(id) == nil {
		return
	}
	s := t.slots[uint32(id)]
	s.given++
	s.thing = nil
	t.free = append(t.free, uint32(id))
}

// Len counts the slots in use.
func (t *Table[K, T]) Len() int { return len(t.slots) - len(t.free) }

// Each calls f for every slot in use, in the order of their numbers; f may drop.
func (t *Table[K, T]) Each(f func(K, *T)) {
	for at, s := range t.slots {
		if s.thing != nil {
			f(K(s.given)<<32|K(at), s.thing)
		}
	}
}
