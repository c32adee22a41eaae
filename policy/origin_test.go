package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestOriginLimitBoundsAttemptsInFlight(t *testing.T) {
	h := newCacheAsideHarness(t)
	for i := range 200 {
		r, _ := h.arrive(distinctKey(i), readClass, false)
		h.end(r, 0, CacheMiss)
	}
	if inFlight := h.router.endpoints.origin.load.inFlight; inFlight > initialOriginLimit {
		t.Errorf("%d attempts are in flight at an origin of unknown capacity, over the initial limit", inFlight)
	}
	h.router.coalescer.demandCutoff = 1e9 // far above the demand for the key below
	r, _ := h.arrive("unwanted", readClass, false)
	if h.end(r, 0, CacheMiss).Answer != Reject {
		t.Error("a request for a key below the demand cutoff was not rejected")
	}
}

// Guards against a limit that is too high when a burst of misses arrives: the limit grew with every answer in time
// although few attempts were in flight. It may grow to at most twice the attempts in flight.
func TestOriginLimitGrowsOnlyWithUse(t *testing.T) {
	for _, c := range []struct {
		concurrent int // attempts in flight at once
		want       float64
	}{{1, 2}, {2, 4}} {
		t.Run(fmt.Sprint(c.concurrent), func(t *testing.T) {
			h := newCacheAsideHarness(t)
			h.router.origin.limit = 2
			for i := range 100 * c.concurrent {
				r, _ := h.arrive(distinctKey(i), readClass, false)
				h.end(r, 0, CacheMiss)
				if i%c.concurrent < c.concurrent-1 {
					continue
				}
				h.advance(20 * ms)
				for _, r := range h.requests[i-c.concurrent+1:] {
					h.end(r, 1, Answered)
				}
			}
			if h.router.origin.limit != c.want {
				t.Errorf("the limit is %.1f, want %.1f", h.router.origin.limit, c.want)
			}
		})
	}
}

// With hundreds of nodes, even one attempt in flight per node overloads the origin. Late answers must reduce a node's
// limit below one attempt.
func TestOriginLimitFallsBelowOneInLargeFleet(t *testing.T) {
	settings := testSettings()
	settings.CacheAside = true
	settings.Nodes = 400
	h := newHarness(t, settings, testFleet(12, true))
	attempts := 0
	for i := range 120 {
		r, _ := h.arrive(distinctKey(i), readClass, false)
		h.end(r, 0, CacheMiss)
		h.advance(200 * ms) // in time, but after half of the objective, which indicates a long queue
		if len(r.Attempts) < 2 {
			continue
		}
		h.end(r, 1, Answered)
		if i >= 60 {
			attempts++
		}
	}
	if attempts > 10 {
		t.Errorf("60 requests made %d attempts at an origin with a long queue, want at most 10", attempts)
	}
}

// Guards against a standing queue at the origin: near a limit of 1, where the limits of a large fleet are, an answer in
// time raised the limit by as much as a late one lowered it. The limit stayed up while half of all answers were late,
// and the queue never drained.
func TestOriginLimitFallsToOneWhenHalfOfTheAnswersAreLate(t *testing.T) {
	origin := &newCacheAsideHarness(t).router.origin
	origin.settings.Nodes = 80
	origin.limit = 4
	objective := 200 * ms
	now := Instant(0)
	for range 40 {
		for _, latency := range []time.Duration{objective / 4, objective * 3 / 4} {
			now = now.Add(time.Second)
			origin.recordEnd(now, endedAttempt{
				Attempt:   Attempt{Result: Answered},
				latency:   latency,
				objective: objective,
				inTime:    true,
				inFlight:  4,
			})
		}
	}
	if origin.limit > 1 {
		t.Errorf("the limit is %.2f after 80 answers of which half were late, want at most 1", origin.limit)
	}
}
