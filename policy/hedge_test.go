package policy

import "testing"

func TestHedgeOnlyWhenLateProbabilityReachesWasteCost(t *testing.T) {
	settings := testSettings()
	settings.WasteCost = 0.25
	h := newHarness(t, settings, testFleet(12, false))
	for range 1000 {
		h.router.latency.all.Observe(40 * ms)
	}
	h.router.latency.refresh()
	h.router.extraAttempts.tokens = maxTokens
	r, _ := h.arrive("k", readClass, false)
	h.advance(50 * ms)
	if len(r.Attempts) != 1 {
		t.Error("a hedge was sent although hardly any attempt is late")
	}
	h.advance(250 * ms)
	if len(r.Attempts) < 2 {
		t.Error("no hedge was sent although the cache is unresponsive")
	}
}

// Guards against lost attempts that occupy the origin limit: attempts on connections that had stopped responding held a
// third of the origin's capacity until their deadline. A lost read must be cancelled and retried if the extra-attempt
// budget allows it; a write must not.
func TestLostOriginReadIsCancelledAndRetriedWithinBudget(t *testing.T) {
	for _, c := range []struct {
		name      string
		tokens    float64
		sentAgain bool
	}{
		{name: "budget", tokens: 5, sentAgain: true},
		{name: "no budget", tokens: 0.5, sentAgain: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newCacheAsideHarness(t)
			h.router.extraAttempts.tokens = c.tokens
			r, _ := h.arrive("k", readClass, false)
			h.end(r, 0, CacheMiss)
			h.advance(300 * ms)
			cancelled := len(r.Attempts) == 3 && r.Attempts[1].Result == Cancelled
			if sentAgain := cancelled && r.Attempts[2].Endpoint == "origin"; sentAgain != c.sentAgain {
				t.Errorf("with %v tokens the attempts are %v", c.tokens, r.Attempts)
			}
			if inFlight := h.router.endpoints.origin.load.inFlight; inFlight != 1 {
				t.Errorf("%d attempts count as in flight at the origin, want 1", inFlight)
			}
			write, _ := h.arrive("k2", keyedClass, true)
			h.advance(300 * ms)
			if len(write.Attempts) != 1 || !write.Attempts[0].InFlight {
				t.Errorf("attempts of the write are %v, want one in flight at the origin", write.Attempts)
			}
		})
	}
}

// Guards against a cancelled attempt that no other may follow: its client was told to try again although the answer
// might still have come. An attempt must stay in flight if it is the request's last one, or if the extra-attempt budget
// would not cover a retry after the cancellation has been charged to it.
func TestLostAttemptStaysInFlightIfNoRetryMayFollow(t *testing.T) {
	for _, c := range []struct {
		name        string
		maxAttempts int
		tokens      float64
		cancelled   bool
	}{
		{name: "retry left", maxAttempts: 2, tokens: 5, cancelled: true},
		{name: "last attempt", maxAttempts: 1, tokens: 5, cancelled: false},
		{name: "no budget", maxAttempts: 2, tokens: 0.5, cancelled: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.HedgingAllowed = false
			settings.MaxAttempts = c.maxAttempts
			h := newHarness(t, settings, testFleet(12, false))
			h.router.extraAttempts.tokens = c.tokens
			r, decision := h.arrive("k", readClass, false)
			h.update(DeltaUpdate, Endpoint{ID: decision.SendTo[0], Lifecycle: Removed})
			h.advance(300 * ms)
			if cancelled := r.Attempts[0].Result == Cancelled; cancelled != c.cancelled {
				t.Errorf("attempts are %v", r.Attempts)
			}
			if sentAgain := len(r.Attempts) == 2; sentAgain != c.cancelled || r.Finished {
				t.Errorf("attempts are %v, finished: %v", r.Attempts, r.Finished)
			}
		})
	}
}
