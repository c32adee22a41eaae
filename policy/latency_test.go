package policy

import "testing"

// Without measurements, the thresholds are derived from the strictest objective. They are never shorter than the
// caller's timers can distinguish.
func TestLatencyThresholdDefaultsAndLowerBounds(t *testing.T) {
	settings := testSettings()
	tracker := latencyTracker{settings: &settings}
	tracker.refresh()
	if tracker.slowThreshold != 125*ms || tracker.responseTimeout != 500*ms {
		t.Errorf("slow threshold %v, response timeout %v; want 125 ms and 500 ms",
			tracker.slowThreshold, tracker.responseTimeout)
	}
	for range 100 {
		tracker.observe(ms, 0)
	}
	tracker.refresh()
	if tracker.slowThreshold < 2*settings.TickInterval || tracker.responseTimeout < 4*settings.TickInterval {
		t.Errorf("slow threshold %v or response timeout %v is too short for timer steps of %v",
			tracker.slowThreshold, tracker.responseTimeout, settings.TickInterval)
	}
}

// The service time is subtracted from the queueing time, but at least a quarter of the time left may be spent in a
// queue.
func TestMaxQueueingTimeExcludesServiceTime(t *testing.T) {
	q := queueDelay{serviceTime: 60 * ms}
	if got := q.maxQueueingTime(100 * ms); got != 40*ms {
		t.Errorf("%v of 100 ms may be spent in a queue, want 40 ms", got)
	}
	if got := q.maxQueueingTime(64 * ms); got != 16*ms {
		t.Errorf("%v of 64 ms may be spent in a queue, want a quarter", got)
	}
}
