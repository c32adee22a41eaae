package degradation

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliapin/policy"
)

func init() { flag.Set("rapid.seed", "1") } // the same signals each time, unless a seed is asked for

var plan = []Level{{Name: "mild", Enter: Shares{Late: 0.2}, Leave: Shares{Late: 0.1}, MinStayS: 4, Shed: []string{"read"}},
	{Name: "hard", Enter: Shares{Late: 0.5}, Leave: Shares{Late: 0.3}, MinStayS: 8, Shed: []string{"read", "board"}}}

// second feeds one second of legs, so many of them late, and looks.
func second(m *Controller, now policy.Instant, legs, late int) bool {
	for n := range legs {
		m.RecordAdmitted()
		took := time.Millisecond
		if n < late {
			took = time.Second
		}
		m.RecordAttempt(policy.Answered, took, 100*time.Millisecond, false)
	}
	return m.Evaluate(now)
}

// Whatever the signal does, a level that flaps would shed and readmit in waves, and one that stays sheds for nothing: none is entered
// on one look, none is left within its least stay, and after a clean minute and a half all is normal.
func TestLevelsNeitherFlapNorStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(1, plan)
		entered, was := policy.Instant(0), 0
		now := policy.Instant(1)
		dirty := 0
		for range 120 {
			now = now.Add(window)
			legs := rapid.IntRange(leastSeen, 300).Draw(t, "legs")
			late := rapid.IntRange(0, legs).Draw(t, "late")
			changed := second(m, now, legs, late)
			if dirty++; !plan[0].Enter.reached(Shares{Late: float64(late) / float64(legs)}) || now < m.learns {
				dirty = 0
			}
			at, share := m.Current()
			switch {
			case changed != (at != was) || share < 0 || share > 1 || at == 0 && share != 0:
				t.Fatalf("at %d with %v from %d, told %v", at, share, was, changed)
			case at > was && dirty < before:
				t.Fatalf("entered after %d looks", dirty)
			case at < was && now.Since(entered) < plan[was-1].stay():
				t.Fatalf("left after %v", now.Since(entered))
			}
			if at != was {
				entered, was = now, at
			}
		}
		for range 90 {
			now = now.Add(window)
			second(m, now, 100, 0)
		}
		if at, _ := m.Current(); at != 0 {
			t.Fatalf("still at %d", at)
		}
	})
}

// A node that sees three requests a second would enter and leave by single late legs, or see no trouble ever; one that starts
// knows no cache yet.
func TestThinEvidenceAndAStartChangeNothing(t *testing.T) {
	for _, c := range []struct{ seconds, legs, every, at int }{ // each so many seconds all legs of two are late
		{int(learnsFor/window) - 1, 200, 1, 0}, {600, 3, 16, 0}, {60, 3, 1, 1}} {
		m, now, in := New(1, plan), policy.Instant(1), 0
		for n := range c.seconds {
			late := 0
			if n%c.every < before {
				late = c.legs
			}
			if now = now.Add(window); second(m, now, c.legs, late) {
				in = 1
			}
		}
		if in != c.at {
			t.Errorf("%+v: entered %d", c, in)
		}
	}
}
