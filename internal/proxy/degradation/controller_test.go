package degradation

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliapin/internal/config/listeners"
	"dahliapin/policy"
)

// The same signals are drawn each time, unless a seed is asked for.
func init() { flag.Set("rapid.seed", "1") }

const testObjective = 100 * time.Millisecond

var testLevels = []listeners.Level{
	{
		Name: "mild", MinStayS: 4, Shed: []string{"read"},
		Enter: listeners.Shares{Late: 0.2}, Leave: listeners.Shares{Late: 0.1},
	},
	{
		Name: "hard", MinStayS: 8, Shed: []string{"read", "board"},
		Enter: listeners.Shares{Late: 0.5}, Leave: listeners.Shares{Late: 0.3},
	},
}

// evaluateInterval records one interval's attempts, some of them late, and evaluates them.
func evaluateInterval(c *Controller, now policy.Instant, attempts, late int) (changed bool) {
	for n := range attempts {
		c.RecordAdmitted()
		latency := time.Millisecond
		if n < late {
			latency = time.Second
		}
		c.RecordAttempt(policy.Answered, latency, testObjective, false)
	}
	return c.Evaluate(now)
}

// A level that flaps would shed and readmit load in waves, and one that does not end would shed for nothing. Whatever
// the shares are: no level is entered by one evaluation, none is left within its least stay, and after ninety seconds
// without a fault operation is normal.
func TestLevelsNeitherFlapNorStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewController(1, testLevels)
		enteredAt, before := policy.Instant(0), 0
		now := policy.Instant(1)
		faulty := 0 // evaluations in a row
		for range 120 {
			now = now.Add(evaluationInterval)
			attempts := rapid.IntRange(minRequests, 300).Draw(t, "attempts")
			late := rapid.IntRange(0, attempts).Draw(t, "late")
			changed := evaluateInterval(c, now, attempts, late)
			faulty++
			shares := listeners.Shares{Late: float64(late) / float64(attempts)}
			if !anyReached(testLevels[0].Enter, shares) || now < c.graceEnds {
				faulty = 0
			}
			level, share := c.Current()
			switch {
			case changed != (level != before) || share < 0 || share > 1 || level == 0 && share != 0:
				t.Fatalf("at %d with %v from %d, changed is %v", level, share, before, changed)
			case level > before && faulty < enterAfter:
				t.Fatalf("entered after %d evaluations", faulty)
			case level < before && now.Since(enteredAt) < testLevels[before-1].MinStay():
				t.Fatalf("left after %v", now.Since(enteredAt))
			}
			if level != before {
				enteredAt, before = now, level
			}
		}
		for range 90 {
			now = now.Add(evaluationInterval)
			evaluateInterval(c, now, 100, 0)
		}
		if level, _ := c.Current(); level != 0 {
			t.Fatalf("still at %d", level)
		}
	})
}

// A node with three requests a second would enter and leave levels by single late answers, or never see a fault; one
// that has just started knows no cache yet, and its policy rejects all requests.
func TestFewRequestsAndAStartChangeNothing(t *testing.T) {
	for _, test := range []struct {
		name              string
		seconds, attempts int
		every             int // of so many seconds, all attempts of the first two are late
		entered           bool
	}{
		{"start", int(startUpGrace/evaluationInterval) - 1, 200, 1, false},
		{"few requests, sometimes late", 600, 3, 16, false},
		{"few requests, always late", 60, 3, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewController(1, testLevels)
			now := policy.Instant(1)
			entered := false
			for n := range test.seconds {
				late := 0
				if n%test.every < enterAfter {
					late = test.attempts
				}
				now = now.Add(evaluationInterval)
				if evaluateInterval(c, now, test.attempts, late) {
					entered = true
				}
			}
			if entered != test.entered {
				t.Errorf("entered a level: %v", entered)
			}
		})
	}
}
