package slotmap

import "testing"

func TestLateIdsFindNothing(t *testing.T) {
	var table Table[uint64, int]
	one, two := 1, 2
	a := table.Add(&one)
	table.Remove(a)
	table.Remove(a)
	b := table.Add(&two)
	if uint32(a) != uint32(b) || table.Get(a) != nil || *table.Get(b) != 2 || table.Get(0) != nil || table.Len() != 1 {
		t.Errorf("%x %x %v %v %d", a, b, table.Get(a), table.Get(b), table.Len())
	}
	table.Remove(b)
	if table.Get(b) != nil || table.Len() != 0 {
		t.Error("a slot is left")
	}
}
