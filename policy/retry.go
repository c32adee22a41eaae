package policy

import "slices"

const (
	// attemptTimeDivisor says which part of the slow latency must be left for an attempt to be worth its start: few
	// attempts are answered within an eighth.
	minAttemptTimeDivisor = 8
	// lastAttemptCaution multiplies the origin's shortage level for reads whose last attempt goes there. At a quarter
	// of the full level none does: a cache that is full is no reason to load an origin that is short.
	lastAttemptShortageFactor = 4.0
)

// firstOrRetry decides on a request that has no attempt in flight: the first attempt, a retry, the origin, to wait, or
// to give up.
func (router *Router) firstOrRetry(now Instant, r *Request) Decision {
	if !router.hasAttemptBudget(now, r) {
		return router.rejectOrFail(r)
	}
	shortageLevel := router.origin.shortageLevel(router.shortage.share)
	lastAtOrigin := router.lastAttemptAtOrigin(now, r, shortageLevel)
	if router.settings.CacheAside && (r.Write || lastAtOrigin || slices.ContainsFunc(r.Attempts, isCacheMiss)) {
		return router.routeToOrigin(now, r)
	}
	return router.sendToReplica(now, r, shortageLevel)
}

// worthAnAttempt reports whether a request still has an attempt, the time for it and, after one that may have run, a
// retry in the budget.
func (router *Router) hasAttemptBudget(now Instant, r *Request) bool {
	if len(r.Attempts) >= router.settings.MaxAttempts {
		return false
	}
	if router.timeLeft(now, r) <= router.latency.slowThreshold/minAttemptTimeDivisor {
		return false
	}
	lastResult, retry := r.lastResult()
	return !retry || lastResult.NotExecuted() || router.extraAttempts.allowsRetry()
}

// lastAttemptAtOrigin decides whether a read whose last attempt is left, after one that a full cache rejected, goes to
// the origin: another replica may be full too, or lack the value. It does so only while the origin has capacity and is
// next to never late. The draw comes before the cheaper conditions; recorded decisions depend on the order of draws.
func (router *Router) lastAttemptAtOrigin(now Instant, r *Request, shortageLevel float64) bool {
	origin := router.endpoints.origin
	if origin == nil || router.origin.available(now, origin) <= 0 {
		return false
	}
	if router.rng.Float64() < lastAttemptShortageFactor*shortageLevel {
		return false
	}
	lastResult, retry := r.lastResult()
	return retry && lastResult == Rejected && len(r.Attempts) == router.settings.MaxAttempts-1 &&
		r.state.class.Idempotency == Idempotent
}

// giveUp answers a request without an attempt: with a rejection where a retry by the client is sure to do no harm, else
// with a failure. Every rejection and failure of package policy is decided by a call of this function. A node also
// rejects in degradation.Filter.Admit and proxy.acceptRequest.
func (router *Router) rejectOrFail(r *Request) Decision {
	class := &r.state.class
	repeatable := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope == AllCaches
	mayHaveRun := slices.ContainsFunc(r.Attempts, func(attempt Attempt) bool {
		return attempt.InFlight || !attempt.Result.NotExecuted()
	})
	if mayHaveRun && !repeatable {
		return Decision{Answer: Fail}
	}
	return Decision{Answer: Reject, RetryAfter: min(router.settings.MaxRetryAfter, class.LatencyObjective/2)}
}
