package policy

import "slices"

const (
	// hedgesPerRequest is what each request adds to the budget: the slowest twentieth of attempts can be hedged.
	hedgesPerRequest = 0.05
	// maxSavedHedges bounds the budget; it covers the requests in flight at one cache that stops responding.
	maxSavedHedges = 10
	// minHedgeBudget is how far retries may overdraw the budget.
	minHedgeBudget = -1
)

// hedgeBudget bounds the attempts beyond the first of each request. The failure it guards against: when most attempts
// fail or are slow, retries and hedges multiply the load that makes them so.
type hedgeBudget struct {
	saved float64 // attempts; under 0 after retries
}

// recordRequest adds the share of a request.
func (b *hedgeBudget) recordRequest() {
	b.saved = min(maxSavedHedges, b.saved+hedgesPerRequest)
}

// allowsHedge reports whether a whole attempt is saved.
func (b *hedgeBudget) allowsHedge() bool {
	return b.saved >= 1
}

// allowsRetry reports whether the budget isn't overdrawn.
func (b *hedgeBudget) allowsRetry() bool {
	return b.saved >= 0
}

// spendHedge charges a hedge.
func (b *hedgeBudget) spendHedge() {
	b.saved--
}

// spendRetry charges an attempt that failed and whose retry may fail in the same way.
func (b *hedgeBudget) spendRetry() {
	b.saved = max(minHedgeBudget, b.saved-1)
}

// hedgeOrCancel decides on a request with an attempt in flight, by its index: a hedge beside it, or to cancel it if it
// counts as lost, or to review it later. Only reads that may be repeated get either.
func (router *Router) hedgeOrCancel(now Instant, r *Request, attemptIndex int) Decision {
	if r.Write || r.facts.class.Idempotency == NotIdempotent {
		return Decision{}
	}
	attempt := r.Attempts[attemptIndex]
	u := router.endpoints.byID[attempt.Endpoint]
	atOrigin := u != nil && u == router.endpoints.origin
	lost := router.lost(now, r, attempt)
	if !atOrigin && router.settings.HedgingAllowed {
		if router.shouldHedge(now, r, attempt, lost) {
			selected := router.selectEndpoint(now, r, homeZone).endpoint
			if selected != nil && !router.outliers.unresponsive(now, selected) {
				router.hedges.spendHedge()
				return router.send(now, r, selected)
			}
		}
	} else if router.settings.CancelAllowed && lost && router.timeLeft(now, r) > router.latency.slow {
		return Decision{Cancel: []int{attemptIndex}}
	}
	return Decision{ReviewAt: now.Add(router.latency.slow)}
}

// shouldHedge decides whether a hedge is worth its cost: the attempt is lost, or the chance that it is late exceeds the
// cost of a wasted one. It does so less often the shorter the origin is, as a hedge may miss.
func (router *Router) shouldHedge(now Instant, r *Request, attempt Attempt, lost bool) bool {
	if !router.hedges.allowsHedge() || router.chance.Float64() < router.shortage.share {
		return false
	}
	late := router.latency.lateProbability(now.Since(attempt.SentAt), r.facts.class.LatencyObjective)
	return lost || router.settings.WasteCost <= late
}

// lost reports whether an attempt in flight is taken to be lost: its endpoint has left the list or is unresponsive. At
// the origin, where one slow request says nothing of others, it is by the time it takes; since another attempt
// there follows, the hedge budget must allow it.
func (router *Router) lost(now Instant, r *Request, attempt Attempt) bool {
	u := router.endpoints.byID[attempt.Endpoint]
	if u == nil {
		return true
	}
	if u != router.endpoints.origin {
		return router.outliers.unresponsive(now, u)
	}
	lostAfter := router.origin.lostAfter(r.facts.class.LatencyObjective)
	return router.hedges.allowsHedge() && now.Since(attempt.SentAt) > lostAfter
}

// cancelRemaining returns the attempts of a finished request that are still in flight.
func (router *Router) cancelRemaining(r *Request) []int {
	if !r.Finished || !router.settings.CancelAllowed || !slices.ContainsFunc(r.Attempts, inFlight) {
		return nil
	}
	var indices []int
	for i, attempt := range r.Attempts {
		if attempt.InFlight {
			indices = append(indices, i)
		}
	}
	return indices
}
