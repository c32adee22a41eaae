package eventlog

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/policy"
)

// recorderHarness sends attempts to five endpoints, a hundred per second to each, and collects the events.
type recorderHarness struct {
	*Recorder
	now      policy.Instant
	events   []string
	latencyB time.Duration // latency of endpoint b; all others have usualLatency
}

const (
	usualLatency    = 4 * time.Millisecond
	attemptInterval = 10 * time.Millisecond
)

var testEndpoints = []policy.EndpointID{"a", "b", "c", "d", "e"}

func newRecorderHarness() *recorderHarness {
	s := &recorderHarness{now: policy.Instant(time.Second), latencyB: usualLatency}
	emit := func(e Event) {
		if e.Kind != EndpointListed {
			s.events = append(s.events, fmt.Sprintf("%s %s", e.Server, e.Kind))
		}
	}
	s.Recorder = New("n", emit, func(e policy.Endpoint) bool { return e.ID == "origin" })
	s.EndpointsUpdated(s.now, policy.CompleteUpdate, listOf("a", "b", "c", "d", "e", "origin"))
	return s
}

func listOf(ids ...policy.EndpointID) []policy.Endpoint {
	var list []policy.Endpoint
	for _, id := range ids {
		list = append(list, policy.Endpoint{ID: id})
	}
	return list
}

// run sends attempts for a number of seconds. shares are factors of the usual number of attempts to an endpoint; the
// default is 1.
func (s *recorderHarness) run(seconds int, shares map[policy.EndpointID]float64) {
	for range seconds * 100 {
		s.now = s.now.Add(attemptInterval)
		tick := int(s.now.Since(0) / attemptInterval)
		for i, id := range testEndpoints {
			s.EndpointStateChanged(s.now, id, s.endpoints[id].state)
			share := 1.0
			if given, ok := shares[id]; ok {
				share = given
			}
			isDue := float64((tick+i*7)%10) < share*10
			if share > 1 || isDue {
				s.attempt(id, max(1, int(share)))
			}
		}
	}
}

func (s *recorderHarness) attempt(id policy.EndpointID, count int) {
	latency := usualLatency
	if id == "b" {
		latency = s.latencyB
	}
	for range count {
		s.AttemptSent(s.now, id)
		s.AttemptDone(s.now, id, policy.Answered, latency)
	}
}

// expect compares the events since the last call with want.
func (s *recorderHarness) expect(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(s.events) != fmt.Sprint(want) {
		t.Errorf("events %q, want %q", s.events, want)
	}
	s.events = nil
}

// An endpoint whose share falls while its latency stays as usual gets less demand, and must not count as avoided for
// its load.
func TestFastEndpointWithSmallShareIsNotAvoided(t *testing.T) {
	s := newRecorderHarness()
	s.run(40, nil)
	s.run(5, map[policy.EndpointID]float64{"b": 0.3})
	s.expect(t)
}

// An endpoint that loses its share is recorded as avoided once and as restored once. A share between the two thresholds
// must not cause further events. No event follows if all shares change alike, or if one endpoint has a popular key that
// lowers the shares of all others.
func TestLostShareIsRecordedOnce(t *testing.T) {
	s := newRecorderHarness()
	s.run(40, nil)
	s.latencyB = 9 * time.Millisecond
	s.run(5, map[policy.EndpointID]float64{"b": 0.3})
	s.expect(t, "b avoided")
	s.run(30, map[policy.EndpointID]float64{"b": 0.7})
	s.expect(t)
	s.run(5, nil)
	s.expect(t, "b back")
	s.run(10, map[policy.EndpointID]float64{"a": 4})
	s.expect(t)
	s.run(10, map[policy.EndpointID]float64{"a": 0.2, "b": 0.2, "c": 0.2, "d": 0.2, "e": 0.2})
	s.expect(t)
}

// Changes of the state are recorded, and one trial each time that an endpoint is avoided.
func TestEndpointStateChangesAreRecorded(t *testing.T) {
	s := newRecorderHarness()
	s.EndpointStateChanged(s.now, "c", policy.StateUnresponsive)
	s.EndpointStateChanged(s.now, "c", policy.StateUnreachable) // already avoided
	s.AttemptSent(s.now, "c")
	s.AttemptSent(s.now, "c")
	s.EndpointStateChanged(s.now, "c", policy.StateInUse)
	s.EndpointStateChanged(s.now, "d", policy.StateOverloaded)
	s.EndpointStateChanged(s.now, "d", policy.StateInUse)
	s.EndpointStateChanged(s.now, "nobody", policy.StateUnresponsive)
	s.expect(t, "c avoided", "c trial leg", "c back")
}

// The policy drops the state of an endpoint's old process without reporting that, so the Recorder must restore the
// endpoint when the list shows the restart.
func TestRestartedEndpointIsRestored(t *testing.T) {
	s := newRecorderHarness()
	s.EndpointStateChanged(s.now, "e", policy.StateUnreachable)
	s.EndpointsUpdated(s.now, policy.DeltaUpdate, listOf("e"))
	s.expect(t, "e avoided")
	s.EndpointsUpdated(s.now, policy.DeltaUpdate, []policy.Endpoint{{ID: "e", StartedAt: 5}})
	s.expect(t, "e back")
}

// A draining endpoint is not recorded as restored, a failed poll causes no events, and the origin is excluded.
func TestEndpointListChangesAreRecorded(t *testing.T) {
	s := newRecorderHarness()
	s.EndpointStateChanged(s.now, "d", policy.StateInUse)
	s.EndpointsUpdated(s.now, policy.DeltaUpdate, []policy.Endpoint{
		{ID: "d", Lifecycle: policy.Draining}, {ID: "f", Lifecycle: policy.Removed},
	})
	s.EndpointStateChanged(s.now, "d", policy.StateDraining)
	s.EndpointsUpdated(s.now, policy.PollFailed, nil)
	s.EndpointsUpdated(s.now, policy.CompleteUpdate, listOf("a", "b", "c", "e", "origin"))
	s.EndpointsUpdated(s.now, policy.DeltaUpdate, []policy.Endpoint{
		{ID: "a", Lifecycle: policy.Removed}, {ID: "origin", Lifecycle: policy.Removed},
	})
	s.expect(t, "d drained", "d gone", "a gone")
}
