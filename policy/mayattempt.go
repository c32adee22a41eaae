package policy

import (
	"math"
	"time"
)

// mayAttempt reports whether a request may be sent to an endpoint now. It enforces these rules regardless of any other
// consideration: the request is not finished, and has an attempt and time for an answer left; the endpoint is ready
// according to the list; a second attempt is in flight only if the settings allow hedges and the class allows repeats;
// and a request that may have run is not repeated where a second execution would have a second effect.
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

// mayRepeat reports whether an attempt at an endpoint may follow an earlier attempt.
func (router *Router) mayRepeat(now Instant, r *Request, earlier Attempt, u *upstream) bool {
	class := &r.state.class
	if earlier.InFlight && (!router.settings.HedgingAllowed || class.Idempotency == NotIdempotent) {
		return false
	}
	if !mayHaveRun(earlier) || class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency == NotIdempotent {
		return false
	}
	// The repeat arrives after this decision. Within a timer step of the window's end, the endpoint might no longer
	// drop it.
	if now.Since(earlier.SentAt) >= class.DedupWindow-router.settings.TickInterval {
		return false
	}
	return class.DedupScope.covers(router.attempted(earlier), u)
}

// attempted returns the endpoint that an attempt was sent to. It returns nil if that has left the list, or if its entry
// describes a process that started after the attempt was sent, which may belong to another group or zone.
func (router *Router) attempted(attempt Attempt) *upstream {
	u := router.endpoints.byID[attempt.Endpoint]
	if u != nil && u.StartedAt > attempt.SentAt {
		return nil
	}
	return u
}

// dedupWindowEnd returns the end of the window in which the execution of an attempt that is sent now is dropped if
// another attempt of the request takes effect first. An endpoint that began later, because the attempt waited there,
// would execute the request a second time. This holds for the first attempt, too: the router or the client may repeat
// the request elsewhere. The result is never reached if there is no such window.
func (router *Router) dedupWindowEnd(now Instant, r *Request) Instant {
	class := &r.state.class
	window := class.DedupWindow - router.settings.TickInterval
	if class.Idempotency != IdempotentByKey || window <= 0 {
		return math.MaxInt64
	}
	firstSentAt := now
	for _, attempt := range r.Attempts {
		if mayHaveRun(attempt) {
			firstSentAt = min(firstSentAt, attempt.SentAt)
		}
	}
	return firstSentAt.Add(window)
}

// covers reports whether an endpoint drops the repeat of a request that an earlier endpoint received. earlier is nil if
// that endpoint has left the list.
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
	return true // not reached: settings contain no other scope
}

// timeLeft returns the time in which an attempt can still be answered before the deadline. It reserves two timer steps
// (Settings.TickInterval): one to notice the answer and one to send it on.
func (router *Router) timeLeft(now Instant, r *Request) time.Duration {
	return r.Deadline.Since(now) - 2*router.settings.TickInterval
}
