package policy

import (
	"slices"
	"time"
)

const (
	// tokensPerRequest is what each request adds to the budget: the slowest twentieth of attempts can be hedged.
	tokensPerRequest = 0.05
	// maxTokens bounds the budget; it covers the requests in flight at one cache that stops responding.
	maxTokens = 10
	// minTokens is how far retries may overdraw the budget.
	minTokens = -1
)

// extraAttemptBudget bounds the attempts beyond the first of each request: hedges and retries. The failure it guards
// against: when most attempts fail or are slow, retries and hedges multiply the load that makes them so.
type extraAttemptBudget struct {
	tokens float64 // attempts; under 0 after retries
}

// recordRequest adds the share of a request.
func (b *extraAttemptBudget) recordRequest() {
	b.tokens = min(maxTokens, b.tokens+tokensPerRequest)
}

// allowsHedge reports whether there is a token for a whole attempt.
func (b *extraAttemptBudget) allowsHedge() bool {
	return b.tokens >= 1
}

// allowsRetry reports whether the budget isn't overdrawn.
func (b *extraAttemptBudget) allowsRetry() bool {
	return b.tokens >= 0
}

// spendHedge charges a hedge.
func (b *extraAttemptBudget) spendHedge() {
	b.tokens--
}

// spendRetry charges an attempt that failed and whose retry may fail in the same way.
func (b *extraAttemptBudget) spendRetry() {
	b.tokens = max(minTokens, b.tokens-1)
}

// hedgeOrCancel decides on a request with an attempt in flight, by its index: a hedge beside it, or to cancel it if it
// counts as lost, or to review it later. Only reads that may be repeated get either. It cancels only where hedging is
// off or the attempt is at the origin: elsewhere a lost attempt stays in flight, also when no hedge is possible.
func (router *Router) hedgeOrCancel(now Instant, r *Request, attemptIndex int) Decision {
	if r.Write || r.state.class.Idempotency == NotIdempotent {
		return Decision{}
	}
	attempt := r.Attempts[attemptIndex]
	u := router.endpoints.byID[attempt.Endpoint]
	atOrigin := u != nil && u == router.endpoints.origin
	lost := router.isLost(now, r, attempt)
	review := Decision{ReviewAt: now.Add(router.latency.slowThreshold)}
	if router.settings.HedgingAllowed && !atOrigin {
		if selected := router.hedgeEndpoint(now, r, attempt, lost); selected != nil {
			router.extraAttempts.spendHedge()
			return router.send(now, r, selected)
		}
		return review
	}
	if router.shouldCancel(now, r, lost) {
		return Decision{Cancel: []int{attemptIndex}}
	}
	return review
}

// hedgeEndpoint returns the endpoint for a hedge beside an attempt; nil if none is worth it or possible now.
func (router *Router) hedgeEndpoint(now Instant, r *Request, attempt Attempt, lost bool) *upstream {
	if !router.shouldHedge(now, r, attempt, lost) {
		return nil
	}
	selected := router.selectEndpoint(now, r, homeZone).endpoint
	if selected == nil || router.outliers.unresponsive(now, selected) {
		return nil
	}
	return selected
}

// shouldCancel decides whether an attempt is cancelled so that a retry can follow: if it counts as lost and there is
// time for another one.
func (router *Router) shouldCancel(now Instant, r *Request, lost bool) bool {
	return router.settings.CancelAllowed && lost && router.timeLeft(now, r) > router.latency.slowThreshold
}

// shouldHedge decides whether a hedge is worth its cost: the attempt is lost, or the chance that it is late exceeds the
// cost of a wasted one. It does so less often the shorter the origin is, as a hedge may miss.
func (router *Router) shouldHedge(now Instant, r *Request, attempt Attempt, lost bool) bool {
	if !router.extraAttempts.allowsHedge() || router.rng.Float64() < router.shortage.share {
		return false
	}
	return lost || router.duplicatePaysOff(now.Since(attempt.SentAt), r.state.class.LatencyObjective)
}

// copyPaysOff reports whether the chance that an attempt which has been in flight for elapsed is late exceeds the cost
// of a wasted copy of it.
func (router *Router) duplicatePaysOff(elapsed, objective time.Duration) bool {
	return router.settings.WasteCost <= router.latency.lateProbability(elapsed, objective)
}

// lost reports whether an attempt in flight is taken to be lost: its endpoint has left the list or is unresponsive. At
// the origin, where one slow request says nothing of others, it is by the time it takes; since another attempt
// there follows, the hedge budget must allow it.
func (router *Router) isLost(now Instant, r *Request, attempt Attempt) bool {
	u := router.endpoints.byID[attempt.Endpoint]
	if u == nil {
		return true
	}
	if u != router.endpoints.origin {
		return router.outliers.unresponsive(now, u)
	}
	lostAfter := router.origin.lostAfter(r.state.class.LatencyObjective)
	return router.extraAttempts.allowsHedge() && now.Since(attempt.SentAt) > lostAfter
}

// cancelRemaining returns the attempts of a finished request that are still in flight.
func (router *Router) cancelRemaining(r *Request) []int {
	if !r.Finished || !router.settings.CancelAllowed || !slices.ContainsFunc(r.Attempts, isInFlight) {
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
