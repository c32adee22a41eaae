package policy

import "time"

// endedAttempt is a completed attempt with the derived values that several components need in addition to its result.
type endedAttempt struct {
	Attempt
	latency   time.Duration // time from sending to completion
	objective time.Duration // the latency objective of the request's class
	inTime    bool          // got a response within the objective
	lateValue float64       // ServiceClass.LateValue of the request
	inFlight  int           // this router's attempts in flight at the endpoint, including this one
}

func newEndedAttempt(u *upstream, r *Request, outcome Outcome) endedAttempt {
	attempt := r.Attempts[outcome.Attempt]
	objective := r.state.class.LatencyObjective
	responded := attempt.Result == Answered || attempt.Result == CacheMiss
	return endedAttempt{
		Attempt:   attempt,
		latency:   outcome.Latency,
		objective: objective,
		inTime:    responded && outcome.Latency <= objective,
		lateValue: r.state.class.LateValue,
		inFlight:  u.load.inFlight,
	}
}

// recordOutcome passes the outcome of an attempt at an endpoint to every component that learns from it.
func (router *Router) recordOutcome(now Instant, u *upstream, r *Request, outcome Outcome) {
	ended := newEndedAttempt(u, r, outcome)
	atOrigin := u == router.endpoints.origin
	if ended.Result == Answered && !atOrigin {
		// Must run before the attempt and its load report are recorded, since both change the estimate.
		router.latency.observe(ended.latency, router.load.estimate(now, u)-1)
	}
	if ended.Result == CacheMiss && !atOrigin {
		router.shortage.recordMiss()
	}
	router.load.recordEnd(now, u, ended.Result)
	router.load.recordReport(now, u, atOrigin, ended.inFlight, outcome.LoadReport)
	router.outliers.recordErrors(u, r.state.classIndex, ended.Result)
	router.outliers.recordResponse(now, u, ended)
	if !ended.Result.dependsOnLoad() {
		return
	}
	if atOrigin {
		router.origin.recordEnd(now, ended)
		return
	}
	router.recordUsefulness(u, ended)
}

// recordUsefulness counts an attempt at a cache whose result depends on load, for admission and for the cache's wasted
// share.
func (router *Router) recordUsefulness(u *upstream, ended endedAttempt) {
	scope := router.endpoints.scopeOf(u)
	weight := 1.0
	useful := 0.0
	switch {
	case ended.Result == Rejected:
		router.admission.recordRejection(scope)
		router.outliers.recordUsefulness(u, 0)
		return
	case ended.Result == TimedOut && u.health.lastInTimeSentAt > ended.SentAt:
		// A later attempt was answered in time. A queue would have delayed both, so this attempt was lost in transit.
		return
	case ended.Result == TimedOut:
		// An attempt with little time to respond says little about the cache, so it has a lower weight.
		weight = min(1, float64(ended.latency)/max(1, float64(ended.objective)))
	case ended.inTime:
		useful = 1
	case ended.Result == Answered:
		useful = ended.lateValue
	}
	router.admission.record(scope, weight, useful)
	router.outliers.recordUsefulness(u, useful)
}

// dependsOnLoad reports whether a result depends on the endpoint's load. Errors and failed or broken connections
// indicate a fault or an outdated endpoint list. Cancelled and NotSent are decided by the caller.
func (r Result) dependsOnLoad() bool {
	return r == Answered || r == CacheMiss || r == Rejected || r == TimedOut
}
