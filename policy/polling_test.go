package policy

import "testing"

// While discovery is down, a node must poll again soon but not all the time.
func TestFailedPollsBackOff(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints = true
	router := New(0, 1, settings)
	polls := 0
	now := Instant(0)
	for range 100 {
		wait, actions := router.Tick(now)
		polls += len(actions)
		if len(actions) > 0 {
			router.UpdateEndpoints(now, PollFailed, nil)
		}
		now = now.Add(wait)
	}
	if polls < 4 || polls > 20 {
		t.Errorf("the list was polled %d times in ten seconds of failures", polls)
	}
}
