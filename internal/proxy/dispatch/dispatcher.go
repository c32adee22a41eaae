package dispatch

import (
	"cmp"
	"slices"

	"dahliapin/policy"
)

// tickToken is the token of the tick's timer. It must differ from every request id: the ids of package proxy have
// 8 bytes, and the simulator's are expected to differ.
const tickToken = "upkeep"

// Dispatcher tracks one node's requests in flight and executes the Decider's decisions about them.
type Dispatcher struct {
	decider  Decider
	actions  Actions
	observer Observer // may be nil
	inflight map[policy.RequestID]*trackedRequest
}

// trackedRequest is a request that is unanswered or has an attempt in flight. Its Attempts correspond by index to those
// that the caller keeps: each Send appends one to both.
type trackedRequest struct {
	policy.Request
	reviewAt policy.Instant // time of the next call of Route; 0 if none is scheduled
}

// New returns a Dispatcher that asks a new router of package policy, and starts its tick.
func New(now policy.Instant, seed int64, settings policy.Settings, actions Actions) *Dispatcher {
	return NewWithDecider(now, policy.New(now, seed, settings), actions, nil)
}

// NewWithDecider returns a Dispatcher that asks decider and notifies observer, which may be nil, and starts its tick.
func NewWithDecider(now policy.Instant, decider Decider, actions Actions, observer Observer) *Dispatcher {
	d := &Dispatcher{
		decider:  decider,
		actions:  actions,
		observer: observer,
		inflight: map[policy.RequestID]*trackedRequest{},
	}
	d.tick(now)
	return d
}

// tick runs the decider's periodic work, reports changed endpoint states, and sets the timer of the next tick.
func (d *Dispatcher) tick(now policy.Instant) {
	wait, actions := d.decider.Tick(now)
	for _, action := range actions {
		switch action.Kind {
		case policy.PollEndpoints:
			d.actions.PollEndpoints()
		case policy.CheckHealth:
			d.actions.CheckHealth(action.Endpoint)
		}
	}
	if notifier, ok := d.decider.(stateChangeNotifier); ok && d.observer != nil {
		notifier.NotifyStateChanges(now, func(id policy.EndpointID, state policy.EndpointState) {
			d.observer.EndpointStateChanged(now, id, state)
		})
	}
	d.actions.SetTimer(wait, tickToken)
}

// UpdateEndpoints passes an update of the endpoint list to the decider and the observer.
func (d *Dispatcher) UpdateEndpoints(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint) {
	d.decider.UpdateEndpoints(now, kind, entries)
	if d.observer != nil {
		d.observer.EndpointsUpdated(now, kind, entries)
	}
}

// OnHealthCheck passes the result of a health check to the decider.
func (d *Dispatcher) OnHealthCheck(now policy.Instant, id policy.EndpointID, result policy.Result) {
	d.decider.OnHealthCheck(now, id, result)
}

// RequestArrived adds a request and executes the decision about it. A request that is already in flight is ignored.
func (d *Dispatcher) RequestArrived(now policy.Instant, r *policy.Request) {
	if d.inflight[r.ID] != nil {
		return
	}
	req := &trackedRequest{Request: *r}
	d.inflight[r.ID] = req
	if filter, ok := d.decider.(AdmissionFilter); ok {
		if decision, admitted := filter.Admit(now, &req.Request); !admitted {
			d.execute(now, req, decision)
			return
		}
	}
	d.execute(now, req, d.decider.Route(now, &req.Request))
}

// MayStart reports whether an attempt that has waited for its connection may still be sent.
func (d *Dispatcher) MayStart(now policy.Instant, id policy.RequestID, attempt int) bool {
	req := d.inflight[id]
	if req == nil || req.Finished || attempt >= len(req.Attempts) {
		return false
	}
	return d.decider.MayStart(now, req.Request, attempt)
}

// AttemptDone handles the result of an attempt, unless the attempt is no longer in flight. answered reports whether the
// request has its final answer, from this attempt or another source.
func (d *Dispatcher) AttemptDone(
	now policy.Instant, id policy.RequestID, result policy.Result, answered bool, outcome policy.Outcome,
) {
	req := d.inflight[id]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt >= len(req.Attempts) {
		return
	}
	attempt := &req.Attempts[outcome.Attempt]
	if !attempt.InFlight {
		return
	}
	attempt.InFlight = false
	attempt.Result = result
	req.Finished = req.Finished || answered
	if d.observer != nil {
		d.observer.AttemptDone(now, attempt.Endpoint, result, outcome.Latency)
	}
	d.execute(now, req, d.decider.OnAttemptDone(now, &req.Request, outcome))
}

