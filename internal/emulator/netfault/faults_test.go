package netfault

import (
	"testing"
	"time"
)

// A link delays everything on it by its delay, and by up to its jitter more, in one direction only.
func TestDelayOfALink(t *testing.T) {
	const delay, late = 40 * time.Millisecond, 10 * time.Millisecond
	f := New(3)
	f.Change(1, 2, func(link *Link) { link.Delay, link.Jitter, link.Duplicate = delay, late, 1 })
	for range 100 {
		all := f.Datagram(1, 2)
		segment, blocked := f.Segment(1, 2)
		if blocked || len(all) != 2 {
			t.Fatalf("%v, blocked %t", all, blocked)
		}
		for _, d := range append(all, segment) {
			if d < delay || d > delay+late {
				t.Errorf("delay %v is not from %v to %v", d, delay, delay+late)
			}
		}
	}
	if back := f.Datagram(2, 1); len(back) != 1 || back[0] != 0 {
		t.Errorf("the other direction took %v", back)
	}
	f.Change(1, 2, func(link *Link) { *link = Link{} })
	if all := f.Datagram(1, 2); len(all) != 1 || all[0] != 0 {
		t.Errorf("without the fault it took %v", all)
	}
}
