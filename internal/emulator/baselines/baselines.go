// Package baselines has simple routing policies that the policy module is compared with in rehearsals. They keep the
// rules on retries, and do not react to failures otherwise. No node imports them.
package baselines

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
)

const (
	// ringPoints is the number of points of each cache on the ring: their shares differ by an eighth or so.
	ringPoints = 64
	// replicaCount is the number of replicas of a key, as the module has them.
	replicaCount = 3
	// tickPeriod is the interval of ticks, at which a baseline does nothing.
	tickPeriod = time.Second
	// answerMargin is left before a request's deadline for the answer to reach the client.
	answerMargin = 2 * time.Millisecond
	// retryAfter is the delay that a rejected client is told, if the settings allow as much.
	retryAfter = 250 * time.Millisecond
	// windowMargin is the time before the end of a deduplication window from which no write is repeated.
	windowMargin = time.Second
)

// DeciderFactory makes a decider, as the shells of the emulator want it.
type DeciderFactory = func(now policy.Instant, seed int64, rules policy.Settings) dispatch.Decider

// Names are the names of the baselines.
var Names = []string{"random", "ring"}

// Make returns the baseline of a name, or an error that lists the names.
func Make(name string) (DeciderFactory, error) {
	switch name {
	case "random":
		return maker((*router).randomReplica), nil
	case "ring":
		return maker((*router).leastLoadedReplica), nil
	}
	return nil, fmt.Errorf("no decider is named %q; there are module, %v", name, Names)
}

// replicaSelector selects a replica that was not tried, or nil if there is none.
type replicaSelector func(*router, *policy.Request) *cache

func maker(selectReplica replicaSelector) DeciderFactory {
	return func(_ policy.Instant, seed int64, rules policy.Settings) dispatch.Decider {
		rules.MaxAttempts = max(1, rules.MaxAttempts)
		return &router{
			rules:         rules,
			selectReplica: selectReplica,
			endpoints:     map[policy.EndpointID]*cache{},
			chance:        keyhash.Source{Seed: uint32(seed)},
		}
	}
}

// cache is an endpoint with the number of this router's attempts there.
type cache struct {
	policy.Endpoint
	inFlight int
}

// router sends to the replica that is selected, retries where the rules allow it, and gives up otherwise.
type router struct {
	rules         policy.Settings
	selectReplica replicaSelector
	endpoints     map[policy.EndpointID]*cache
	ring          []ringPoint // of the caches that may be sent to
	origin        *cache
	chance        keyhash.Source
}

// ringPoint is a point of a cache on the ring.
type ringPoint struct {
	hash  uint64
	cache *cache
}

// UpdateEndpoints implements dispatch.Decider.
func (r *router) UpdateEndpoints(_ policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint) {
	if kind == policy.PollFailed {
		return
	}
	listed := map[policy.EndpointID]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		if r.endpoints[entry.ID] == nil {
			r.endpoints[entry.ID] = &cache{}
		}
		r.endpoints[entry.ID].Endpoint = entry
	}
	for id, c := range r.endpoints {
		if c.Lifecycle == policy.Removed || kind != policy.DeltaUpdate && !listed[id] {
			delete(r.endpoints, id)
		}
	}
	r.rebuildRing()
}

// rebuildRing finds the origin and places the caches that may be sent to on the ring.
func (r *router) rebuildRing() {
	r.ring = nil
	r.origin = nil
	for _, c := range r.endpoints {
		switch {
		case r.rules.CacheAside && c.Kind == r.rules.OriginKind:
			r.origin = c
		case c.Lifecycle == policy.Ready:
			for n := range ringPoints {
				hash := keyhash.Salted(keyhash.String(string(c.ID)), n)
				r.ring = append(r.ring, ringPoint{hash: hash, cache: c})
			}
		}
	}
	slices.SortFunc(r.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.cache.ID, b.cache.ID))
	})
}

// OnHealthCheck implements dispatch.Decider; a baseline makes no health checks.
func (r *router) OnHealthCheck(policy.Instant, policy.EndpointID, policy.Result) {}

// Tick implements dispatch.Decider; a baseline has nothing to do.
func (r *router) Tick(policy.Instant) (time.Duration, []policy.Action) { return tickPeriod, nil }

