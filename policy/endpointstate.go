package policy

import "slices"

// EndpointState is the state of an endpoint as a router sees it. It is only reported to observers; no decision reads
// it.
type EndpointState int

// The endpoint states; each quoted name is the one that String returns. If several apply to an endpoint,
// Router.endpointState decides which one is reported.
const (
	StateInUse        EndpointState = iota // "in use": none of the states below applies
	StateWarmingUp                         // "warming": it is in slow start
	StateOverloaded                        // "crowded": its queue is too long for the longest latency objective
	StateFailing                           // "erring": requests of at least one class avoid it because of errors
	StateUnresponsive                      // "quiet": it does not respond, or is ejected for that
	StateUnreachable                       // "refusing": it accepts no connections; its keys go to the neighbouring slot
	StateDraining                          // "drains": it is draining according to the endpoint list
)

// String returns the name of the state in the event log. Operators read these names, so they must not change.
func (s EndpointState) String() string {
	return [...]string{"in use", "warming", "crowded", "erring", "quiet", "refusing", "drains"}[s]
}

// NotifyStateChanges calls observe for each cache whose state has changed since the previous call. Before its first
// notification, and again after its process restarts, a cache counts as StateInUse.
func (router *Router) NotifyStateChanges(now Instant, observe func(EndpointID, EndpointState)) {
	delay := router.latency.queueDelay() // once for all caches: this runs ten times a second over thousands of them
	maxQueueing := float64(delay.maxQueueingTime(router.settings.longestObjective()))
	for _, u := range router.endpoints.caches {
		state := router.endpointState(now, u, delay, maxQueueing)
		if u.notifiedState != state {
			u.notifiedState = state
			observe(u.ID, state)
		}
	}
}

func (router *Router) endpointState(now Instant, u *upstream, delay queueDelay, maxQueueing float64) EndpointState {
	switch {
	case u.Lifecycle != Ready:
		return StateDraining
	case u.health.unreachable(now):
		return StateUnreachable
	case router.outliers.unresponsive(now, u):
		return StateUnresponsive
	case slices.Max(u.health.errorScores) >= errorScoreToAvoid:
		return StateFailing
	case router.load.estimate(now, u)*delay.perRequest > maxQueueing:
		return StateOverloaded
	case router.slowStart.progress(now, u) < 1:
		return StateWarmingUp
	}
	return StateInUse
}
