package discovery

import (
	"slices"
	"testing"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/policy"
)

// 80 nodes whose calls were refused called 1,200 times a second, in step, and discovery never came back to itself.
func TestRefusedCallsForTheListAreFewOverTheFleet(t *testing.T) {
	for _, nodes := range []int{1, 80, 800} {
		perSecond := make([]int, 60)
		for n := range nodes {
			c, chance := New(nodes), keyhash.Source{Seed: uint32(n)}
			for at := time.Duration(0); ; {
				rest, _ := c.Failed(Refused, chance.Next())
				if at += rest; at >= time.Minute {
					break
				}
				perSecond[at/time.Second]++
			}
		}
		if first, later := slices.Max(perSecond[:30]), slices.Max(perSecond[30:]); first > 100 || later > 100 || nodes == 80 && first > 25 {
			t.Errorf("%d nodes call %d times in a second at first and %d later", nodes, first, later)
		}
	}
	c := New(80)
	if rest, _ := c.Failed(Lost, 0.99); rest > 150*time.Millisecond {
		t.Errorf("a watch that broke is renewed after %v: over the 200 ms in which it goes on", rest)
	}
}

// An answer that cannot be read made each call one for the same news again; and a failure that has passed must leave none of
// its pauses behind.
func TestAfterAFailureTheWholeListOrTheSameNewsIsAskedFor(t *testing.T) {
	c := New(80)
	c.Hold(7)
	for i, how := range []Failure{Lost, Refused, Unreadable} {
		if _, first := c.Failed(how, 0.5); first != (i == 0) {
			t.Errorf("failure %d: first in a row is %v", i, first)
		}
		if next := c.Next(); next.Whole != (how == Unreadable) || !next.Whole && next.Since != 7 {
			t.Errorf("after one that was %v: %+v", how, next)
		}
	}
	if form, again := c.Heard(9, false); form != policy.Whole || !again {
		t.Errorf("asked for the whole list, took the answer as %v (%v)", form, again)
	}
	if rest, first := c.Failed(Lost, 1); !first || rest > againWithin || c.Next().Since != 9 {
		t.Errorf("rests %v (%v) after one failure, then %+v", rest, first, c.Next())
	}
}
