package proxy

import (
	"maps"
	"time"

	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
)

// trialInterval is the time within which an unresponsive endpoint gets at most one attempt, a trial, while it counts as
// avoided. More frequent attempts are its share of the load.
const trialInterval = time.Second

// endpointStats records the state that package policy gives each endpoint, and how often the endpoint is tried, for the
// metrics snapshots. It passes everything on to the next observer, if there is one.
type endpointStats struct {
	dispatch.Observer                                            // the next one, or nil
	states            map[policy.EndpointID]policy.EndpointState // without the endpoints in StateInUse
	lastAttempts      map[policy.EndpointID][2]policy.Instant    // when the last two were sent, the latest last
}

func newEndpointStats(next dispatch.Observer) *endpointStats {
	return &endpointStats{
		Observer:     next,
		states:       map[policy.EndpointID]policy.EndpointState{},
		lastAttempts: map[policy.EndpointID][2]policy.Instant{},
	}
}

// isAvoided reports whether an endpoint is unreachable or draining, or is unresponsive and has had fewer than two
// attempts in the last trialInterval. An endpoint with errors may still take requests of some classes. An unresponsive
// one keeps that state until it answers, but counts as avoided only once it gets no more than an occasional trial
// attempt.
func (s *endpointStats) isAvoided(now policy.Instant, id policy.EndpointID) bool {
	state := s.states[id]
	if state == policy.StateUnresponsive {
		return now.Since(s.lastAttempts[id][0]) >= trialInterval
	}
	return state > policy.StateUnresponsive
}

// EndpointStateChanged records an endpoint's state.
func (s *endpointStats) EndpointStateChanged(now policy.Instant, id policy.EndpointID, state policy.EndpointState) {
	if state == policy.StateInUse {
		delete(s.states, id)
	} else {
		s.states[id] = state
	}
	if s.Observer != nil {
		s.Observer.EndpointStateChanged(now, id, state)
	}
}

// AttemptSent records when an attempt was sent to an endpoint.
func (s *endpointStats) AttemptSent(now policy.Instant, id policy.EndpointID) {
	s.lastAttempts[id] = [2]policy.Instant{s.lastAttempts[id][1], now}
	if s.Observer != nil {
		s.Observer.AttemptSent(now, id)
	}
}

// AttemptDone passes on an attempt's result.
func (s *endpointStats) AttemptDone(
	now policy.Instant, id policy.EndpointID, result policy.Result, took time.Duration,
) {
	if s.Observer != nil {
		s.Observer.AttemptDone(now, id, result, took)
	}
}

// EndpointsUpdated passes on an update of the endpoint list.
func (s *endpointStats) EndpointsUpdated(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint) {
	if s.Observer != nil {
		s.Observer.EndpointsUpdated(now, kind, entries)
	}
}

// retain removes the endpoints that are no longer listed.
func (s *endpointStats) retain(listed func(policy.EndpointID) bool) {
	maps.DeleteFunc(s.states, func(id policy.EndpointID, _ policy.EndpointState) bool { return !listed(id) })
	maps.DeleteFunc(s.lastAttempts, func(id policy.EndpointID, _ [2]policy.Instant) bool { return !listed(id) })
}
