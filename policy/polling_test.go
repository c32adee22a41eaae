package policy

import "testing"

// During a discovery outage a node must retry the poll soon, but must not overload the discovery service.
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
		t.Errorf("%d polls in 10 s of failures, want 4 to 20", polls)
	}
}
