package policy

import (
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

// requestState is what the router derives from a request on its first Route. Only Router.initState and the coalescer
// write it.
type requestState struct {
	initialized    bool
	class          ServiceClass
	classIndex     int     // index for per-class error scores; unknown classes have the last one
	key            uint64  // hash of the key
	priority       float64 // priority weight of the class, reduced for requests over their tenant's quota
	shedPreference float64 // how likely it is to be shed under overload; 1 is the mean
	// cachedAt is the cache that is assumed to hold the value after another request's fetch; empty if none. Written by
	// coalescer.
	cachedAt EndpointID
}

// initState derives the state of a request on its first Route, and counts the request.
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
	router.popularity.record(key, priority, router.admission.meanRawPreference)
}

// classOf returns the class of a request and its index. An unknown class gets the strictest treatment: it is not
// idempotent, has no priority, and its latency objective is the deadline.
func (s *Settings) classOf(r *Request) (ServiceClass, int) {
	if r.Class >= 0 && int(r.Class) < len(s.Classes) {
		return s.Classes[r.Class], int(r.Class)
	}
	return ServiceClass{LatencyObjective: r.Deadline.Since(r.ArrivedAt)}, len(s.Classes)
}

// timeToObjective returns the time left until the request misses its latency objective; negative once it has.
func (r *Request) timeToObjective(now Instant) time.Duration {
	return r.state.class.LatencyObjective - now.Since(r.ArrivedAt)
}

func isInFlight(attempt Attempt) bool { return attempt.InFlight }

// mayHaveRun reports whether an endpoint may have executed an attempt, or may still do so.
func mayHaveRun(attempt Attempt) bool { return attempt.InFlight || !attempt.Result.NotExecuted() }

func isCacheMiss(attempt Attempt) bool { return attempt.Result == CacheMiss }

// tried reports whether the request has already had an attempt at an endpoint.
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
