package netfault

import (
	"testing"
	"time"
)

// What a way takes is taken by all that goes it, and what is late by chance comes on top.
func TestDelayOfAWay(t *testing.T) {
	const delay, late = 40 * time.Millisecond, 10 * time.Millisecond
	f := New(3)
	f.Change(1, 2, func(w *Way) { w.Delay, w.Late, w.Twice = delay, late, 1 })
	for range 100 {
		all := f.Fate(1, 2)
		piece, stands := f.Piece(1, 2)
		if stands || len(all) != 2 {
			t.Fatalf("%v, stands %t", all, stands)
		}
		for _, d := range append(all, piece) {
			if d < delay || d > delay+late {
				t.Errorf("%v, and not from %v to %v", d, delay, delay+late)
			}
		}
	}
	if back := f.Fate(2, 1); len(back) != 1 || back[0] != 0 {
		t.Errorf("the other way took %v", back)
	}
	f.Change(1, 2, func(w *Way) { *w = Way{} })
	if all := f.Fate(1, 2); len(all) != 1 || all[0] != 0 {
		t.Errorf("once it was mended it took %v", all)
	}
}
