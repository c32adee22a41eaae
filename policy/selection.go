package policy

import (
	"math"
	"time"
)

const (
	// affinityAttempts is how many attempts more an earlier replica may have in flight than the next one while the
	// origin is short: a fetch costs more than a short queue.
	affinityAttempts = 4.0
	// crossZoneAttempts is how many attempts in flight a full cross-zone cost weighs: a crossing is certain, and a
	// queue may move.
	crossZoneAttempts = 48
	// tieBreak scales what decides between equal loads, in attempts: far below a real difference.
	tieBreak = 1e-3
	// rankTie is what each rank weighs between equal loads, where chance weighs 1 on the mean.
	rankTie = 0.5
	// wastedTie is what a wasted share of 1 weighs there: more than all ranks.
	wastedTie = 8.0
	// outlierTie is what an outlier score of 1 weighs, times wastedTie.
	outlierTie = 2
	// connectTie is what a new connection weighs there: less than half of the attempts wasted.
	connectTie = 2.0
	// idleMargin is the time before the idle timeout from which a connection counts as closed.
	idleMargin = time.Second
	// maxEarlySaturation is how many times sooner a queue counts as full for requests that are readily shed.
	maxEarlySaturation = 2.0
	// maxShortageToFanOut is the shortage from which a write goes to one replica only: three attempts would be three
	// writes at an origin that is short already.
	maxShortageToFanOut = 0.01
)

// selection is the result of selectEndpoint.
type selection struct {
	endpoint *upstream   // nil if no replica can take the request
	replicas []*upstream // among which it was selected
	// saturated tells that replicas were passed over only since their queues are too long.
	saturated bool
}

// selectEndpoint selects the least loaded replica of a request's key in a scope. Where none at home can take it, it
// selects one of another zone.
func (router *Router) selectEndpoint(now Instant, r *Request, s scope) selection {
	selected := router.leastLoaded(now, r, router.replicas(now, r, s))
	if selected.endpoint == nil && router.endpoints.zoneLocal && s != otherZones {
		elsewhere := router.selectEndpoint(now, r, otherZones)
		elsewhere.saturated = elsewhere.saturated || selected.saturated
		return elsewhere
	}
	return selected
}

// leastLoaded selects the least loaded of the replicas that weren't tried and whose queue leaves time enough. While the
// origin is short, earlier replicas may have some attempts more: by chance, since a fixed preference would decide
// between all equal loads.
func (router *Router) leastLoaded(now Instant, r *Request, replicas []*upstream) selection {
	perRank := max(0, affinityAttempts*router.shortage.affinity()-router.chance.Float64())
	perRankTie := rankTie
	if len(replicas) > replicaCount { // a hot key is meant to spread over all of them
		perRank = 0
		perRankTie = 0
	}
	objective := r.facts.class.LatencyObjective
	timeLeft := max(r.objectiveLeft(now), objective/2)
	earlySaturation := min(maxEarlySaturation, max(1, r.facts.shedPreference))
	queueing := router.latency.queueing()
	maxQueueing := float64(queueing.timeForQueue(timeLeft))

	selected := selection{replicas: replicas}
	leastCost := math.Inf(1)
	for rank, u := range replicas {
		load := router.load.estimate(now, u)
		cost := load + perRank*float64(rank) + router.tie(now, u, perRankTie*float64(rank))
		if u.Zone != router.settings.Zone {
			cost += crossZoneAttempts * router.settings.CrossZoneCost
		}
		switch {
		case r.tried(u.ID):
		case load*queueing.perAttempt*earlySaturation > maxQueueing:
			selected.saturated = true
		case cost < leastCost:
			selected.endpoint = u
			leastCost = cost
		}
	}
	selected.saturated = selected.saturated && selected.endpoint == nil
	return selected
}

// tie returns a small cost that decides between equal loads, as most loads are 0 at a node that sees few of a fleet's
// requests: by chance, rank, faults and open connections, in proportion to the endpoint's weight.
func (router *Router) tie(now Instant, u *upstream, rank float64) float64 {
	faults := wastedTie * (u.health.wastedShare + outlierTie*u.health.outlierScore)
	cost := rank + faults - math.Log(1-router.chance.Float64())
	if u.load.inFlight == 0 && now.Since(u.load.lastUsedAt) > router.settings.IdleTimeout-idleMargin {
		cost += connectTie
	}
	return tieBreak * cost / u.Weight
}

// sendToReplica decides on a request that goes to a cache: to which one, or that it is shed, or that it goes to the
// origin since no cache can take it. Shedding is for first attempts, and full queues don't count as loss for it.
func (router *Router) sendToReplica(now Instant, r *Request, pressure float64) Decision {
	s := homeZone
	// While the origin is short, zones do without replicas of their own, since each of those fetches its keys.
	if router.endpoints.zoneLocal && router.chance.Float64() < pressure {
		s = allZones
	}
	selected := router.selectEndpoint(now, r, s)
	shed := router.sheds(r, selected.endpoint)
	if shed && router.endpoints.zoneLocal && router.endpoints.scopeOf(selected.endpoint) == homeZone {
		selected = router.selectEndpoint(now, r, otherZones)
		shed = router.sheds(r, selected.endpoint)
	}
	switch {
	case shed:
		return router.giveUp(r)
	case selected.endpoint != nil && router.fansOut(r):
		replicas := selected.replicas
		return router.send(now, r, replicas[:min(len(replicas), router.settings.MaxAttempts)]...)
	case selected.endpoint != nil:
		return router.send(now, r, selected.endpoint)
	case !selected.saturated && router.mayBypassCaches(r):
		return router.fetch(now, r)
	}
	return router.giveUp(r)
}

// sheds tells whether a request is shed instead of its first attempt at an endpoint, which is nil if there is none.
func (router *Router) sheds(r *Request, u *upstream) bool {
	if u == nil || len(r.Attempts) > 0 {
		return false
	}
	s := router.endpoints.scopeOf(u)
	return router.admission.shouldShed(s, router.endpoints.zoneLocal, r.facts.shedPreference)
}

// fansOut tells whether a request is a write that goes to all its replicas at once: in read-through mode, where every
// cache drops repeats. In cache-aside mode writes go to the origin.
func (router *Router) fansOut(r *Request) bool {
	class := &r.facts.class
	safe := class.Idempotency == IdempotentByKey && class.DedupScope == AllCaches && router.settings.HedgingAllowed
	return r.Write && safe && len(r.Attempts) == 0 && router.shortage.share < maxShortageToFanOut
}

// mayBypassCaches tells whether a request for which there is no cache may go to the origin. If the list has no caches
// at all, none of them can be at fault, and the origin isn't sized for all of the traffic.
func (router *Router) mayBypassCaches(r *Request) bool {
	return len(router.endpoints.caches) > 0 && router.settings.CacheAside &&
		r.facts.class.Idempotency == Idempotent
}

// send starts attempts of a request at endpoints.
func (router *Router) send(now Instant, r *Request, endpoints ...*upstream) Decision {
	decision := Decision{
		AttemptDeadline: now.Add(router.timeLeft(now, r)),
		ReviewAt:        now.Add(router.latency.slow),
	}
	for _, u := range endpoints {
		router.outliers.started(now, u)
		router.load.started(now, u)
		router.slowStart.paceNext(now, u, 1)
		decision.SendTo = append(decision.SendTo, u.ID)
	}
	return decision
}
