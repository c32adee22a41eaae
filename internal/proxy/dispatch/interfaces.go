package dispatch

import (
	"time"

	"dahliapin/policy"
)

// Actions is what a Dispatcher can make happen. None of its methods may call back into the Dispatcher.
type Actions interface {
	// Send starts an attempt of a request at an endpoint, which is to end by deadline. The caller reports its result by
	// AttemptDone; a request's attempts count from 0, in the order in which they were sent.
	Send(id policy.RequestID, to policy.EndpointID, deadline policy.Instant)
	// Cancel stops an attempt, and leaves it to the result whether it has been carried out.
	Cancel(id policy.RequestID, attempt int)
	// Reject answers that the request was not carried out and may be sent again, after retryAfter if that is not 0.
	Reject(id policy.RequestID, retryAfter time.Duration)
	// Fail answers that the request has failed and may have been carried out.
	Fail(id policy.RequestID)
	// SetTimer has OnTimer called with a token after a time. Timers are not cancelled.
	SetTimer(in time.Duration, token string)
	// CheckHealth checks on an endpoint; its result goes to OnHealthCheck.
	CheckHealth(id policy.EndpointID)
	// PollEndpoints has the endpoint list polled, where it isn't always followed.
	PollEndpoints()
}

// Decider decides about requests: package policy's router, or a baseline that it is measured against.
type Decider interface {
	// Route decides about a request that has arrived, or whose review is due.
	Route(now policy.Instant, r *policy.Request) policy.Decision
	// OnAttemptDone decides what follows an attempt's result.
	OnAttemptDone(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Decision
	// Tick is called regularly, and returns when to be called next and what to do meanwhile.
	Tick(now policy.Instant) (time.Duration, []policy.Action)
	// UpdateEndpoints takes an update of the endpoint list.
	UpdateEndpoints(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint)
	// OnHealthCheck takes a health check's result.
	OnHealthCheck(now policy.Instant, id policy.EndpointID, result policy.Result)
	// MayStart reports whether an attempt that has waited for its connection is still allowed.
	MayStart(now policy.Instant, r policy.Request, attempt int) bool
}

// AdmissionFilter is a Decider that may reject a request as it arrives, before Route is asked.
type AdmissionFilter interface {
	// Admit reports whether a request is admitted, and what to do with one that is not.
	Admit(now policy.Instant, r *policy.Request) (decision policy.Decision, admitted bool)
}

// Observer is told what a node does with its endpoints. It is called within the event loop and must not block.
type Observer interface {
	// EndpointStateChanged is called at a tick for each endpoint that has another state than at the tick before; at
	// first all are in use.
	EndpointStateChanged(now policy.Instant, id policy.EndpointID, state policy.EndpointState)
	// AttemptSent is called for each attempt that is sent to an endpoint.
	AttemptSent(now policy.Instant, id policy.EndpointID)
	// AttemptDone is called for each attempt that has ended, with the time since it was sent.
	AttemptDone(now policy.Instant, id policy.EndpointID, result policy.Result, took time.Duration)
	// EndpointsUpdated is called for each update of the endpoint list.
	EndpointsUpdated(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint)
}

// endpointStates is a Decider that states what it makes of its endpoints.
type endpointStates interface {
	// EndpointStates calls f for each endpoint whose state has changed since the last call.
	EndpointStates(now policy.Instant, f func(policy.EndpointID, policy.EndpointState))
}
