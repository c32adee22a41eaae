// Package baselines provides simple routing policies with which rehearsals compare the policy module. They obey the
// rules on retries and have no other reaction to failures. No node uses them.
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
	// ringPoints is the number of points of each cache on the hash ring. With 64, the caches' shares of the keys differ
	// by about an eighth.
	ringPoints = 64
	// replicaCount is the number of replicas of a key, the same as in the policy module.
	replicaCount = 3
	// tickPeriod is the interval between calls of Tick, in which a baseline does nothing.
	tickPeriod = time.Second
	// answerMargin is the time before a request's deadline that is reserved for the answer to reach the client.
	answerMargin = 2 * time.Millisecond
	// retryAfter is the Retry-After of a rejection; the settings' MaxRetryAfter limits it.
	retryAfter = 250 * time.Millisecond
	// windowMargin is the time before the end of a write's deduplication window in which it is no longer repeated.
	windowMargin = time.Second
)

// DeciderFactory creates a decider; both rigs of the emulator take a function of this type.
type DeciderFactory = func(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider

// Names are the names of the baselines.
var Names = []string{"random", "ring"}

// Make returns the factory of the baseline with a name. The error for an unknown name lists the valid ones.
func Make(name string) (DeciderFactory, error) {
	switch name {
	case "random":
		return newFactory((*router).randomReplica), nil
	case "ring":
		return newFactory((*router).leastLoadedReplica), nil
	}
	return nil, fmt.Errorf("unknown decider %q: valid names are module and %v", name, Names)
}

// replicaSelector selects a replica without an earlier attempt of the request, or returns nil if there is none.
type replicaSelector func(*router, *policy.Request) *cache

func newFactory(selectReplica replicaSelector) DeciderFactory {
	return func(_ policy.Instant, seed int64, settings policy.Settings) dispatch.Decider {
		settings.MaxAttempts = max(1, settings.MaxAttempts)
		return &router{
			settings:      settings,
			selectReplica: selectReplica,
			endpoints:     map[policy.EndpointID]*cache{},
			random:        keyhash.Source{Seed: uint32(seed)},
		}
	}
}

// cache is an endpoint with the number of this router's attempts in flight to it.
type cache struct {
	policy.Endpoint
	inFlight int
}

// router is a decider that sends to the selected replica, retries if the rules allow it, and gives up otherwise.
type router struct {
	settings      policy.Settings
	selectReplica replicaSelector
	endpoints     map[policy.EndpointID]*cache
	ring          []ringPoint // of the caches that are ready
	origin        *cache
	random        keyhash.Source
}

// ringPoint is a point of a cache on the hash ring.
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

// rebuildRing finds the origin and places the ready caches on the ring.
func (r *router) rebuildRing() {
	r.ring = nil
	r.origin = nil
	for _, c := range r.endpoints {
		switch {
		case r.settings.CacheAside && c.Kind == r.settings.OriginKind:
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

// replicas returns the replicas of a key: the next distinct caches on the ring.
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

// untriedReplicas returns the replicas of a request's key to which no attempt of the request was sent.
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
	return untried[int(r.random.Float64()*float64(len(untried)))]
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
	if attemptDeadline > now && len(request.Attempts) < r.settings.MaxAttempts && mayAttempt(now, request, class) {
		if target := r.target(request); target != nil {
			target.inFlight++
			return policy.Decision{SendTo: []policy.EndpointID{target.ID}, AttemptDeadline: attemptDeadline}
		}
	}
	if mayBeRepeated(request, class) {
		return policy.Decision{Answer: policy.Reject, RetryAfter: min(r.settings.MaxRetryAfter, retryAfter)}
	}
	return policy.Decision{Answer: policy.Fail}
}

func anyInFlight(request *policy.Request) bool {
	return slices.ContainsFunc(request.Attempts, func(a policy.Attempt) bool { return a.InFlight })
}

func (r *router) classOf(request *policy.Request) policy.ServiceClass {
	if request.Class < 0 || int(request.Class) >= len(r.settings.Classes) {
		return policy.ServiceClass{}
	}
	return r.settings.Classes[request.Class]
}

// mayBeRepeated reports whether a request may be sent again, by this router or by the client: it has not been executed,
// it is idempotent, or all caches deduplicate it by its key.
func mayBeRepeated(request *policy.Request, class policy.ServiceClass) bool {
	mayHaveRun := slices.ContainsFunc(request.Attempts, func(a policy.Attempt) bool { return !a.Result.NotExecuted() })
	return !mayHaveRun || class.Idempotency == policy.Idempotent ||
		class.Idempotency == policy.IdempotentByKey && class.DedupScope == policy.AllCaches
}

// mayAttempt reports whether this router may make another attempt. A request that is deduplicated by its key, and may
// have been executed, is repeated only within the deduplication window.
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

// target returns the endpoint for an attempt. With CacheAside, writes and requests that missed go to the origin;
// everything else goes to a replica. It is nil if there is none.
func (r *router) target(request *policy.Request) *cache {
	missed := slices.ContainsFunc(request.Attempts, func(a policy.Attempt) bool { return a.Result == policy.CacheMiss })
	if !r.settings.CacheAside || !request.Write && !missed {
		return r.selectReplica(r, request)
	}
	if r.origin == nil || r.origin.Lifecycle != policy.Ready {
		return nil
	}
	return r.origin
}

// MayStart implements dispatch.Decider: an attempt that has waited for its connection may start if its endpoint is
// still ready.
func (r *router) MayStart(_ policy.Instant, request policy.Request, attempt int) bool {
	c := r.endpoints[request.Attempts[attempt].Endpoint]
	return c != nil && c.Lifecycle == policy.Ready
}

// OnAttemptDone implements dispatch.Decider: it retries if the rules allow it.
func (r *router) OnAttemptDone(now policy.Instant, request *policy.Request, outcome policy.Outcome) policy.Decision {
	if c := r.endpoints[request.Attempts[outcome.Attempt].Endpoint]; c != nil {
		c.inFlight = max(0, c.inFlight-1)
	}
	return r.Route(now, request)
}
