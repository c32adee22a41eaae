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
		t.Errorf("%d attempts are in flight at an origin of unknown capacity", inFlight)
	}
	h.router.coalescer.demandCutoff = 1e9 // all that waits is wanted more, so this one would not be served
	r, _ := h.arrive("unwanted", readClass, false)
	if h.end(r, 0, CacheMiss).Answer != Reject {
		t.Error("a request that is wanted too little to be fetched is kept waiting")
	}
}

// The limit grew with every answer in time although it wasn't used, so that it bounded nothing once misses came in a
// storm. It may grow to twice the attempts in flight at most.
func TestOriginLimitGrowsOnlyWithUse(t *testing.T) {
	for _, c := range []struct {
		together int // attempts in flight at once
		want     float64
	}{{1, 2}, {2, 4}} {
		t.Run(fmt.Sprint(c.together), func(t *testing.T) {
			h := newCacheAsideHarness(t)
			h.router.origin.limit = 2
			for i := range 100 * c.together {
				r, _ := h.arrive(distinctKey(i), readClass, false)
				h.end(r, 0, CacheMiss)
				if i%c.together < c.together-1 {
					continue
				}
				h.advance(20 * ms)
				for _, r := range h.requests[i-c.together+1:] {
					h.end(r, 1, Answered)
				}
			}
			if h.router.origin.limit != c.want {
				t.Errorf("a limit of %.1f, want %.1f", h.router.origin.limit, c.want)
			}
		})
	}
}

// The least that a node may have in flight at the origin is multiplied by hundreds of nodes. Late answers must bring
// its limit under one attempt.
func TestOriginLimitFallsBelowOneInLargeFleet(t *testing.T) {
	settings := testSettings()
	settings.CacheAside = true
	settings.Nodes = 400
	h := newHarness(t, settings, testFleet(12, true))
	attempts := 0
	for i := range 120 {
		r, _ := h.arrive(distinctKey(i), readClass, false)
		h.end(r, 0, CacheMiss)
		h.advance(200 * ms) // in time, but so late that queues there are long
		if len(r.Attempts) < 2 {
			continue
		}
		h.end(r, 1, Answered)
		if i >= 60 {
			attempts++
		}
	}
	if attempts > 10 {
		t.Errorf("60 requests made %d attempts at an origin whose queue takes all the time there is", attempts)
	}
}

// Near a limit of 1, where those of a large fleet are, an answer in time raised the limit by as much as a late one cut
// it: it stayed up while half of all answers were late, and the queue at the origin never went.
func TestOriginLimitFallsToOneWhenHalfOfTheAnswersAreLate(t *testing.T) {
	origin := &newCacheAsideHarness(t).router.origin
	origin.settings.Nodes = 80
	origin.limit = 4
	objective := 200 * ms
	now := Instant(0)
	for range 40 {
		for _, latency := range []time.Duration{objective / 4, objective * 3 / 4} {
			now = now.Add(time.Second)
			origin.record(now, endedAttempt{
				Attempt:   Attempt{Result: Answered},
				latency:   latency,
				objective: objective,
				inTime:    true,
				inFlight:  4,
			})
		}
	}
	if origin.limit > 1 {
		t.Errorf("a limit of %.2f after 80 answers of which half were late", origin.limit)
	}
}
