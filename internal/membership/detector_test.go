package membership

import (
	"testing"
	"time"

	"dahliapin/internal/monotime"
)

// A process is stopped for a minute, as by a suspended machine. The minute counts as a short tick: all that it
// measures in time that it has run would be over else, and it would miss everybody.
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
