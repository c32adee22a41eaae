package policy

import (
	"cmp"
	"slices"

	"dahliapin/internal/keyhash"
)

// replicaCount is the number of replicas of a key unless it is hot (r in docs/design.md).
const replicaCount = 3

// replicas returns the caches that are responsible for a request's key and can take the request now, including those
// already tried, by their rank for the key. The next ranked location replaces a cache that drains, does not respond,
// returns errors for this class (it fails fast and so looks idle), is not reachable from this zone, or is not warm
// enough for the key.
func (router *Router) replicas(now Instant, r *Request, scope placementScope) []*upstream {
	count := replicaCount
	if !r.Write {
		caches := len(router.endpoints.caches)
		count = router.popularity.replicaLimit(r.state.key, router.admission.meanRawPreference, caches)
	}
	var replicas []*upstream
	for _, segment := range rankSegments(r.state.key) {
		u := router.endpoints.lookup(now, scope, segment, r.state.key)
		if u == nil || scope == otherZones && u.Zone == router.settings.Zone {
			continue
		}
		if router.canTake(now, r, u) {
			replicas = append(replicas, u)
		}
		if len(replicas) == count {
			break
		}
	}
	return replicas
}

// canTake reports whether a cache at a location of a request's key can take the request. Slow start and the check of
// the zone draw random numbers, in this order.
func (router *Router) canTake(now Instant, r *Request, u *upstream) bool {
	return router.mayAttempt(now, r, u) &&
		router.slowStart.admits(now, u, r.state.key) &&
		router.outliers.allowsZone(u) &&
		!router.outliers.unresponsive(now, u) &&
		u.health.errorScores[r.state.classIndex] < errorScoreToAvoid
}

// rankSegments returns the segments by their rank for a key.
func rankSegments(key uint64) [segmentCount]int {
	var order [segmentCount]int
	for segment := range order {
		order[segment] = segment
	}
	rank := func(segment int) uint64 { return keyhash.Salted(key, segment) }
	slices.SortFunc(order[:], func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}
