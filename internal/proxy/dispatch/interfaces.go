package dispatch

import (
	"time"

	"dahliapin/policy"
)

// Actions carries out what a Dispatcher's decisions ask for. None of its methods may call back into the Dispatcher.
type Actions interface {
	// Send starts an attempt of a request at an endpoint, which is to end by deadline. The endpoint is told that it
	// must not begin to execute the request after executeBy, which is deadline or earlier. The attempt's result is
	// reported through Dispatcher.AttemptDone. The attempts of a request are numbered from 0 in the order in which they
	// were sent.
	Send(id policy.RequestID, to policy.EndpointID, deadline, executeBy policy.Instant)
	// Cancel stops an attempt. The attempt's result, which still follows, says whether it may have been executed.
	Cancel(id policy.RequestID, attempt int)
	// Reject answers that the request may be retried safely, after retryAfter if that is not 0: it was not executed, or
	// repeating it is harmless.
	Reject(id policy.RequestID, retryAfter time.Duration)
	// Fail answers that the request has failed and may have been executed.
	Fail(id policy.RequestID)
	// SetTimer schedules a call of Dispatcher.OnTimer with token after a duration. Timers are never cancelled.
	SetTimer(in time.Duration, token string)
	// CheckHealth starts a health check of an endpoint. Its result is reported through Dispatcher.OnHealthCheck.
	CheckHealth(id policy.EndpointID)
	// PollEndpoints polls the endpoint list, unless updates of the list are received continuously.
	PollEndpoints()
}

// Decider makes the decisions about requests. Implementations are the router of package policy, degradation.Filter,
// which wraps another Decider, and baselines that the router is compared with.
type Decider interface {
	// Route decides what to do with a request that has arrived or whose review is due.
	Route(now policy.Instant, r *policy.Request) policy.Decision
	// OnAttemptDone decides what to do after an attempt has ended.
	OnAttemptDone(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Decision
	// Tick is called periodically. It returns the time until the next call and the actions to take now.
	Tick(now policy.Instant) (time.Duration, []policy.Action)
	// UpdateEndpoints applies an update of the endpoint list.
	UpdateEndpoints(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint)
	// OnHealthCheck handles the result of a health check.
	OnHealthCheck(now policy.Instant, id policy.EndpointID, result policy.Result)
	// MayStart reports whether an attempt that has waited for its connection may still be sent.
	MayStart(now policy.Instant, r policy.Request, attempt int) bool
}

// AdmissionFilter is an optional interface of a Decider that may reject a request on arrival, before Route is called.
type AdmissionFilter interface {
	// Admit reports whether a request is admitted. If it is not, decision says how to answer it.
	Admit(now policy.Instant, r *policy.Request) (decision policy.Decision, admitted bool)
}

// Observer is notified of what a node does with its endpoints. It is called from the event loop and must not block.
type Observer interface {
	// EndpointStateChanged is called at a tick for each endpoint whose state has changed since the previous tick.
	// Initially every endpoint is in use.
	EndpointStateChanged(now policy.Instant, id policy.EndpointID, state policy.EndpointState)
	// AttemptSent is called for each attempt that is started, including those that end before anything is written.
	AttemptSent(now policy.Instant, id policy.EndpointID)
	// AttemptDone is called for each attempt that has ended, with its latency.
	AttemptDone(now policy.Instant, id policy.EndpointID, result policy.Result, took time.Duration)
	// EndpointsUpdated is called for each update of the endpoint list.
	EndpointsUpdated(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint)
}

// stateChangeNotifier is an optional interface of a Decider that keeps a state of each endpoint.
type stateChangeNotifier interface {
	// NotifyStateChanges calls observe for each endpoint whose state has changed since the previous call.
	NotifyStateChanges(now policy.Instant, observe func(policy.EndpointID, policy.EndpointState))
}
