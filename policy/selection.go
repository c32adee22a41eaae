package policy

import (
	"math"
	"time"
)

const (
	// affinityAttempts is the number of attempts in flight by which an earlier replica may exceed the next one and
	// still be preferred, at an affinity of 1: a fetch costs more than a short queue.
	affinityAttempts = 4.0
	// crossZoneAttempts is the number of attempts in flight that a cross-zone cost of 1 is worth. It is high because
	// the cost of crossing is certain, whereas a queue may shrink.
	crossZoneAttempts = 48
	// tieBreakScale scales the tie-break costs, in attempts: far below any real difference of load.
	tieBreakScale = 1e-3
	// rankTieCost is the tie-break cost per rank; the random number that is added to each cost has a mean of 1. For
	// this and the next three constants see docs/design.md, "Load and ties".
	rankTieCost = 0.5
	// wastedTieCost is the tie-break cost of a wasted share of 1: more than that of all ranks.
	wastedTieCost = 8.0
	// outlierTieFactor is the tie-break cost of an outlier score of 1, as a multiple of wastedTieCost.
	outlierTieFactor = 2
	// connectTieCost is the tie-break cost of a new connection: less than that of half of the attempts wasted.
	connectTieCost = 2.0
	// idleMargin is how long before its idle timeout a connection is assumed to be closed.
	idleMargin = time.Second
	// maxEarlySaturation is the largest factor that multiplies the queueing time of a request with a high shed
	// preference, so that a queue counts as full earlier for it.
	maxEarlySaturation = 2.0
)

// selection is the result of selectEndpoint.
type selection struct {
	endpoint *upstream   // nil if no replica can take the request
	replicas []*upstream // candidates for the selection
	// saturated is set if no replica was selected in a scope and at least one replica of that scope had too long a
	// queue.
	saturated bool
}

// selectEndpoint selects the least loaded replica of a request's key in a scope. If none in the home zone can take the
// request, it selects one in another zone.
func (router *Router) selectEndpoint(now Instant, r *Request, scope placementScope) selection {
	selected := router.leastLoaded(now, r, router.replicas(now, r, scope))
	if selected.endpoint == nil && router.endpoints.zoneLocal && scope != otherZones {
		elsewhere := router.selectEndpoint(now, r, otherZones)
		elsewhere.saturated = elsewhere.saturated || selected.saturated
		return elsewhere
	}
	return selected
}

// leastLoaded selects the least loaded replica that was not tried yet and whose queue leaves enough time. While the
// origin is short of capacity, earlier replicas may have a few more attempts in flight. That margin is random, since a
// fixed one would always decide between equal loads.
func (router *Router) leastLoaded(now Instant, r *Request, replicas []*upstream) selection {
	costPerRank := max(0, affinityAttempts*router.shortage.affinity()-router.rng.Float64())
	tieCostPerRank := rankTieCost
	if len(replicas) > replicaCount { // the reads of a hot key are spread over all of its replicas
		costPerRank = 0
		tieCostPerRank = 0
	}
	objective := r.state.class.LatencyObjective
	// Without a minimum, every queue would count as full for a request past its objective, even an empty one.
	timeLeft := max(r.timeToObjective(now), objective/2)
	earlySaturation := min(maxEarlySaturation, max(1, r.state.shedPreference))
	queueDelay := router.latency.queueDelay()
	maxQueueing := float64(queueDelay.maxQueueingTime(timeLeft))

	selected := selection{replicas: replicas}
	leastCost := math.Inf(1)
	for rank, u := range replicas {
		load := router.load.estimate(now, u)
		// tieBreakCost draws a random number for each replica, including those that are skipped below.
		cost := load + costPerRank*float64(rank) + router.tieBreakCost(now, u, tieCostPerRank*float64(rank))
		if u.Zone != router.settings.Zone {
			cost += crossZoneAttempts * router.settings.CrossZoneCost
		}
		switch {
		case r.tried(u.ID):
		case load*queueDelay.perRequest*earlySaturation > maxQueueing:
			selected.saturated = true
		case cost < leastCost:
			selected.endpoint = u
			leastCost = cost
		}
	}
	selected.saturated = selected.saturated && selected.endpoint == nil
	return selected
}

// tieBreakCost returns a small cost that decides between equal loads, which are common because most loads are 0 at a
// node that sees few of a fleet's requests. It depends on the cost of the replica's rank, faults, a random draw and
// whether a connection is open, and is divided by the endpoint's weight.
func (router *Router) tieBreakCost(now Instant, u *upstream, rankCost float64) float64 {
	faults := wastedTieCost * (u.health.wastedShare + outlierTieFactor*u.health.outlierScore)
	cost := rankCost + faults - math.Log(1-router.rng.Float64())
	if u.load.inFlight == 0 && now.Since(u.load.lastUsedAt) > router.settings.IdleTimeout-idleMargin {
		cost += connectTieCost
	}
	return tieBreakScale * cost / u.Weight
}