// ResponseStarted cancels the pending review of a request whose response is now being streamed to the client. The
// simulator's adapter calls it. The proxy does not: its streams end their attempt instead.
func (d *Dispatcher) ResponseStarted(id policy.RequestID) {
	if req := d.inflight[id]; req != nil {
		req.reviewAt = 0
	}
}

// CapDeadlines moves the deadlines of all requests in flight to by where they are later, and their reviews with them.
func (d *Dispatcher) CapDeadlines(now, by policy.Instant) {
	for id, req := range d.inflight {
		if req.Deadline <= by {
			continue
		}
		req.Deadline = by
		if req.reviewAt > by {
			req.reviewAt = by
			d.actions.SetTimer(by.Since(now), string(id))
		}
	}
}

// ClientGone marks a request as finished because its client has disconnected and needs no answer.
func (d *Dispatcher) ClientGone(now policy.Instant, id policy.RequestID) {
	if req := d.inflight[id]; req != nil {
		req.Finished = true
		d.removeIfDone(req)
	}
}

// OnTimer handles the expiry of a timer set with Actions.SetTimer. Timers are never cancelled, so one whose review has
// been dropped or postponed is ignored.
func (d *Dispatcher) OnTimer(now policy.Instant, token string) {
	if token == tickToken {
		d.tick(now)
		return
	}
	req := d.inflight[policy.RequestID(token)]
	if req != nil && req.reviewAt != 0 && now >= req.reviewAt {
		d.review(now, req)
	}
}

// NeedsTimer reports whether OnTimer would do anything for a timer that is due at the given time, unless the request is
// reviewed before. It lets the caller drop timers of requests that have ended.
func (d *Dispatcher) NeedsTimer(at policy.Instant, token string) bool {
	if token == tickToken {
		return true
	}
	req := d.inflight[policy.RequestID(token)]
	return req != nil && req.reviewAt != 0 && at >= req.reviewAt
}

// review asks the decider about a request again and executes the decision.
func (d *Dispatcher) review(now policy.Instant, req *trackedRequest) {
	req.reviewAt = 0
	d.execute(now, req, d.decider.Route(now, &req.Request))
}

// execute carries out a decision: first cancellations, then the answer, then new attempts. Finally it reviews the
// requests that the decision wakes, which have waited for a value or for capacity at the origin.
func (d *Dispatcher) execute(now policy.Instant, req *trackedRequest, decision policy.Decision) {
	for _, attempt := range decision.Cancel {
		d.actions.Cancel(req.ID, attempt)
	}
	switch decision.Answer {
	case policy.Reject:
		d.actions.Reject(req.ID, decision.RetryAfter)
		req.Finished = true
	case policy.Fail:
		d.actions.Fail(req.ID)
		req.Finished = true
	}
	executeBy := cmp.Or(decision.ExecuteBy, decision.AttemptDeadline)
	for _, to := range decision.SendTo {
		d.actions.Send(req.ID, to, decision.AttemptDeadline, executeBy)
		req.Attempts = append(req.Attempts, policy.Attempt{Endpoint: to, SentAt: now, InFlight: true})
		if d.observer != nil {
			d.observer.AttemptSent(now, to)
		}
	}
	if decision.ReviewAt != 0 && !req.Finished {
		req.reviewAt = decision.ReviewAt
		d.actions.SetTimer(decision.ReviewAt.Since(now), string(req.ID))
	}
	d.removeIfDone(req)
	for _, id := range decision.Wake {
		if waiter := d.inflight[id]; waiter != nil && !waiter.Finished {
			d.review(now, waiter)
		}
	}
}

// removeIfDone removes a request that is finished and has no attempt in flight.
func (d *Dispatcher) removeIfDone(req *trackedRequest) {
	isInFlight := func(attempt policy.Attempt) bool { return attempt.InFlight }
	if req.Finished && !slices.ContainsFunc(req.Attempts, isInFlight) {
		delete(d.inflight, req.ID)
	}
}
