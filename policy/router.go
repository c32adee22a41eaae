package policy

import (
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// tickPeriod is the time between ticks. It spans only a few service times, so that changes are noticed early.
	tickPeriod = 100 * time.Millisecond
	// ticksPerDecay is the number of ticks between decays, which halve most measurements: one decay per second.
	ticksPerDecay = 10
)

// Router makes the routing decisions of one node. Each component has its own state and rules; a component that needs
// another's value gets it as an argument or reads it. Router itself owns the tick count, and writes the notifiedState
// of each upstream. Only Router.initState and the coalescer write the state of a Request. Router is not safe for
// concurrent use.
type Router struct {
	settings      *Settings // shared by all components; not written after New
	rng           *keyhash.Source
	endpoints     endpointList
	pollSchedule  pollSchedule
	latency       *latencyTracker
	load          loadEstimator
	outliers      outlierDetector
	slowStart     slowStart
	popularity    popularity
	quotas        tenantQuotas
	admission     admission
	extraAttempts extraAttemptBudget
	shortage      shortage
	origin        originLimit
	coalescer     coalescer
	ticks         int
}

// New returns a router without endpoints, for a node that starts now. Routers with the same seed and the same calls
// make the same decisions.
func New(now Instant, seed int64, settings Settings) *Router {
	settings.Nodes = max(1, settings.Nodes)
	settings.MaxAttempts = max(1, settings.MaxAttempts)
	settings.TickInterval = max(time.Millisecond, settings.TickInterval)
	shared := &settings
	rng := &keyhash.Source{Seed: uint32(seed ^ seed>>32)}
	latency := &latencyTracker{settings: shared}
	latency.refresh()
	return &Router{
		settings:     shared,
		rng:          rng,
		endpoints:    endpointList{settings: shared, byID: map[EndpointID]*upstream{}},
		pollSchedule: pollSchedule{settings: shared, rng: rng, nextAt: now},
		latency:      latency,
		load:         loadEstimator{settings: shared},
		outliers:     newOutlierDetector(shared, rng, latency),
		slowStart:    newSlowStart(shared, rng),
		popularity:   popularity{demand: map[uint64]float64{}},
		quotas:       tenantQuotas{settings: shared, quotaUsedUntil: make([]Instant, len(settings.Tenants))},
		admission:    newAdmission(shared, rng),
		shortage:     shortage{settings: shared},
		origin:       newOriginLimit(now, shared, rng, latency),
		coalescer:    coalescer{leaders: map[uint64]*Request{}},
	}
}

// UpdateEndpoints applies an update of the endpoint list, or records that a poll for it failed.
func (router *Router) UpdateEndpoints(now Instant, kind UpdateKind, entries []Endpoint) {
	if kind == PollFailed {
		router.pollSchedule.failed(now)
		return
	}
	if kind != LastKnownUpdate {
		router.pollSchedule.succeeded()
	}
	router.endpoints.update(kind, entries)
}

// Route decides what to do with a request. Call it when the request arrives, at Decision.ReviewAt, and when a
// Decision.Wake names the request.
func (router *Router) Route(now Instant, r *Request) Decision {
	if r.Finished {
		return Decision{}
	}
	if !r.state.initialized {
		router.initState(now, r)
	}
	if attempt := slices.IndexFunc(r.Attempts, isInFlight); attempt >= 0 {
		return router.hedgeOrCancel(now, r, attempt)
	}
	return router.firstOrRetry(now, r)
}

// MayStart reports whether an attempt, given by its index, may still be sent after its connection took time to open:
// meanwhile the endpoint may have left the list or a deduplication window may have expired. It does not change the
// request.
func (router *Router) MayStart(now Instant, r Request, attempt int) bool {
	u := router.endpoints.byID[r.Attempts[attempt].Endpoint]
	r.Attempts = slices.Delete(slices.Clone(r.Attempts), attempt, attempt+1)
	return u != nil && router.mayAttempt(now, &r, u)
}

// OnAttemptDone records the outcome of an attempt, and decides what to do with its request and with waiting requests.
// Before the call, the caller sets the Attempt's Result, clears InFlight and, if the response was the final answer,
// sets Finished.
func (router *Router) OnAttemptDone(now Instant, r *Request, outcome Outcome) Decision {
	attempt := r.Attempts[outcome.Attempt]
	wasLeader := router.coalescer.isLeader(r)
	if u := router.endpoints.byID[attempt.Endpoint]; u != nil {
		router.recordOutcome(now, u, r, outcome)
	}
	// A failed attempt costs a token, whether or not a retry follows. Attempts that were not executed are free, and so
	// are broken connections, since one that breaks does not predict whether the next attempt fails.
	chargesFailure := !attempt.Result.NotExecuted() && attempt.Result != ConnectionBroken
	if !r.Finished && chargesFailure {
		router.extraAttempts.recordFailedAttempt()
	}
	var decision Decision
	if !r.Finished && !slices.ContainsFunc(r.Attempts, isInFlight) {
		decision = router.firstOrRetry(now, r)
	}
	decision.Cancel = router.cancelRemaining(r)
	if wasLeader && (r.Finished || decision.Answer != NoAnswer) {
		router.coalescer.complete(r, attempt.Result)
	}
	if origin := router.endpoints.origin; origin != nil && len(router.coalescer.waiters) > 0 {
		decision.Wake = router.coalescer.wake(router.origin.available(now, origin), &router.popularity)
	}
	return decision
}

// OnHealthCheck records the result of a health check: Answered if the endpoint is healthy, and NotSent if the check
// failed for a reason on the caller's machine.
func (router *Router) OnHealthCheck(now Instant, id EndpointID, result Result) {
	if u := router.endpoints.byID[id]; u != nil {
		router.outliers.recordHealthCheck(now, u, result)
	}
}

// Tick does the periodic work. It returns the time until the next call, and the actions that the caller has to carry
// out.
func (router *Router) Tick(now Instant) (wait time.Duration, actions []Action) {
	router.ticks++
	if router.ticks%ticksPerDecay == 0 {
		router.decay(now)
	}
	if !router.settings.CacheAside {
		// In read-through mode the origin is hidden behind the caches, so load that was not useful is attributed to an
		// origin shortage.
		router.shortage.setShare(router.admission.notUsefulShare(homeZone))
	}
	router.latency.refresh()
	router.slowStart.refreshRate(now, router.endpoints.caches)
	actions = router.outliers.dueHealthChecks(now, router.endpoints.caches)
	poll := router.pollSchedule.takeDue(now)
	if poll {
		actions = append(actions, Action{Kind: PollEndpoints})
	}
	return tickPeriod, actions
}

// decay reduces the weight of older measurements in the components that decay with time, and removes finished leaders.
func (router *Router) decay(now Instant) {
	router.admission.decay()
	router.load.decay(now, router.endpoints.caches)
	router.outliers.decay(router.endpoints.caches)
	router.latency.decay()
	router.popularity.decay(router.admission.meanRawPreference)
	router.coalescer.forgetFinished()
}
