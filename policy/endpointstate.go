package policy

import "slices"

// EndpointState is how a router sees an endpoint. Observers are notified of it; no decision reads it.
type EndpointState int

// The states. The first that applies is reported: the order of checks is that of Router.endpointState.
const (
	StateInUse        EndpointState = iota
	StateWarmingUp                  // it is in slow start
	StateOverloaded                 // its queue would take half of every latency objective
	StateFailing                    // requests of some class avoid it
	StateUnresponsive               // it doesn't respond, or is ejected after that
	StateUnreachable                // it takes no connection, and its slots pass their keys on
	StateDraining                   // the endpoint list says so
)

// String returns the name of the state in the event log, which operators read.
func (s EndpointState) String() string {
	return [...]string{"in use", "warming", "crowded", "erring", "quiet", "refusing", "drains"}[s]
}

// EndpointStates calls observe for each cache whose state has changed since observe was last called for it.
func (router *Router) EndpointStates(now Instant, observe func(EndpointID, EndpointState)) {
	queueCost := router.latency.queueCost() // once for all caches: this runs ten times a second over thousands
	maxQueueing := float64(queueCost.maxQueueingTime(router.settings.longestObjective()))
	for _, u := range router.endpoints.caches {
		state := router.endpointState(now, u, queueCost, maxQueueing)
		if u.notifiedState != state {
			u.notifiedState = state
			observe(u.ID, state)
		}
	}
}

func (router *Router) endpointState(now Instant, u *upstream, queueCost queueCost, maxQueueing float64) EndpointState {
	switch {
	case u.Lifecycle != Ready:
		return StateDraining
	case u.health.unreachable(now):
		return StateUnreachable
	case router.outliers.unresponsive(now, u):
		return StateUnresponsive
	case slices.Max(u.health.errorScores) >= maxErrorScore:
		return StateFailing
	case router.load.estimate(now, u)*queueCost.perRequest > maxQueueing:
		return StateOverloaded
	case router.slowStart.progress(now, u) < 1:
		return StateWarmingUp
	}
	return StateInUse
}
