package policy

// maxShortageToFanOut is the shortage from which a write goes to one replica only: three attempts would cause three
// writes at an origin that is already short of capacity.
const maxShortageToFanOut = 0.01

// sendToReplica decides on a request that goes to a cache: it selects the cache, sheds the request, or sends it to the
// origin because no cache can take it. If the home zone would shed it, the caches of other zones are tried first. A
// request that is rejected because all queues are full does not count for admission.
func (router *Router) sendToReplica(now Instant, r *Request, shortageLevel float64) Decision {
	scope := homeZone
	// Each zone's own replicas fetch their keys from the origin, so the zones share replicas while the origin is short.
	if router.endpoints.zoneLocal && router.rng.Float64() < shortageLevel {
		scope = allZones
	}
	selected := router.selectEndpoint(now, r, scope)
	shed := router.shouldShed(r, selected.endpoint)
	if shed && router.endpoints.zoneLocal && router.endpoints.scopeOf(selected.endpoint) == homeZone {
		// A request that the home zone sheds and no other zone can take must not go to the origin.
		if elsewhere := router.selectEndpoint(now, r, otherZones); elsewhere.endpoint != nil {
			selected = elsewhere
			shed = router.shouldShed(r, elsewhere.endpoint)
		}
	}
	switch {
	case shed:
		return router.rejectOrFail(r)
	case selected.endpoint != nil && router.shouldFanOut(r):
		replicas := selected.replicas
		return router.send(now, r, replicas[:min(len(replicas), router.settings.MaxAttempts)]...)
	case selected.endpoint != nil:
		return router.send(now, r, selected.endpoint)
	case !selected.saturated && router.mayBypassCaches(r):
		// routeToOrigin is not called: it may send the request to the cache that another request's fetch has filled,
		// but no cache can take this request now.
		return router.sendToOrigin(now, r)
	}
	return router.rejectOrFail(r)
}

// shouldShed reports whether to shed a request instead of sending its first attempt to an endpoint, which is nil if
// none was selected.
func (router *Router) shouldShed(r *Request, u *upstream) bool {
	if u == nil || len(r.Attempts) > 0 {
		return false
	}
	scope := router.endpoints.scopeOf(u)
	return router.admission.shouldShed(scope, router.endpoints.zoneLocal, r.state.shedPreference)
}

// shouldFanOut reports whether a request is a write that goes to all its replicas at once: only in read-through mode,
// where every cache drops repeats, and only while the probability that one attempt is late is at least the cost of a
// wasted one. Otherwise each write would be executed three times although one attempt is almost always in time. In
// cache-aside mode writes go to the origin. These attempts require HedgingAllowed, since several are in flight at once,
// but they are not hedges and are not charged to the extra-attempt budget when they start.
func (router *Router) shouldFanOut(r *Request) bool {
	class := &r.state.class
	safe := class.Idempotency == IdempotentByKey && class.DedupScope == AllCaches && router.settings.HedgingAllowed
	return r.Write && safe && len(r.Attempts) == 0 && router.shortage.share < maxShortageToFanOut &&
		router.duplicatePaysOff(0, class.LatencyObjective)
}

// mayBypassCaches reports whether a request that no cache can take may go to the origin. It may not while the list has
// no caches at all: an empty list would send all traffic there.
func (router *Router) mayBypassCaches(r *Request) bool {
	return len(router.endpoints.caches) > 0 && router.settings.CacheAside &&
		r.state.class.Idempotency == Idempotent
}

// send returns the decision to start an attempt at each of the endpoints, and records these attempts as started.
func (router *Router) send(now Instant, r *Request, endpoints ...*upstream) Decision {
	decision := Decision{
		AttemptDeadline: now.Add(router.timeLeft(now, r)),
		ReviewAt:        now.Add(router.latency.slowThreshold),
	}
	decision.ExecuteBy = min(decision.AttemptDeadline, router.dedupWindowEnd(now, r))
	for _, u := range endpoints {
		router.outliers.recordStart(now, u)
		router.load.recordStart(now, u)
		router.slowStart.scheduleNext(now, u, 1)
		decision.SendTo = append(decision.SendTo, u.ID)
	}
	return decision
}
