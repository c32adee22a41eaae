package policy

import (
	"testing"
	"time"

	"dahliapin/internal/keyhash"
)

// coldCache is a cache that starts two seconds after the others were listed.
var coldCache = Endpoint{ID: "cold", StartedAt: Instant(2 * time.Second), Zone: "here", Weight: 1}

// A cold cache is limited by the answers of warm ones, since misses and rejections cost those little. The limit has to
// hold for hundreds of nodes that see the cache start at the same time, also during a storm of rejections.
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
		t.Errorf("a cold cache got %d attempts in its first second; a warm one answered about 180", attempts)
	}
}

// While no warm cache answers, the load that a cold cache can handle is unknown.
func TestSlowStartSendsAlmostNothingWhileNoCacheAnswers(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet(11, false))
	h.update(DeltaUpdate, coldCache)
	if byEndpoint, _ := h.drive(4000, 0, distinctKey, always(Rejected)); byEndpoint[coldCache.ID] > 2 {
		t.Errorf("a cold cache got %v attempts while no warm cache answered, want at most 2", byEndpoint[coldCache.ID])
	}
}

// Guards against overloading the warm caches after a deployment: most caches were new, and the few warm ones got all
// the traffic. If the settings state at which multiple of its capacity a cold cache fails, slow start may use two
// thirds of that.
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
		t.Errorf("a cache at three tenths of its capacity takes %d keys of 1000, want 540 to 660", admitted)
	}
}

// Guards against starving new caches: after a cache joins most attempts miss. When misses did not count towards the
// steady rate, new caches got almost nothing until the others had refilled.
func TestMissesCountForTheSteadyRate(t *testing.T) {
	h := newReadThroughHarness(t)
	h.drive(100, 50*ms, distinctKey, always(CacheMiss))
	if h.router.slowStart.steadyRate == 0 {
		t.Error("the steady rate is 0 although caches answer with misses")
	}
}

// All nodes see a cache start at the same time. Unless their first attempts are spread at random, the cache gets one
// attempt per node at the same instant.
func TestSlowStartStaggersFirstAttempts(t *testing.T) {
	const nodes = 200
	settings := testSettings()
	settings.OverloadFactor = 1000 // admits every key
	atOnce := 0
	for node := range nodes {
		h := newHarness(t, settings, []Endpoint{coldCache})
		h.router.rng.Seed = uint32(node)
		if h.router.slowStart.admits(coldCache.StartedAt.Add(10*ms), h.cache(coldCache.ID), 1) {
			atOnce++
		}
	}
	if atOnce > nodes/20 {
		t.Errorf("%d of %d nodes send their first attempt within 10 ms", atOnce, nodes)
	}
}
