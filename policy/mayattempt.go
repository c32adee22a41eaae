package policy

import "time"

// mayAttempt reports whether a request may be sent to an endpoint now, whatever else speaks for it. It holds two rules:
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

// mayRepeat reports whether an attempt at an endpoint may follow an earlier one.
func (router *Router) mayRepeat(now Instant, r *Request, earlier Attempt, u *upstream) bool {
	class := &r.state.class
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

// covers reports whether an endpoint drops the repeat of a request that another one has had. The other is nil if it has
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
