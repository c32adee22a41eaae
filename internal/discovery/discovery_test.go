package discovery

import (
	"slices"
	"testing"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/policy"
)

// 80 nodes whose calls were refused called 1,200 times a second, in step, and discovery never came back to itself. No node may rest for longer
// than news can wait, so their calls grow with their number, but all of them are spread from the first refusal on.
func TestRefusedCallsForTheListAreFewOverTheFleet(t *testing.T) {
	for nodes, most := range map[int]int{1: 10, 80: 45, 800: 400} {
		perSecond := make([]int, 60)
		for n := range nodes {
			c, chance := New(nodes), keyhash.Source{Seed: uint32(n)}
			for at := time.Duration(0); ; {
				rest, _ := c.OnFailure(Refused, 0, chance.Float64())
				if rest > refusedMost {
					t.Fatalf("rests %v", rest)
				}
				if at += rest; at >= time.Minute {
					break
				}
				perSecond[at/time.Second]++
			}
		}
		if first, later := slices.Max(perSecond[:30]), slices.Max(perSecond[30:]); first > most || later > most {
			t.Errorf("%d nodes call %d times in a second at first and %d later", nodes, first, later)
		}
	}
	c := New(80)
	if rest, _ := c.OnFailure(ConnectionLost, 0, 0.99); rest > 150*time.Millisecond {
		t.Errorf("a watch that broke is renewed after %v: over the 200 ms in which it goes on", rest)
	}
}

// An answer that cannot be read made each call one for the same news again; a failure that has passed must leave no pause.
func TestAfterAFailureTheWholeListOrTheSameNewsIsAskedFor(t *testing.T) {
	c := New(80)
	c.SetVersion(7)
	for i, how := range []Failure{ConnectionLost, Refused, Unreadable} {
		_, first := c.OnFailure(how, 0, 0.5)
		if next := c.NextPoll(); first != (i == 0) || next.Complete != (how == Unreadable) || !next.Complete && next.SinceVersion != 7 {
			t.Errorf("after one that was %v, first %v: %+v", how, first, next)
		}
	}
	for range 20 { // a discovery that was down for some seconds was asked again only half a minute later
		if rest, _ := c.OnFailure(ConnectionLost, 0, 1); rest > lostMost {
			t.Errorf("after a call that was lost it rests %v", rest)
		}
	}
	form, again := c.OnUpdate(9, false)
	if rest, first := c.OnFailure(ConnectionLost, 0, 1); form != policy.CompleteUpdate || !again || !first || rest > againWithin || c.NextPoll().SinceVersion != 9 {
		t.Errorf("took the whole list as %v (%v), then rests %v (%v), then %+v", form, again, rest, first, c.NextPoll())
	}
}
