package policy

import (
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

// requestFacts is what the first Route works out of a request. Only Router.assess and the coalescer write it.
type requestState struct {
	initialized    bool
	class          ServiceClass
	classIndex     int     // of the class, for errors by class; that of unknown classes is the last one
	key            uint64  // hash of the key
	priority       float64 // weight of the class, lowered for requests over their tenant's quota
	shedPreference float64 // how readily it is shed; 1 is the mean
	// cachedAt is the cache where another request's fetch has put the value; empty if none. Written by coalescer.
	cachedAt EndpointID
}

// assess works out the facts of a request that is routed for the first time, and counts it.
func (router *Router) initState(now Instant, r *Request) {
	class, classIndex := router.settings.classOf(r)
	priority := class.PriorityWeight * router.quotas.priorityFactor(now, r.Tenant)
	key := keyhash.String(r.Key)
	r.state = requestState{
		initialized:    true,
		class:          class,
		classIndex:     classIndex,
		key:            key,
		priority:       priority,
		shedPreference: router.admission.shedPreference(priority),
	}
	router.extraAttempts.recordRequest()
	router.shortage.recordRequest()
	router.popularity.record(key, priority)
}

// classOf returns the class of a request and its index. A request of an unknown class counts as of the strictest there
// is: not idempotent, of no priority, and in time until its deadline.
func (s *Settings) classOf(r *Request) (ServiceClass, int) {
	if r.Class >= 0 && int(r.Class) < len(s.Classes) {
		return s.Classes[r.Class], int(r.Class)
	}
	return ServiceClass{LatencyObjective: r.Deadline.Since(r.ArrivedAt)}, len(s.Classes)
}

// objectiveLeft returns the time until the latency objective is missed; under 0 once it is.
func (r *Request) timeToObjective(now Instant) time.Duration {
	return r.state.class.LatencyObjective - now.Since(r.ArrivedAt)
}

func isInFlight(attempt Attempt) bool { return attempt.InFlight }

func isCacheMiss(attempt Attempt) bool { return attempt.Result == CacheMiss }

// tried reports whether the request has an attempt at an endpoint.
func (r *Request) tried(id EndpointID) bool {
	return slices.ContainsFunc(r.Attempts, func(attempt Attempt) bool { return attempt.Endpoint == id })
}

// lastResult returns the result of the last attempt; ok is false if there was none.
func (r *Request) lastResult() (result Result, ok bool) {
	if len(r.Attempts) == 0 {
		return 0, false
	}
	return r.Attempts[len(r.Attempts)-1].Result, true
}
