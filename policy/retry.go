package policy

import (
	"slices"
	"time"
)

const (
	// minTimeForAttempt is the part of the slow latency that must be left for an attempt to be worth its start.
	minTimeForAttempt = 8
	// lastAttemptCaution multiplies the pressure on the origin for reads whose last attempt goes there.
	lastAttemptCaution = 4.0
)

// mayAttempt tells whether a request may be sent to an endpoint now, whatever else speaks for it. It holds two rules:
// an attempt goes only to an endpoint that the list says is ready, in time for its answer; and nothing that may have
// run is repeated where a second execution would have a second effect.
func (router *Router) mayAttempt(now Instant, r *Request, u *upstream) bool {
	attemptsUsedUp := len(r.Attempts) >= router.settings.MaxAttempts
	if r.Finished || u.Lifecycle != Ready || attemptsUsedUp || router.timeLeft(now, r) <= 0 {
		return false
	}
	for _, attempt := range r.Attempts {
		if !router.mayRepeat(now, r, attempt, u) {
			return false
		}
	}
	return true
}

// mayRepeat tells whether an attempt at an endpoint may follow an earlier one.
func (router *Router) mayRepeat(now Instant, r *Request, earlier Attempt, u *upstream) bool {
	class := &r.facts.class
	if earlier.InFlight && (!router.settings.HedgingAllowed || class.Idempotency == NotIdempotent) {
		return false
	}
	notExecuted := !earlier.InFlight && earlier.Result.NotExecuted()
	if notExecuted || class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency == NotIdempotent {
		return false
	}
	// The repeat arrives after its decision: a tick before the window's end, it might not be dropped any more.
	if now.Since(earlier.SentAt) >= class.DedupWindow-router.settings.TickInterval {
		return false
	}
	return class.DedupScope.covers(router.endpoints.byID[earlier.Endpoint], u)
}

// covers tells whether an endpoint drops the repeat of a request that another one has had. The other is nil if it has
// left the list.
func (s DedupScope) covers(earlier, u *upstream) bool {
	if s == AllCaches {
		return true
	}
	if earlier == nil {
		return false
	}
	switch s {
	case SameZone:
		return earlier.Zone == u.Zone
	case SameGroup:
		return earlier.Group == u.Group
	}
	return true
}

// timeLeft is the time in which an attempt can still be answered before the deadline: the answer has to be noticed and
// sent on, each by a tick.
func (router *Router) timeLeft(now Instant, r *Request) time.Duration {
	return r.Deadline.Since(now) - 2*router.settings.TickInterval
}

// firstOrRetry decides on a request that has no attempt in flight: the first attempt, a retry, the origin, to wait, or
// to give up.
func (router *Router) firstOrRetry(now Instant, r *Request) Decision {
	if !router.worthAnAttempt(now, r) {
		return router.giveUp(r)
	}
	pressure := router.origin.pressure(router.shortage.share)
	lastAtOrigin := router.lastAttemptAtOrigin(now, r, pressure)
	if router.settings.CacheAside && (r.Write || lastAtOrigin || slices.ContainsFunc(r.Attempts, missed)) {
		return router.fetch(now, r)
	}
	return router.sendToReplica(now, r, pressure)
}

// worthAnAttempt tells whether a request still has an attempt, the time for it and, after one that may have run, a
// retry in the budget.
func (router *Router) worthAnAttempt(now Instant, r *Request) bool {
	if len(r.Attempts) >= router.settings.MaxAttempts {
		return false
	}
	if router.timeLeft(now, r) <= router.latency.slow/minTimeForAttempt {
		return false
	}
	lastResult, retry := r.lastResult()
	return !retry || lastResult.NotExecuted() || router.hedges.allowsRetry()
}

// lastAttemptAtOrigin decides whether a read whose last attempt is left, after one that a full cache rejected, goes to
// the origin: another replica may be full too, or lack the value. It does so only while the origin has capacity and is
// next to never late. The draw comes before the cheaper conditions; recorded decisions depend on the order of draws.
func (router *Router) lastAttemptAtOrigin(now Instant, r *Request, pressure float64) bool {
	origin := router.endpoints.origin
	if origin == nil || router.origin.free(now, origin) <= 0 {
		return false
	}
	if router.chance.Float64() < lastAttemptCaution*pressure {
		return false
	}
	lastResult, retry := r.lastResult()
	return retry && lastResult == Rejected && len(r.Attempts) == router.settings.MaxAttempts-1 &&
		r.facts.class.Idempotency == Idempotent
}

// giveUp answers a request without an attempt: with a rejection where a retry by the client is sure to do no harm, else
// with a failure. Every rejection and failure that the router itself sends is decided by a call of this function.
func (router *Router) giveUp(r *Request) Decision {
	class := &r.facts.class
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
