// Package slotmap stores values in numbered slots. An id combines the index and the generation of a slot, so that a
// late event for a removed value finds nothing even if its slot has been reused.
package slotmap

// Table holds values of type T under ids of type K. The zero id finds nothing. The zero Table is empty and ready for
// use.
type Table[K ~uint64, T any] struct {
	slots []*slot[T]
	free  []uint32 // indexes of unused slots
}

type slot[T any] struct {
	generation uint32 // odd while the slot is in use
	value      *T     // nil while the slot is unused
}

// id returns the id of a slot in the given generation.
func id[K ~uint64](generation, index uint32) K { return K(generation)<<32 | K(index) }

// Add stores a value and returns its id.
func (t *Table[K, T]) Add(value *T) K {
	if len(t.free) == 0 {
		t.free = append(t.free, uint32(len(t.slots)))
		t.slots = append(t.slots, &slot[T]{})
	}
	index := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	s := t.slots[index]
	s.generation++
	s.value = value
	return id[K](s.generation, index)
}

// Get returns the value with the given id, or nil if it has been removed.
func (t *Table[K, T]) Get(k K) *T {
	index := uint32(k)
	if int(index) < len(t.slots) && t.slots[index].generation == uint32(k>>32) {
		return t.slots[index].value
	}
	return nil
}

// Remove removes a value. It does nothing if the value has already been removed.
func (t *Table[K, T]) Remove(k K) {
	if t.Get(k) == nil {
		return
	}
	s := t.slots[uint32(k)]
	s.generation++
	s.value = nil
	t.free = append(t.free, uint32(k))
}

// Len returns the number of values.
func (t *Table[K, T]) Len() int { return len(t.slots) - len(t.free) }

// Each calls f for every value, in slot order. f may remove values.
func (t *Table[K, T]) Each(f func(K, *T)) {
	for index, s := range t.slots {
		if s.value != nil {
			f(id[K](s.generation, uint32(index)), s.value)
		}
	}
}
