package policy

import (
	"testing"
	"time"

	"dahliapin/internal/keyhash"
)

// cold is a cache that starts two seconds after the others were listed.
var coldCache = Endpoint{ID: "cold", StartedAt: Instant(2 * time.Second), Zone: "here", Weight: 1}

// A cold cache is measured by what warm ones answer: misses and rejections cost those little. What is little from one
// node must be little from hundreds that all see the cache start, in a storm of rejections too.
func TestSlowStartBoundsAttemptsFromAllNodes(t *testing.T) {
	attempts := 0
	for node := range 200 {
		h := newHarness(t, testSettings(), testFleet(11, false))
		h.router.rng.Seed = uint32(node)
		h.drive(40, 50*ms, distinctKey, always(Answered))
		h.update(DeltaUpdate, coldCache)
		byEndpoint, _ := h.drive(200, 5*ms, distinctKey, func(i int, _ EndpointID) Result {
			if i%20 == 0 {
				return Answered
			}
			return Rejected
		})
		attempts += byEndpoint[coldCache.ID]
	}
	if attempts > 200 {
		t.Errorf("a cold cache got %d attempts in its first second, a warm one answered about 180", attempts)
	}
}

// Where no warm cache answers anything, nothing is known of what a cold one bears.
func TestSlowStartSendsAlmostNothingWhileNoCacheAnswers(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet(11, false))
	h.update(DeltaUpdate, coldCache)
	if byEndpoint, _ := h.drive(4000, 0, distinctKey, always(Rejected)); byEndpoint[coldCache.ID] > 2 {
		t.Errorf("a cold cache got %v attempts while no warm one answered any", byEndpoint[coldCache.ID])
	}
}

// After a deployment most caches were new, and the few warm ones were left with all the traffic. Where the settings
// state which multiple of its capacity a cold cache fails at, two thirds of that may be used.
func TestSlowStartUsesTheOverloadFactor(t *testing.T) {
	settings := testSettings()
	settings.OverloadFactor = 3
	h := newHarness(t, settings, []Endpoint{coldCache})
	u := h.cache(coldCache.ID)
	admitted := 0
	for i := range uint64(1000) {
		u.nextAttemptAt = -1
		if h.router.slowStart.admits(coldCache.StartedAt, u, keyhash.Mix(i)) {
			admitted++
		}
	}
	if admitted < 540 || admitted > 660 {
		t.Errorf("a cache with three tenths of its capacity takes %d keys of 1000", admitted)
	}
}

// After a join most attempts miss. Misses did not count as what a warm cache bears, so that new caches got next to
// nothing until the others were full again.
func TestMissesCountForTheSteadyRate(t *testing.T) {
	h := newReadThroughHarness(t)
	h.drive(100, 50*ms, distinctKey, always(CacheMiss))
	if h.router.slowStart.steadyRate == 0 {
		t.Error("caches that answer with misses are taken to bear nothing")
	}
}

// All nodes see a cache start at once. If each sent its first attempt then, the cache would get as many at one instant
// as there are nodes.
func TestSlowStartStaggersFirstAttempts(t *testing.T) {
	const nodes = 200
	settings := testSettings()
	settings.OverloadFactor = 1000 // any key
	atOnce := 0
	for node := range nodes {
		h := newHarness(t, settings, []Endpoint{coldCache})
		h.router.rng.Seed = uint32(node)
		if h.router.slowStart.admits(coldCache.StartedAt.Add(10*ms), h.cache(coldCache.ID), 1) {
			atOnce++
		}
	}
	if atOnce > nodes/20 {
		t.Errorf("%d of %d nodes send their first attempt at once", atOnce, nodes)
	}
}
