package membership

import (
	"testing"
	"time"

	"dahliapin/internal/monotime"
)

// Guards against a process that misses everybody after it was stopped for a minute, as on a suspended machine: the gap
// must count as a short tick, or all timeouts measured in run time would expire.
func TestTickGapIsCapped(t *testing.T) {
	const maxStep = time.Second
	var clock runClock
	now := monotime.Instant(time.Hour)
	advance := func(by time.Duration) {
		now = now.Add(by)
		clock.advance(now, maxStep, true)
	}
	advance(0)
	advance(300 * time.Millisecond)
	if clock.runTime != 300*time.Millisecond || clock.resumedAt != 0 {
		t.Errorf("after a tick: %+v", clock)
	}
	advance(time.Minute)
	if want := 1300 * time.Millisecond; clock.runTime != want || clock.resumedAt != want {
		t.Errorf("after the gap: %+v", clock)
	}
}
