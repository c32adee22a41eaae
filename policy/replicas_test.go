package policy

import (
	"slices"
	"testing"
)

func TestReplicasSkipEjectedDrainingAndFailingCaches(t *testing.T) {
	h := newReadThroughHarness(t)
	before := replicasOf(h.router, "k")
	h.cache(before[0]).health.ejectedUntil = 1e9
	h.cache(before[1]).Lifecycle = Draining
	h.cache(before[2]).health.errorScores[0] = errorScoreToAvoid
	after := replicasOf(h.router, "k")
	if slices.ContainsFunc(after, func(id EndpointID) bool { return slices.Contains(before, id) }) {
		t.Errorf("replicas were %v and are %v, want no cache in both", before, after)
	}
}
