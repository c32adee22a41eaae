package policy

// routeToOrigin decides on a request bound for the origin: a write, a read that missed, or a read whose last attempt
// goes there. One read fetches a key while others wait. A request that finds no capacity waits too, unless the demand
// for its key is low compared with other keys that are waiting. A read whose value has been fetched by another request
// goes to the cache that now holds the value; if that cache cannot take the read, the read goes to the origin or waits
// again.
func (router *Router) routeToOrigin(now Instant, r *Request) Decision {
	cached := router.endpoints.byID[router.coalescer.takeCachedAt(r)]
	if cached != nil && router.mayAttempt(now, r, cached) {
		return router.send(now, r, cached)
	}
	return router.sendToOrigin(now, r)
}

// sendToOrigin sends a request to the origin, makes it wait for capacity or for another request's fetch, or rejects or
// fails it.
func (router *Router) sendToOrigin(now Instant, r *Request) Decision {
	origin := router.endpoints.origin
	waits := router.coalescer.isWaiting(r)
	objectiveLeft := r.timeToObjective(now)
	if origin == nil || !router.mayAttempt(now, r, origin) || waits && objectiveLeft <= 0 {
		return router.rejectOrFail(r)
	}
	mayFetch := router.coalescer.mayFetch(r)
	hasCapacity := router.origin.available(now, origin) > 0
	if mayFetch && !r.Write {
		router.coalescer.setLeader(r)
	}
	if mayFetch && !waits {
		router.shortage.recordFetch(hasCapacity)
	}
	if mayFetch && hasCapacity {
		router.origin.recordStart(now)
		return router.send(now, r, origin)
	}
	if !waits {
		if router.rng.Float64()*router.coalescer.demandCutoff > router.popularity.demandFor(r.state.key) {
			return router.rejectOrFail(r)
		}
		router.coalescer.addWaiter(r)
	}
	// A request that starts to wait past its objective is reviewed after two timer steps. It is then rejected or
	// failed, unless another request's fetch has put its value into a cache meanwhile.
	waitFor := max(objectiveLeft, 2*router.settings.TickInterval)
	return Decision{ReviewAt: now.Add(min(waitFor, router.timeLeft(now, r)))}
}
