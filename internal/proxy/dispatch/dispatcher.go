package dispatch

import (
	"slices"

	"dahliapin/policy"
)

// tickToken is the token of the tick's timer. No request may have it as its id: those of package proxy have 8 bytes,
// and the simulator's are expected to be others.
const tickToken = "upkeep"

// Dispatcher carries out the decisions about one node's requests.
type Dispatcher struct {
	decider  Decider
	actions  Actions
	observer Observer // nil for none
	inflight map[policy.RequestID]*inflightRequest
}

// inflightRequest is a request until it is answered and none of its attempts is in flight. Its Attempts and those that
// the caller keeps are matched by index: each Send appends one to both.
type inflightRequest struct {
	policy.Request
	reviewAt policy.Instant // when Route is to be called again; 0 for never
}

// New starts a node that is decided by a new router of package policy.
func New(now policy.Instant, seed int64, settings policy.Settings, actions Actions) *Dispatcher {
	return NewWithDecider(now, policy.New(now, seed, settings), actions, nil)
}

// NewWithDecider starts a node with another decider, or with an observer; that may be nil.
func NewWithDecider(now policy.Instant, decider Decider, actions Actions, observer Observer) *Dispatcher {
	d := &Dispatcher{
		decider:  decider,
		actions:  actions,
		observer: observer,
		inflight: map[policy.RequestID]*inflightRequest{},
	}
	d.tick(now)
	return d
}

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
	if states, ok := d.decider.(endpointStates); ok && d.observer != nil {
		states.EndpointStates(now, func(id policy.EndpointID, state policy.EndpointState) {
			d.observer.EndpointStateChanged(now, id, state)
		})
	}
	d.actions.SetTimer(wait, tickToken)
}

// UpdateEndpoints passes on an update of the endpoint list.
func (d *Dispatcher) UpdateEndpoints(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint) {
	d.decider.UpdateEndpoints(now, kind, entries)
	if d.observer != nil {
		d.observer.EndpointsUpdated(now, kind, entries)
	}
}

// OnHealthCheck passes on a health check's result.
func (d *Dispatcher) OnHealthCheck(now policy.Instant, id policy.EndpointID, result policy.Result) {
	d.decider.OnHealthCheck(now, id, result)
}

// RequestArrived takes a request in flight and has it decided; one that is in flight already is left as it is.
func (d *Dispatcher) RequestArrived(now policy.Instant, r *policy.Request) {
	if d.inflight[r.ID] != nil {
		return
	}
	req := &inflightRequest{Request: *r}
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

// AttemptDone takes an attempt's result; that of one that is not in flight any more is ignored. answered tells that the
// request has its final answer, by this attempt or otherwise.
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

// ResponseStarted tells that an answer has begun to be streamed: the request is not reviewed any more.
func (d *Dispatcher) ResponseStarted(id policy.RequestID) {
	if req := d.inflight[id]; req != nil {
		req.reviewAt = 0
	}
}

// CapDeadlines sets the deadline of each request in flight to a time, unless it is earlier.
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

// ClientGone tells that a request's client has gone: it needs no answer.
func (d *Dispatcher) ClientGone(now policy.Instant, id policy.RequestID) {
	if req := d.inflight[id]; req != nil {
		req.Finished = true
		d.forgetIfDone(req)
	}
}

// OnTimer handles a timer of SetTimer. One that was set for a review which is not due any more is ignored.
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

// review has a request decided again.
func (d *Dispatcher) review(now policy.Instant, req *inflightRequest) {
	req.reviewAt = 0
	d.execute(now, req, d.decider.Route(now, &req.Request))
}

// execute carries out a decision: it cancels before it answers, and answers before it sends. Last it reviews the
// requests that the decision wakes up, which wait for the same value.
func (d *Dispatcher) execute(now policy.Instant, req *inflightRequest, decision policy.Decision) {
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
	for _, to := range decision.SendTo {
		d.actions.Send(req.ID, to, decision.AttemptDeadline)
		req.Attempts = append(req.Attempts, policy.Attempt{Endpoint: to, SentAt: now, InFlight: true})
		if d.observer != nil {
			d.observer.AttemptSent(now, to)
		}
	}
	if decision.ReviewAt != 0 && !req.Finished {
		req.reviewAt = decision.ReviewAt
		d.actions.SetTimer(decision.ReviewAt.Since(now), string(req.ID))
	}
	d.forgetIfDone(req)
	for _, id := range decision.Wake {
		if waiter := d.inflight[id]; waiter != nil && !waiter.Finished {
			d.review(now, waiter)
		}
	}
}

// forgetIfDone forgets a request that is answered and has no attempt in flight.
func (d *Dispatcher) forgetIfDone(req *inflightRequest) {
	isInFlight := func(attempt policy.Attempt) bool { return attempt.InFlight }
	if req.Finished && !slices.ContainsFunc(req.Attempts, isInFlight) {
		delete(d.inflight, req.ID)
	}
}
