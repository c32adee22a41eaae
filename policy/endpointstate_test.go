package policy

import (
	"testing"
	"time"
)

// Operators read these names in the event log, so they must not change. Each change of a state must be reported once.
func TestNotifyStateChangesReportsEachChangeOnce(t *testing.T) {
	now := Instant(time.Minute)
	for _, c := range []struct {
		state EndpointState
		name  string
		cause func(*harness, *upstream)
	}{
		{state: StateWarmingUp, name: "warming", cause: func(_ *harness, u *upstream) { u.StartedAt = now }},
		{state: StateOverloaded, name: "crowded", cause: func(h *harness, u *upstream) {
			u.load.inFlight = 5
			u.health.awaitingSince = now
			for range 40 {
				h.router.latency.perQueuedRequest.Observe(200 * ms)
			}
		}},
		{state: StateFailing, name: "erring", cause: func(_ *harness, u *upstream) {
			u.health.errorScores[readClass] = errorScoreToAvoid
		}},
		{state: StateUnresponsive, name: "quiet", cause: func(_ *harness, u *upstream) {
			u.health.ejectedUntil = now + 1
		}},
		{state: StateUnreachable, name: "refusing", cause: func(_ *harness, u *upstream) {
			u.health.connectFailures = failuresToEject
			u.health.ejectedUntil = now + 1
		}},
		{state: StateDraining, name: "drains", cause: func(_ *harness, u *upstream) { u.Lifecycle = Draining }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadThroughHarness(t)
			u := h.cache("cache-1")
			c.cause(h, u)
			var notified []EndpointState
			observe := func(id EndpointID, state EndpointState) {
				if id != u.ID {
					t.Errorf("%s was reported as %v", id, state)
				}
				notified = append(notified, state)
			}
			h.router.NotifyStateChanges(now, observe)
			h.router.NotifyStateChanges(now, observe)
			if len(notified) != 1 || notified[0] != c.state || notified[0].String() != c.name {
				t.Errorf("observers were notified of %v, want %v once", notified, c.state)
			}
		})
	}
}
