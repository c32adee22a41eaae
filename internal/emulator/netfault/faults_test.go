package netfault

import (
	"testing"
	"time"
)

// A link must delay every datagram and segment by its delay plus at most its jitter, and in one direction only.
func TestLinkDelaysByDelayPlusJitterInOneDirection(t *testing.T) {
	const delay, jitter = 40 * time.Millisecond, 10 * time.Millisecond
	f := New(3)
	f.Change(1, 2, func(link *Link) { link.Delay, link.Jitter, link.Duplicate = delay, jitter, 1 })
	for range 100 {
		datagrams := f.Datagram(1, 2)
		segment, blocked := f.Segment(1, 2)
		if blocked || len(datagrams) != 2 {
			t.Fatalf("got datagrams %v, want 2; segment blocked: %t", datagrams, blocked)
		}
		for _, d := range append(datagrams, segment) {
			if d < delay || d > delay+jitter {
				t.Errorf("delay %v is not from %v to %v", d, delay, delay+jitter)
			}
		}
	}
	if opposite := f.Datagram(2, 1); len(opposite) != 1 || opposite[0] != 0 {
		t.Errorf("datagrams of the opposite direction have delays %v, want one of 0", opposite)
	}
	f.Change(1, 2, func(link *Link) { *link = Link{} })
	if all := f.Datagram(1, 2); len(all) != 1 || all[0] != 0 {
		t.Errorf("datagrams of the link without faults have delays %v, want one of 0", all)
	}
}
