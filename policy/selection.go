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
	tieBreakScale = 1e-3
	// rankTie is what each rank weighs between equal loads, where chance weighs 1 on the mean. For this and the next
	// three see docs/design.md, "Load and ties".
	rankTieCost = 0.5
	// wastedTie is what a wasted share of 1 weighs there: more than all ranks.
	wastedTieCost = 8.0
	// outlierTie is what an outlier score of 1 weighs, times wastedTie.
	outlierTieFactor = 2
	// connectTie is what a new connection weighs there: less than half of the attempts wasted.
	connectTieCost = 2.0
	// idleMargin is the time before the idle timeout from which a connection counts as closed.
	idleMargin = time.Second
	// maxEarlySaturation is how many times sooner a queue counts as full for requests that are readily shed.
	maxEarlySaturation = 2.0
)

// selection is the result of selectEndpoint.
type selection struct {
	endpoint *upstream   // nil if no replica can take the request
	replicas []*upstream // among which it was selected
	// saturated means that replicas were passed over only since their queues are too long.
	saturated bool
}

// selectEndpoint selects the least loaded replica of a request's key in a scope. Where none at home can take it, it
// selects one of another zone.
func (router *Router) selectEndpoint(now Instant, r *Request, scope placementScope) selection {
	selected := router.leastLoaded(now, r, router.replicas(now, r, scope))
	if selected.endpoint == nil && router.endpoints.zoneLocal && scope != otherZones {
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
	perRank := max(0, affinityAttempts*router.shortage.affinity()-router.rng.Float64())
	perRankTie := rankTieCost
	if len(replicas) > replicaCount { // a hot key is meant to spread over all of them
		perRank = 0
		perRankTie = 0
	}
	objective := r.state.class.LatencyObjective
	timeLeft := max(r.timeToObjective(now), objective/2)
	earlySaturation := min(maxEarlySaturation, max(1, r.state.shedPreference))
	queueCost := router.latency.queueCost()
	maxQueueing := float64(queueCost.maxQueueingTime(timeLeft))

	selected := selection{replicas: replicas}
	leastCost := math.Inf(1)
	for rank, u := range replicas {
		load := router.load.estimate(now, u)
		// The tie draws by chance for each replica, also for those that are passed over below.
		cost := load + perRank*float64(rank) + router.tieBreakCost(now, u, perRankTie*float64(rank))
		if u.Zone != router.settings.Zone {
			cost += crossZoneAttempts * router.settings.CrossZoneCost
		}
		switch {
		case r.tried(u.ID):
		case load*queueCost.perRequest*earlySaturation > maxQueueing:
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
func (router *Router) tieBreakCost(now Instant, u *upstream, rank float64) float64 {
	faults := wastedTieCost * (u.health.wastedShare + outlierTieFactor*u.health.outlierScore)
	cost := rank + faults - math.Log(1-router.rng.Float64())
	if u.load.inFlight == 0 && now.Since(u.load.lastUsedAt) > router.settings.IdleTimeout-idleMargin {
		cost += connectTieCost
	}
	return tieBreakScale * cost / u.Weight
}
