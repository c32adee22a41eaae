package policy

import (
	"math"
	"testing"
)

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

// Guards against memory that grows with the keys which clients invent: between two decays, each new key of a client
// that sends at full speed was tracked. A hot key must stay hot meanwhile, and the demand for it a share of the total.
func TestTrackedKeysAreBounded(t *testing.T) {
	const hotKey, hotInterval = 1, 10
	for _, priority := range []float64{0.1, 1, 20} {
		p := popularity{demand: map[uint64]float64{}}
		meanRawPreference := 1 / math.Sqrt(priority)
		for n := range uint64(20 * maxTrackedKeys) {
			p.record(hotKey+1+n, priority, meanRawPreference)
			if n%hotInterval == 0 {
				p.record(hotKey, priority, meanRawPreference)
			}
			if len(p.demand) > maxTrackedKeys {
				t.Fatalf("%d keys are tracked", len(p.demand))
			}
		}
		share := p.demandFor(hotKey) / p.total
		limit := p.replicaLimit(hotKey, meanRawPreference, 90)
		if limit != segmentCount || share < 0.05 || share > 0.2 {
			t.Errorf("priority %v: the hot key has %d replicas, and a share of %v", priority, limit, share)
		}
	}
}

// A key is tracked although all others are hot, once the demand for those has decayed.
func TestNewKeyIsTrackedAmongHotOnes(t *testing.T) {
	p := popularity{demand: map[uint64]float64{}}
	for n := range uint64(maxTrackedKeys) {
		p.demand[n] = 1000
		p.total += 1000
	}
	requests := 0
	for p.demandFor(maxTrackedKeys) == 0 {
		p.record(maxTrackedKeys, 1, 1)
		if requests++; requests > 20 || len(p.demand) > maxTrackedKeys {
			t.Fatalf("%d requests, %d keys", requests, len(p.demand))
		}
	}
}
