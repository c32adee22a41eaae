package slotmap

import "testing"

// An event that arrives late for a value which is gone, after its slot was given out again, must not reach the new
// value.
func TestOldIDsFindNothing(t *testing.T) {
	var table Table[uint64, int]
	one, two := 1, 2
	first := table.Add(&one)
	table.Remove(first)
	table.Remove(first)
	second := table.Add(&two)
	if uint32(first) != uint32(second) {
		t.Fatalf("the slot is not given out again: %x and %x", first, second)
	}
	if table.Get(first) != nil || table.Get(0) != nil {
		t.Errorf("found: %v by the old id, %v by the zero id", table.Get(first), table.Get(0))
	}
	if *table.Get(second) != 2 || table.Len() != 1 {
		t.Errorf("%v of %d values", *table.Get(second), table.Len())
	}
	table.Remove(second)
	if table.Get(second) != nil || table.Len() != 0 {
		t.Error("a value is left")
	}
}
