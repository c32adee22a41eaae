package policy

import (
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// tickPeriod is the time between ticks: a few service times, so that a change is seen soon.
	tickPeriod = 100 * time.Millisecond
	// ticksPerDecay is the number of ticks after which what is measured is halved: once a second.
	ticksPerDecay = 10
)

// Router makes the routing decisions of one node. Each field is a part with its own state and rules; the parts that
// need another's value get it as an argument. Router itself owns the tick count, and writes the facts of each Request
// and the notifiedState of each upstream. It is not safe for concurrent use.
type Router struct {
	settings      *Settings // shared by all parts; not written after New
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

// New returns a router without endpoints, for a node that starts now. Routers with the same seed that get the same
// calls make the same decisions.
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
		quotas:       tenantQuotas{settings: shared, usedTo: make([]Instant, len(settings.Tenants))},
		admission:    newAdmission(shared, rng),
		shortage:     shortage{settings: shared},
		origin:       newOriginLimit(now, shared, rng, latency),
		coalescer:    coalescer{leaders: map[uint64]*Request{}},
	}
}

// UpdateEndpoints takes in an update of the endpoint list, or that a poll for it failed.
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

// Route decides what to do with a request: when it arrives, at Decision.ReviewAt, and when Decision.Wake names it.
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

// MayStart reports whether an attempt, by its index, may still be sent whose connection took time to open: the endpoint
// list may have changed meanwhile, or a deduplication window may have passed. The request itself stays as it is.
func (router *Router) MayStart(now Instant, r Request, attempt int) bool {
	u := router.endpoints.byID[r.Attempts[attempt].Endpoint]
	r.Attempts = slices.Delete(slices.Clone(r.Attempts), attempt, attempt+1)
	return u != nil && router.mayAttempt(now, &r, u)
}

// OnAttemptDone takes in the end of an attempt, and decides what to do with its request and with those that wait. The
// caller has closed the attempt, and set Finished if its response was the final answer.
func (router *Router) OnAttemptDone(now Instant, r *Request, outcome Outcome) Decision {
	attempt := r.Attempts[outcome.Attempt]
	wasLeader := router.coalescer.isLeader(r)
	if u := router.endpoints.byID[attempt.Endpoint]; u != nil {
		router.recordOutcome(now, u, r, outcome)
	}
	// A broken connection says nothing of the next one, so its retry is free, as after a result without any effect.
	chargesRetry := !attempt.Result.NotExecuted() && attempt.Result != ConnectionBroken
	if !r.Finished && chargesRetry {
		router.extraAttempts.spendRetry()
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

// OnHealthCheck takes in the result of a health check, Answered if the endpoint is well.
func (router *Router) OnHealthCheck(now Instant, id EndpointID, result Result) {
	if u := router.endpoints.byID[id]; u != nil {
		router.outliers.recordHealthCheck(now, u, result)
	}
}

// Tick does what is due at intervals. It returns when to call it next, and work for the caller to carry out.
func (router *Router) Tick(now Instant) (wait time.Duration, actions []Action) {
	router.ticks++
	if router.ticks%ticksPerDecay == 0 {
		router.decay(now)
	}
	if !router.settings.CacheAside {
		// The origin can't be seen behind the caches: what they lose is taken for its shortage.
		router.shortage.setLostShare(router.admission.lostShare(homeZone))
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

// decay lets what each part has measured count for less.
func (router *Router) decay(now Instant) {
	router.admission.decay()
	router.load.decay(now, router.endpoints.caches)
	router.outliers.decay(router.endpoints.caches)
	router.latency.decay()
	router.popularity.decay(router.admission.meanShedPreference)
	router.coalescer.forgetFinished()
}
