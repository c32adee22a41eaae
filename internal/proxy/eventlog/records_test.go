package eventlog

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/policy"
)

// rig plays legs to five caches, a hundred to each in a second, and keeps what is told.
type rig struct {
	*Recorder
	now  policy.Instant
	told []string
	took time.Duration // of legs to b
}

func newRig() *rig {
	g := &rig{now: policy.Instant(time.Second), took: 4 * time.Millisecond}
	g.Recorder = New("n", func(e Event) {
		if e.Kind != EndpointListed {
			g.told = append(g.told, fmt.Sprintf("%s %s", e.Server, e.Kind))
		}
	}, func(e policy.Endpoint) bool { return e.ID == "origin" })
	var es []policy.Endpoint
	for _, id := range []policy.EndpointID{"a", "b", "c", "d", "e", "origin"} {
		es = append(es, policy.Endpoint{ID: id})
	}
	g.Recorder.EndpointsUpdated(g.now, policy.CompleteUpdate, es)
	return g
}

func (g *rig) seconds(n int, share map[policy.EndpointID]float64) {
	for range n * 100 {
		g.now = g.now.Add(10 * time.Millisecond)
		for i, id := range []policy.EndpointID{"a", "b", "c", "d", "e"} {
			g.EndpointStateChanged(g.now, id, g.caches[id].stands)
			legs := 1.0
			if s, ok := share[id]; ok {
				legs = s
			}
			if at := int(g.now.Since(0) / (10 * time.Millisecond)); legs > 1 || float64((at+i*7)%10) < legs*10 {
				for range max(1, int(legs)) {
					g.AttemptSent(g.now, id)
					took := 4 * time.Millisecond
					if id == "b" {
						took = g.took
					}
					g.AttemptDone(g.now, id, policy.Answered, took)
				}
			}
		}
	}
}

func (g *rig) want(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(g.told) != fmt.Sprint(want) {
		t.Errorf("told %q, want %q", g.told, want)
	}
	g.told = nil
}

// A cache that loses its share is told as avoided once, and back once; one that hovers between is not told again and
// again, and none is when all lose or gain alike, or another key's rush takes shares from all but three.
func TestALostShareIsToldOnce(t *testing.T) {
	g := newRig()
	g.seconds(40, nil)
	g.seconds(5, map[policy.EndpointID]float64{"b": 0.3})
	g.want(t) // as quick as ever: it is only asked for less
	g = newRig()
	g.seconds(40, nil)
	g.took = 9 * time.Millisecond
	g.seconds(5, map[policy.EndpointID]float64{"b": 0.3})
	g.want(t, "b avoided")
	g.seconds(30, map[policy.EndpointID]float64{"b": 0.7})
	g.want(t)
	g.seconds(5, nil)
	g.want(t, "b back")
	g.seconds(10, map[policy.EndpointID]float64{"a": 4})
	g.want(t)
	g.seconds(10, map[policy.EndpointID]float64{"a": 0.2, "b": 0.2, "c": 0.2, "d": 0.2, "e": 0.2})
	g.want(t)
}

// Standings and the list make entries of their own; a trial leg is told once a spell, and what was drained is not back.
func TestStandingsAndTheListAreTold(t *testing.T) {
	g := newRig()
	g.EndpointStateChanged(g.now, "c", policy.StateUnresponsive)
	g.EndpointStateChanged(g.now, "c", policy.StateUnreachable) // still the same spell
	g.AttemptSent(g.now, "c")
	g.AttemptSent(g.now, "c")
	g.EndpointStateChanged(g.now, "c", policy.StateInUse)
	g.EndpointStateChanged(g.now, "d", policy.StateOverloaded)
	g.EndpointStateChanged(g.now, "d", policy.StateInUse)
	g.EndpointStateChanged(g.now, "nobody", policy.StateUnresponsive)
	g.want(t, "c avoided", "c trial leg", "c back")
	g.EndpointStateChanged(g.now, "e", policy.StateUnreachable)
	g.Recorder.EndpointsUpdated(g.now, policy.DeltaUpdate, []policy.Endpoint{{ID: "e"}})
	g.want(t, "e avoided")
	g.Recorder.EndpointsUpdated(g.now, policy.DeltaUpdate, []policy.Endpoint{{ID: "e", StartedAt: 5}}) // the module forgets the old process as silently
	g.want(t, "e back")
	g.Recorder.EndpointsUpdated(g.now, policy.DeltaUpdate, []policy.Endpoint{{ID: "d", Lifecycle: policy.Draining}, {ID: "f", Lifecycle: policy.Removed}})
	g.EndpointStateChanged(g.now, "d", policy.StateDraining)
	g.Recorder.EndpointsUpdated(g.now, policy.PollFailed, nil)
	g.Recorder.EndpointsUpdated(g.now, policy.CompleteUpdate, []policy.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "e"}, {ID: "origin"}})
	g.Recorder.EndpointsUpdated(g.now, policy.DeltaUpdate, []policy.Endpoint{{ID: "a", Lifecycle: policy.Removed}, {ID: "origin", Lifecycle: policy.Removed}})
	g.want(t, "d drained", "d gone", "a gone")
}
