package policy

import "testing"

// Before anything is measured, the times follow the strictest objective. They are never shorter than the caller's
// timers can distinguish.
func TestLatencyThresholdDefaultsAndLowerBounds(t *testing.T) {
	settings := testSettings()
	tracker := latencyTracker{settings: &settings}
	tracker.refresh()
	if tracker.slowThreshold != 125*ms || tracker.responseTimeout != 500*ms {
		t.Errorf("slow %v and patience %v, want half and twice the objective of 250 ms", tracker.slowThreshold, tracker.responseTimeout)
	}
	for range 100 {
		tracker.observe(ms, 0)
	}
	tracker.refresh()
	if tracker.slowThreshold < 2*settings.TickInterval || tracker.responseTimeout < 4*settings.TickInterval {
		t.Errorf("slow %v and patience %v at ticks of %v", tracker.slowThreshold, tracker.responseTimeout, settings.TickInterval)
	}
}

// An attempt's own work is no queue, but if it takes most of the time left, a quarter of that may still go by in one.
func TestMaxQueueingTimeExcludesServiceTime(t *testing.T) {
	q := queueCost{serviceTime: 60 * ms}
	if got := q.maxQueueingTime(100 * ms); got != 40*ms {
		t.Errorf("%v of 100 ms may go by in a queue, want 40 ms", got)
	}
	if got := q.maxQueueingTime(64 * ms); got != 16*ms {
		t.Errorf("%v of 64 ms may go by in a queue, want a quarter", got)
	}
}
