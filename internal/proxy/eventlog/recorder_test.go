package eventlog

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/policy"
)

// simulation sends attempts to five endpoints, a hundred to each in a second, and keeps the events.
type simulation struct {
	*Recorder
	now      policy.Instant
	events   []string
	latencyB time.Duration // of attempts to the endpoint b; those to others take usualLatency
}

const (
	usualLatency  = 4 * time.Millisecond
	attemptsEvery = 10 * time.Millisecond
)

var testEndpoints = []policy.EndpointID{"a", "b", "c", "d", "e"}

func newSimulation() *simulation {
	s := &simulation{now: policy.Instant(time.Second), latencyB: usualLatency}
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

// run sends attempts for some seconds. An endpoint gets its share of the usual number, which is 1 unless it is given.
func (s *simulation) run(seconds int, shares map[policy.EndpointID]float64) {
	for range seconds * 100 {
		s.now = s.now.Add(attemptsEvery)
		tick := int(s.now.Since(0) / attemptsEvery)
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

func (s *simulation) attempt(id policy.EndpointID, count int) {
	latency := usualLatency
	if id == "b" {
		latency = s.latencyB
	}
	for range count {
		s.AttemptSent(s.now, id)
		s.AttemptDone(s.now, id, policy.Answered, latency)
	}
}

// expect compares the events since the last call.
func (s *simulation) expect(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(s.events) != fmt.Sprint(want) {
		t.Errorf("events %q, want %q", s.events, want)
	}
	s.events = nil
}

// An endpoint that is as quick as ever is only asked for less, and is not avoided for its load.
func TestQuickEndpointWithASmallShareIsNotAvoided(t *testing.T) {
	s := newSimulation()
	s.run(40, nil)
	s.run(5, map[policy.EndpointID]float64{"b": 0.3})
	s.expect(t)
}

// An endpoint that loses its share is avoided once and restored once. One that hovers between is not recorded again and
// again, and none is when all lose or gain alike, or a popular key of one endpoint takes shares from all others.
func TestLostShareIsRecordedOnce(t *testing.T) {
	s := newSimulation()
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

// A trial is recorded once in each time that an endpoint is avoided.
func TestStatesOfEndpointsAreRecorded(t *testing.T) {
	s := newSimulation()
	s.EndpointStateChanged(s.now, "c", policy.StateUnresponsive)
	s.EndpointStateChanged(s.now, "c", policy.StateUnreachable) // it is avoided already
	s.AttemptSent(s.now, "c")
	s.AttemptSent(s.now, "c")
	s.EndpointStateChanged(s.now, "c", policy.StateInUse)
	s.EndpointStateChanged(s.now, "d", policy.StateOverloaded)
	s.EndpointStateChanged(s.now, "d", policy.StateInUse)
	s.EndpointStateChanged(s.now, "nobody", policy.StateUnresponsive)
	s.expect(t, "c avoided", "c trial leg", "c back")
}

// The policy forgets an endpoint's old process without reporting that, so that the list has to restore it.
func TestEndpointThatWasRestartedIsRestored(t *testing.T) {
	s := newSimulation()
	s.EndpointStateChanged(s.now, "e", policy.StateUnreachable)
	s.EndpointsUpdated(s.now, policy.DeltaUpdate, listOf("e"))
	s.expect(t, "e avoided")
	s.EndpointsUpdated(s.now, policy.DeltaUpdate, []policy.Endpoint{{ID: "e", StartedAt: 5}})
	s.expect(t, "e back")
}

// An endpoint that was drained is not restored, and a failed poll says nothing. The origin is excluded.
func TestChangesOfTheListAreRecorded(t *testing.T) {
	s := newSimulation()
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
