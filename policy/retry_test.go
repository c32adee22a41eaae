package policy

import "testing"

// When all attempts fail, retries must not multiply the load.
func TestRetryBudgetBoundsRetriesWhenAllAttemptsFail(t *testing.T) {
	h := newReadThroughHarness(t)
	attempts := 0
	for range 200 {
		h.router.admission.controllers[homeZone].offered = 0 // nothing is shed, and no cache is avoided
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
		t.Errorf("200 requests that all fail made %d attempts", attempts)
	}
}

// After two rejections a third cache was full too, or lacked the key, four times in five, and no attempt was left for
// the origin.
func TestLastAttemptAfterRejectionsGoesToAnOriginWithCapacity(t *testing.T) {
	for _, c := range []struct {
		name        string
		class       ClassID
		hasCapacity bool
		atOrigin    bool
	}{
		{name: "with capacity", class: readClass, hasCapacity: true, atOrigin: true},
		{name: "without capacity", class: readClass, hasCapacity: false, atOrigin: false},
		{name: "repeats dropped in its group only", class: keyedInGroupClass, hasCapacity: true, atOrigin: false},
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
				t.Fatalf("attempts are %v", r.Attempts)
			}
			if atOrigin := r.Attempts[2].Endpoint == "origin"; atOrigin != c.atOrigin {
				t.Errorf("the last attempt goes to the origin: %v, want %v", atOrigin, c.atOrigin)
			}
		})
	}
}
