package policy

import (
	"slices"
	"time"
)

const (
	// tokensPerRequest is what each request adds to the budget. It is enough to hedge the slowest 5% of attempts.
	tokensPerRequest = 0.05
	// maxTokens is the maximum of the budget. It suffices for the requests in flight at one cache that stops
	// responding.
	maxTokens = 10
	// minTokens is the lowest balance to which failed attempts may overdraw the budget.
	minTokens = -1
)

// extraAttemptBudget limits hedges and retries, the attempts beyond the first of each request. Without it, retries and
// hedges would multiply the load when most attempts fail or are slow because of load.
type extraAttemptBudget struct {
	tokens float64 // number of attempts; negative if failed attempts overdrew the budget
}

// recordRequest adds the tokens of one request.
func (b *extraAttemptBudget) recordRequest() {
	b.tokens = min(maxTokens, b.tokens+tokensPerRequest)
}

// allowsHedge reports whether the budget covers a whole attempt.
func (b *extraAttemptBudget) allowsHedge() bool {
	return b.tokens >= 1
}

// allowsRetry reports whether the budget is not overdrawn.
func (b *extraAttemptBudget) allowsRetry() bool {
	return b.tokens >= 0
}

func (b *extraAttemptBudget) spendHedge() {
	b.tokens--
}

// recordFailedAttempt removes a token for a failed attempt, down to minTokens.
func (b *extraAttemptBudget) recordFailedAttempt() {
	b.tokens = max(minTokens, b.tokens-1)
}

// hedgeOrCancel decides on a request with an attempt in flight, given by its index: to hedge it, to cancel it if it
// counts as lost, or to review it later. Only reads that may be repeated are hedged or cancelled. An attempt is
// cancelled only if hedging is off or the attempt is at the origin: any other lost attempt stays in flight even if no
// hedge is possible.
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

// hedgeEndpoint returns the endpoint for a hedge of an attempt; nil if a hedge is not worth its cost or not possible
// now.
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

// shouldCancel reports whether to cancel an attempt: the settings allow it, the attempt counts as lost, and a retry may
// follow. For that the request must have an attempt and time left, and the extra-attempt budget must cover a whole
// attempt, since the cancellation is charged to it before the retry is decided.
func (router *Router) shouldCancel(now Instant, r *Request, lost bool) bool {
	mayRetry := len(r.Attempts) < router.settings.MaxAttempts && router.extraAttempts.allowsHedge() &&
		router.timeLeft(now, r) > router.latency.slowThreshold
	return router.settings.CancelAllowed && lost && mayRetry
}

// shouldHedge reports whether a hedge is worth its cost: the attempt is lost, or the probability that it is late is at
// least the cost of a wasted hedge. Since a hedge may miss and load the origin, it is less likely the larger the
// shortage is.
func (router *Router) shouldHedge(now Instant, r *Request, attempt Attempt, lost bool) bool {
	if !router.extraAttempts.allowsHedge() || router.rng.Float64() < router.shortage.share {
		return false
	}
	return lost || router.duplicatePaysOff(now.Since(attempt.SentAt), r.state.class.LatencyObjective)
}

// duplicatePaysOff reports whether the probability that an attempt in flight for elapsed is late is at least the cost
// of a wasted duplicate.
func (router *Router) duplicatePaysOff(elapsed, objective time.Duration) bool {
	return router.settings.WasteCost <= router.latency.lateProbability(elapsed, objective)
}

// isLost reports whether an attempt in flight counts as lost: its endpoint has left the list or is unresponsive. At the
// origin one slow request does not predict the others, so there an attempt is lost if it takes too long.
func (router *Router) isLost(now Instant, r *Request, attempt Attempt) bool {
	u := router.endpoints.byID[attempt.Endpoint]
	if u == nil {
		return true
	}
	if u != router.endpoints.origin {
		return router.outliers.unresponsive(now, u)
	}
	lostAfter := router.origin.lostAfter(r.state.class.LatencyObjective)
	return now.Since(attempt.SentAt) > lostAfter
}

// cancelRemaining returns the indices of the attempts to cancel once a request is finished: all that are in flight, if
// the settings allow cancelling.
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
