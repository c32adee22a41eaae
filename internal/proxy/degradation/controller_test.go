package degradation

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliapin/internal/config/listeners"
	"dahliapin/policy"
)

// The seed is fixed for reproducible runs, unless another one is given as a flag.
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

// evaluateInterval records the attempts of one interval, of which the first late ones exceed the latency objective,
// and evaluates them.
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

// A level that flaps would shed and readmit load in waves, and one that never ends would shed load without need. For
// any sequence of shares, no level is entered after a single evaluation, none is left within its minimum stay, and
// operation is normal after ninety seconds without a fault.
func TestLevelsNeitherFlapNorOutlastFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewController(1, testLevels)
		enteredAt, before := policy.Instant(0), 0
		now := policy.Instant(1)
		faulty := 0 // consecutive evaluations with a fault
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
				t.Fatalf("level %d with shed share %v after level %d: changed is %v", level, share, before, changed)
			case level > before && faulty < evaluationsToEnter:
				t.Fatalf("level entered after %d evaluations", faulty)
			case level < before && now.Since(enteredAt) < testLevels[before-1].MinStay():
				t.Fatalf("level left after %v", now.Since(enteredAt))
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
			t.Fatalf("the level is still %d", level)
		}
	})
}

// A node with three requests per second must not enter a level because of single late answers, but must still detect a
// lasting fault. A node that has just started must not enter a level because its policy knows no cache yet and rejects
// all requests.
func TestLevelWithFewRequestsAndAtStartUp(t *testing.T) {
	for _, test := range []struct {
		name              string
		seconds, attempts int
		every             int // period in seconds; all attempts in the first two seconds of each period are late
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
				if n%test.every < evaluationsToEnter {
					late = test.attempts
				}
				now = now.Add(evaluationInterval)
				if evaluateInterval(c, now, test.attempts, late) {
					entered = true
				}
			}
			if entered != test.entered {
				t.Errorf("level entered: %v", entered)
			}
		})
	}
}
