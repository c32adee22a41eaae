package slotmap

import "testing"

// A late event for a removed value must not reach the value that reuses its slot.
func TestStaleIDsFindNothing(t *testing.T) {
	var table Table[uint64, int]
	one, two := 1, 2
	first := table.Add(&one)
	table.Remove(first)
	table.Remove(first)
	second := table.Add(&two)
	if uint32(first) != uint32(second) {
		t.Fatalf("the slot is not reused: ids %x and %x", first, second)
	}
	if table.Get(first) != nil || table.Get(0) != nil {
		t.Errorf("got %v for the stale id, %v for the zero id", table.Get(first), table.Get(0))
	}
	if *table.Get(second) != 2 || table.Len() != 1 {
		t.Errorf("got value %v, with %d values in the table", *table.Get(second), table.Len())
	}
	table.Remove(second)
	if table.Get(second) != nil || table.Len() != 0 {
		t.Error("the value is still in the table after Remove")
	}
}
