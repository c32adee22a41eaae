package policy

import "slices"

const (
	// minAttemptTimeDivisor defines the least time for an attempt, as a fraction of the slow threshold: few attempts
	// are answered within an eighth of it.
	minAttemptTimeDivisor = 8
	// lastAttemptShortageFactor multiplies the origin's shortage level; the product is the probability that a read's
	// last attempt goes to a cache instead of the origin. At a shortage level of a quarter or more, none goes there: a
	// full cache does not justify more load on an origin that is short of capacity.
	lastAttemptShortageFactor = 4.0
)

// firstOrRetry decides on a request that has no attempt in flight: to send its first attempt or a retry to a cache or
// to the origin, to let it wait, or to reject or fail it.
func (router *Router) firstOrRetry(now Instant, r *Request) Decision {
	if !router.allowsAnotherAttempt(now, r) {
		return router.rejectOrFail(r)
	}
	shortageLevel := router.origin.shortageLevel(router.shortage.share)
	lastAtOrigin := router.lastAttemptAtOrigin(now, r, shortageLevel)
	if router.settings.CacheAside && (r.Write || lastAtOrigin || slices.ContainsFunc(r.Attempts, isCacheMiss)) {
		return router.routeToOrigin(now, r)
	}
	return router.sendToReplica(now, r, shortageLevel)
}

// allowsAnotherAttempt reports whether a request has an attempt left, enough time for it and, if it is a retry of an
// attempt that may have run, the budget for it.
func (router *Router) allowsAnotherAttempt(now Instant, r *Request) bool {
	if len(r.Attempts) >= router.settings.MaxAttempts {
		return false
	}
	if router.timeLeft(now, r) <= router.latency.slowThreshold/minAttemptTimeDivisor {
		return false
	}
	lastResult, hasAttempts := r.lastResult()
	return !hasAttempts || lastResult.NotExecuted() || router.extraAttempts.allowsRetry()
}

// lastAttemptAtOrigin reports whether a read that has one attempt left after a full cache rejected it goes to the
// origin: another replica may be full too, or lack the value. This requires that the origin has capacity and rarely
// answers late. The random draw precedes the cheaper conditions because recorded decisions depend on the order of
// draws.
func (router *Router) lastAttemptAtOrigin(now Instant, r *Request, shortageLevel float64) bool {
	origin := router.endpoints.origin
	if origin == nil || router.origin.available(now, origin) <= 0 {
		return false
	}
	if router.rng.Float64() < lastAttemptShortageFactor*shortageLevel {
		return false
	}
	lastResult, hasAttempts := r.lastResult()
	return hasAttempts && lastResult == Rejected && len(r.Attempts) == router.settings.MaxAttempts-1 &&
		r.state.class.Idempotency == Idempotent
}

// rejectOrFail answers a request without an attempt: with a rejection if the client can safely retry it, otherwise with
// a failure. Every rejection and failure of package policy is decided by a call of this function.
func (router *Router) rejectOrFail(r *Request) Decision {
	class := &r.state.class
	repeatable := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope == AllCaches
	if slices.ContainsFunc(r.Attempts, mayHaveRun) && !repeatable {
		return Decision{Answer: Fail}
	}
	return Decision{Answer: Reject, RetryAfter: min(router.settings.MaxRetryAfter, class.LatencyObjective/2)}
}
