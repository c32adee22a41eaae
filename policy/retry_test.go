package policy

import (
	"testing"
	"time"
)

// Retries must not multiply the load when all attempts fail.
func TestRetryBudgetBoundsRetriesWhenAllAttemptsFail(t *testing.T) {
	h := newReadThroughHarness(t)
	attempts := 0
	for range 200 {
		h.router.admission.controllers[homeZone].offered = 0 // shed no request and avoid no cache
		for _, u := range h.router.endpoints.caches {
			clear(u.health.errorScores)
		}
		r, _ := h.arrive("k", readClass, false)
		for i := 0; i < len(r.Attempts); i++ {
			h.end(r, i, Errored)
		}
		attempts += len(r.Attempts)
	}
	if attempts > 200+2*maxTokens+10 {
		t.Errorf("200 failing requests made %d attempts", attempts)
	}
}

// Guards against a useless last attempt: after two rejections, a third cache was full too or lacked the key in four of
// five cases, and no attempt was left for the origin.
func TestLastAttemptAfterRejectionsGoesToAnOriginWithCapacity(t *testing.T) {
	for _, c := range []struct {
		name        string
		class       ClassID
		hasCapacity bool
		atOrigin    bool
	}{
		{name: "with capacity", class: readClass, hasCapacity: true, atOrigin: true},
		{name: "without capacity", class: readClass, hasCapacity: false, atOrigin: false},
		{name: "idempotent by key in its group only", class: keyedInGroupClass, hasCapacity: true, atOrigin: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.CacheAside = true
			settings.MaxAttempts = 3
			h := newHarness(t, settings, testFleet(12, true))
			if !c.hasCapacity {
				h.router.endpoints.origin.load.inFlight = int(h.router.origin.limit)
			}
			r, _ := h.arrive("k", c.class, false)
			h.end(r, 0, Rejected)
			h.end(r, 1, Rejected)
			if len(r.Attempts) != 3 || r.Attempts[1].Endpoint == "origin" {
				t.Fatalf("attempts are %v, want three of which the second is not at the origin", r.Attempts)
			}
			if atOrigin := r.Attempts[2].Endpoint == "origin"; atOrigin != c.atOrigin {
				t.Errorf("last attempt at the origin: %v, want %v", atOrigin, c.atOrigin)
			}
		})
	}
}

// Guards against a keyed write that takes effect twice because its cache's process was replaced by one of another group
// under the same id: the group of the entry, to which the write was never sent, was taken for the one that drops its
// repeat. The retry may go nowhere then, as the old group is not known any more.
func TestKeyedWriteIsNotRepeatedInTheGroupOfARestartedCache(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		h := newReadThroughHarness(t)
		h.advance(time.Second)
		r, first := h.arrive("k", keyedInGroupClass, true)
		if len(first.SendTo) != 1 {
			t.Fatalf("first attempts at %v", first.SendTo)
		}
		h.advance(10 * ms)
		if restarts {
			entry := h.listed[first.SendTo[0]]
			entry.Group = 1 - entry.Group
			entry.StartedAt = h.now
			h.update(DeltaUpdate, entry)
		}
		retry := h.end(r, 0, ConnectionBroken)
		if restarts == (len(retry.SendTo) > 0) {
			t.Errorf("restarts: %v, retry at %v", restarts, retry.SendTo)
		}
	}
}