// replicas returns the replicas of a key: the next caches on the ring.
func (r *router) replicas(key string) []*cache {
	first, _ := slices.BinarySearchFunc(r.ring, keyhash.String(key), func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	var replicas []*cache
	for i := 0; i < len(r.ring) && len(replicas) < replicaCount; i++ {
		c := r.ring[(first+i)%len(r.ring)].cache
		if !slices.Contains(replicas, c) {
			replicas = append(replicas, c)
		}
	}
	return replicas
}

// untriedReplicas returns the replicas of a request's key that have had no attempt of it.
func (r *router) untriedReplicas(request *policy.Request) []*cache {
	return slices.DeleteFunc(r.replicas(request.Key), func(c *cache) bool {
		return slices.ContainsFunc(request.Attempts, func(a policy.Attempt) bool { return a.Endpoint == c.ID })
	})
}

func (r *router) randomReplica(request *policy.Request) *cache {
	untried := r.untriedReplicas(request)
	if len(untried) == 0 {
		return nil
	}
	return untried[int(r.chance.Float64()*float64(len(untried)))]
}

// leastLoadedReplica selects the replica with the fewest own attempts in flight, the first on the ring among equals.
func (r *router) leastLoadedReplica(request *policy.Request) *cache {
	untried := r.untriedReplicas(request)
	if len(untried) == 0 {
		return nil
	}
	return slices.MinFunc(untried, func(a, b *cache) int { return cmp.Compare(a.inFlight, b.inFlight) })
}

// Route implements dispatch.Decider.
func (r *router) Route(now policy.Instant, request *policy.Request) policy.Decision {
	if request.Finished || anyInFlight(request) {
		return policy.Decision{}
	}
	class := r.classOf(request)
	attemptDeadline := request.Deadline.Add(-answerMargin)
	if attemptDeadline > now && len(request.Attempts) < r.rules.MaxAttempts && mayAttempt(now, request, class) {
		if target := r.target(request); target != nil {
			target.inFlight++
			return policy.Decision{SendTo: []policy.EndpointID{target.ID}, AttemptDeadline: attemptDeadline}
		}
	}
	if mayBeRepeated(request, class) {
		return policy.Decision{Answer: policy.Reject, RetryAfter: min(r.rules.MaxRetryAfter, retryAfter)}
	}
	return policy.Decision{Answer: policy.Fail}
}

func anyInFlight(request *policy.Request) bool {
	return slices.ContainsFunc(request.Attempts, func(a policy.Attempt) bool { return a.InFlight })
}

func (r *router) classOf(request *policy.Request) policy.ServiceClass {
	if request.Class < 0 || int(request.Class) >= len(r.rules.Classes) {
		return policy.ServiceClass{}
	}
	return r.rules.Classes[request.Class]
}

// mayBeRepeated reports whether a request may run again, by whoever sends it: it has not run, or its effect is dropped
// the second time.
func mayBeRepeated(request *policy.Request, class policy.ServiceClass) bool {
	mayHaveRun := slices.ContainsFunc(request.Attempts, func(a policy.Attempt) bool { return !a.Result.NotExecuted() })
	return !mayHaveRun || class.Idempotency == policy.Idempotent ||
		class.Idempotency == policy.IdempotentByKey && class.DedupScope == policy.AllCaches
}

// mayAttempt reports whether another attempt may be made here. One that is idempotent by its key is repeated within the
// window in which caches drop repeats.
func mayAttempt(now policy.Instant, request *policy.Request, class policy.ServiceClass) bool {
	if !mayBeRepeated(request, class) {
		return false
	}
	executed := slices.ContainsFunc(request.Attempts, func(a policy.Attempt) bool { return !a.Result.NotExecuted() })
	if !executed || class.Idempotency != policy.IdempotentByKey {
		return true
	}
	return now.Since(request.Attempts[0].SentAt) < class.DedupWindow-windowMargin
}

// target returns where an attempt goes: to the origin after a miss and with writes that it takes, else to a replica. It
// is nil if there is none.
func (r *router) target(request *policy.Request) *cache {
	missed := slices.ContainsFunc(request.Attempts, func(a policy.Attempt) bool { return a.Result == policy.CacheMiss })
	if !r.rules.CacheAside || !request.Write && !missed {
		return r.selectReplica(r, request)
	}
	if r.origin == nil || r.origin.Lifecycle != policy.Ready {
		return nil
	}
	return r.origin
}

// MayStart implements dispatch.Decider: an attempt that has waited for its connection may start if its cache does not
// drain by now.
func (r *router) MayStart(_ policy.Instant, request policy.Request, attempt int) bool {
	c := r.endpoints[request.Attempts[attempt].Endpoint]
	return c != nil && c.Lifecycle == policy.Ready
}

// OnAttemptDone implements dispatch.Decider, and retries.
func (r *router) OnAttemptDone(now policy.Instant, request *policy.Request, outcome policy.Outcome) policy.Decision {
	if c := r.endpoints[request.Attempts[outcome.Attempt].Endpoint]; c != nil {
		c.inFlight = max(0, c.inFlight-1)
	}
	return r.Route(now, request)
}
