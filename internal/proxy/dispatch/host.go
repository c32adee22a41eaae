// Package host keeps one node's timers and requests in hand and carries out what its policy.Router says.
// It decides nothing, and two hosts share nothing.
package dispatch

import (
	"slices"
	"time"

	"dahliapin/policy"
)

// Actions is what a host can make happen.
type Actions interface {
	Send(id policy.RequestID, to policy.EndpointID, giveUpAt policy.Instant)
	Cancel(id policy.RequestID, leg int)
	Reject(id policy.RequestID, comeBack time.Duration)
	Fail(id policy.RequestID)
	SetTimer(in time.Duration, token string)
	CheckHealth(id policy.EndpointID)
	PollEndpoints()
}

// Decider is what a host asks: the module, or a baseline that it is measured against.
type Decider interface {
	Route(now policy.Instant, r *policy.Request) policy.Decision
	OnAttemptDone(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Decision
	Tick(now policy.Instant) (time.Duration, []policy.Action)
	UpdateEndpoints(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint)
	OnHealthCheck(now policy.Instant, id policy.EndpointID, found policy.Result)
	MayStart(now policy.Instant, r policy.Request, leg int) bool
}

// AdmissionFilter is a decider that may turn away what has just come, before it is in hand.
type AdmissionFilter interface {
	Admit(now policy.Instant, r *policy.Request) (m policy.Decision, in bool)
}

// Observer hears what a node does to its caches. It is called within the node's loop and is not to wait.
type Observer interface {
	// Stands is called at an upkeep for each cache that stands otherwise than at the one before; at first all are in use.
	EndpointStateChanged(now policy.Instant, id policy.EndpointID, s policy.EndpointState)
	AttemptSent(now policy.Instant, id policy.EndpointID)
	AttemptDone(now policy.Instant, id policy.EndpointID, how policy.Result, took time.Duration)
	EndpointsUpdated(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint)
}

const upkeep = "upkeep" // a token that no request's id can be, being shorter

// Dispatcher is one node.
type Dispatcher struct {
	router  Decider
	do      Actions
	watcher Observer // nil for nobody
	hand    map[policy.RequestID]*held
}

type held struct {
	policy.Request
	askAt policy.Instant // when Where is to be called again; 0 for not
}

// New starts a node and its upkeep.
func New(now policy.Instant, seed int64, rules policy.Settings, do Actions) *Dispatcher {
	return NewWithDecider(now, policy.New(now, seed, rules), do, nil)
}

// NewWithDecider starts a node that asks another decider, or is watched.
func NewWithDecider(now policy.Instant, decider Decider, do Actions, watcher Observer) *Dispatcher {
	h := &Dispatcher{router: decider, do: do, watcher: watcher, hand: map[policy.RequestID]*held{}}
	h.upkeep(now)
	return h
}

func (h *Dispatcher) upkeep(now policy.Instant) {
	wait, chores := h.router.Tick(now)
	for _, c := range chores {
		switch c.Kind {
		case policy.PollEndpoints:
			h.do.PollEndpoints()
		case policy.CheckHealth:
			h.do.CheckHealth(c.Endpoint)
		}
	}
	if told, ok := h.router.(interface {
		EndpointStates(policy.Instant, func(policy.EndpointID, policy.EndpointState))
	}); ok && h.watcher != nil {
		told.EndpointStates(now, func(id policy.EndpointID, s policy.EndpointState) { h.watcher.EndpointStateChanged(now, id, s) })
	}
	h.do.SetTimer(wait, upkeep)
}

// UpdateEndpoints passes on news of the list.
func (h *Dispatcher) UpdateEndpoints(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	h.router.UpdateEndpoints(now, form, entries)
	if h.watcher != nil {
		h.watcher.EndpointsUpdated(now, form, entries)
	}
}

// OnHealthCheck passes on what a probe found.
func (h *Dispatcher) OnHealthCheck(now policy.Instant, id policy.EndpointID, found policy.Result) {
	h.router.OnHealthCheck(now, id, found)
}

// RequestArrived takes a request in hand; one that is in hand already is left as it is.
func (h *Dispatcher) RequestArrived(now policy.Instant, r *policy.Request) {
	if h.hand[r.ID] != nil {
		return
	}
	in := &held{Request: *r}
	h.hand[r.ID] = in
	if gate, is := h.router.(AdmissionFilter); is {
		if m, let := gate.Admit(now, &in.Request); !let {
			h.carryOut(now, in, m)
			return
		}
	}
	h.carryOut(now, in, h.router.Route(now, &in.Request))
}

// MayStart tells whether a leg may go out that has waited for its connection.
func (h *Dispatcher) MayStart(now policy.Instant, id policy.RequestID, leg int) bool {
	in := h.hand[id]
	return in != nil && !in.Finished && leg < len(in.Attempts) && h.router.MayStart(now, in.Request, leg)
}

// AttemptDone takes a leg's outcome; one that is not out any more is ignored.
func (h *Dispatcher) AttemptDone(now policy.Instant, id policy.RequestID, how policy.Result, over bool,
	o policy.Outcome) {
	in := h.hand[id]
	if in == nil || o.Attempt < 0 || o.Attempt >= len(in.Attempts) || !in.Attempts[o.Attempt].InFlight {
		return
	}
	in.Attempts[o.Attempt].InFlight, in.Attempts[o.Attempt].Result = false, how
	in.Finished = in.Finished || over
	if h.watcher != nil {
		h.watcher.AttemptDone(now, in.Attempts[o.Attempt].Endpoint, how, o.Latency)
	}
	h.carryOut(now, in, h.router.OnAttemptDone(now, &in.Request, o))
}

// ResponseStarted tells that an answer has begun to stream: from now on nothing is due for it but its end.
func (h *Dispatcher) ResponseStarted(id policy.RequestID) {
	if in := h.hand[id]; in != nil {
		in.askAt = 0
	}
}

// CapDeadlines has all in hand answered by a time, if not sooner.
func (h *Dispatcher) CapDeadlines(now, by policy.Instant) {
	for id, in := range h.hand {
		if in.Deadline <= by {
			continue
		}
		if in.Deadline = by; in.askAt > by {
			in.askAt = by
			h.do.SetTimer(by.Since(now), string(id))
		}
	}
}

// ClientGone tells that a client has gone.
func (h *Dispatcher) ClientGone(now policy.Instant, id policy.RequestID) {
	if in := h.hand[id]; in != nil {
		in.Finished = true
		h.drop(in)
	}
}

// OnTimer answers a timer.
func (h *Dispatcher) OnTimer(now policy.Instant, token string) {
	if token == upkeep {
		h.upkeep(now)
	} else if in := h.hand[policy.RequestID(token)]; in != nil && in.askAt != 0 && now >= in.askAt {
		h.ask(now, in)
	}
}

func (h *Dispatcher) ask(now policy.Instant, in *held) {
	in.askAt = 0
	h.carryOut(now, in, h.router.Route(now, &in.Request))
}

func (h *Dispatcher) carryOut(now policy.Instant, in *held, m policy.Decision) {
	for _, leg := range m.Cancel {
		h.do.Cancel(in.ID, leg)
	}
	switch m.Answer {
	case policy.Reject:
		h.do.Reject(in.ID, m.RetryAfter)
		in.Finished = true
	case policy.Fail:
		h.do.Fail(in.ID)
		in.Finished = true
	}
	for _, to := range m.SendTo {
		h.do.Send(in.ID, to, m.AttemptDeadline)
		in.Attempts = append(in.Attempts, policy.Attempt{Endpoint: to, SentAt: now, InFlight: true})
		if h.watcher != nil {
			h.watcher.AttemptSent(now, to)
		}
	}
	if m.ReviewAt != 0 && !in.Finished {
		in.askAt = m.ReviewAt
		h.do.SetTimer(m.ReviewAt.Since(now), string(in.ID))
	}
	h.drop(in)
	for _, id := range m.Wake {
		if waiter := h.hand[id]; waiter != nil && !waiter.Finished {
			h.ask(now, waiter)
		}
	}
}

// drop forgets a request once it is answered and nothing is out for it.
func (h *Dispatcher) drop(in *held) {
	if in.Finished && !slices.ContainsFunc(in.Attempts, func(l policy.Attempt) bool { return l.InFlight }) {
		delete(h.hand, in.ID)
	}
}
