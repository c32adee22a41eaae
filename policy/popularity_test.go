package policy

import "testing"

// A key with more demand than three caches can serve needs more replicas. Other keys must not be spread out.
func TestOnlyHotKeyGetsMoreReplicas(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet(90, false))
	h.drive(900, 20*ms, func(i int) string {
		if i%5 == 0 {
			return "hot"
		}
		return distinctKey(i % 99)
	}, always(Answered))
	hot := replicasOf(h.router, "hot")
	warm := replicasOf(h.router, distinctKey(7))
	if len(hot) != segmentCount || len(warm) != replicaCount {
		t.Errorf("the hot key has %d replicas, the other key %d", len(hot), len(warm))
	}
}
