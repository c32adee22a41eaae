package policy

// maxShortageToFanOut is the shortage from which a write goes to one replica only: three attempts would be three
// writes at an origin that is short already.
const maxShortageToFanOut = 0.01

// sendToReplica decides on a request that goes to a cache: to which one, or that it is shed, or that it goes to the
// origin since no cache can take it. If home would shed it, the caches of other zones are asked first. A request that
// is rejected for full queues doesn't count for admission.
func (router *Router) sendToReplica(now Instant, r *Request, shortageLevel float64) Decision {
	scope := homeZone
	// While the origin is short, zones do without replicas of their own, since each of those fetches its keys.
	if router.endpoints.zoneLocal && router.rng.Float64() < shortageLevel {
		scope = allZones
	}
	selected := router.selectEndpoint(now, r, scope)
	shed := router.shouldShed(r, selected.endpoint)
	if shed && router.endpoints.zoneLocal && router.endpoints.scopeOf(selected.endpoint) == homeZone {
		// Guards against a request that home sheds and no other zone can take: it would go to the origin.
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
		// Not by routeToOrigin: a cache that another's fetch has filled is one that could not take the request just now.
		return router.sendToOrigin(now, r)
	}
	return router.rejectOrFail(r)
}

// sheds reports whether a request is shed instead of its first attempt at an endpoint, which is nil if there is none.
func (router *Router) shouldShed(r *Request, u *upstream) bool {
	if u == nil || len(r.Attempts) > 0 {
		return false
	}
	scope := router.endpoints.scopeOf(u)
	return router.admission.shouldShed(scope, router.endpoints.zoneLocal, r.state.shedPreference)
}

// fansOut reports whether a request is a write that goes to all its replicas at once: in read-through mode, where every
// cache drops repeats, and while one attempt is late more often than a wasted one costs. Guards against paying for
// three executions of each write where one is all but always in time. In cache-aside mode writes go to the origin. These
// attempts need HedgingAllowed, as several are in flight at once, but they aren't hedges: they are not charged to the
// extra-attempt budget when they start.
func (router *Router) shouldFanOut(r *Request) bool {
	class := &r.state.class
	safe := class.Idempotency == IdempotentByKey && class.DedupScope == AllCaches && router.settings.HedgingAllowed
	return r.Write && safe && len(r.Attempts) == 0 && router.shortage.share < maxShortageToFanOut &&
		router.duplicatePaysOff(0, class.LatencyObjective)
}

// mayBypassCaches reports whether a request that no cache can take may go to the origin. While the list has no caches
// at all it may not: an empty list would send all traffic there.
func (router *Router) mayBypassCaches(r *Request) bool {
	return len(router.endpoints.caches) > 0 && router.settings.CacheAside &&
		r.state.class.Idempotency == Idempotent
}

// send starts attempts of a request at endpoints.
func (router *Router) send(now Instant, r *Request, endpoints ...*upstream) Decision {
	decision := Decision{
		AttemptDeadline: now.Add(router.timeLeft(now, r)),
		ReviewAt:        now.Add(router.latency.slowThreshold),
	}
	for _, u := range endpoints {
		router.outliers.recordStart(now, u)
		router.load.recordStart(now, u)
		router.slowStart.scheduleNext(now, u, 1)
		decision.SendTo = append(decision.SendTo, u.ID)
	}
	return decision
}
