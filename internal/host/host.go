// Package host keeps one node's timers and requests in hand and carries out what its policy.Router says.
// It decides nothing, and two hosts share nothing.
package host

import (
	"slices"
	"time"

	"dahliapin/policy"
)

// Actions is what a host can make happen.
type Actions interface {
	Send(id policy.RequestID, to policy.CacheID, giveUpAt policy.Instant)
	Cancel(id policy.RequestID, leg int)
	Reject(id policy.RequestID, comeBack time.Duration)
	Fail(id policy.RequestID)
	Timer(in time.Duration, token string)
	Probe(id policy.CacheID)
	Follow()
}

// Decider is what a host asks: the module, or a baseline that it is measured against.
type Decider interface {
	Where(now policy.Instant, r *policy.Request) policy.Move
	After(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Move
	Wait(now policy.Instant) (time.Duration, []policy.Chore)
	Listed(now policy.Instant, form policy.ListForm, entries []policy.Entry)
	Probed(now policy.Instant, id policy.CacheID, found policy.Result)
	Still(now policy.Instant, r policy.Request, leg int) bool
}

// Gate is a decider that may turn away what has just come, before it is in hand.
type Gate interface {
	Admit(now policy.Instant, r *policy.Request) (m policy.Move, in bool)
}

// Watcher hears what a node does to its caches. It is called within the node's loop and is not to wait.
type Watcher interface {
	// Stands is called at an upkeep for each cache that stands otherwise than at the one before; at first all are in use.
	Stands(now policy.Instant, id policy.CacheID, s policy.Standing)
	Sent(now policy.Instant, id policy.CacheID)
	Ended(now policy.Instant, id policy.CacheID, how policy.Result, took time.Duration)
	Listed(now policy.Instant, form policy.ListForm, entries []policy.Entry)
}

const upkeep = "upkeep" // a token that no request's id can be, being shorter

// Host is one node.
type Host struct {
	router  Decider
	do      Actions
	watcher Watcher // nil for nobody
	hand    map[policy.RequestID]*held
}

type held struct {
	policy.Request
	askAt policy.Instant // when Where is to be called again; 0 for not
}

// New starts a node and its upkeep.
func New(now policy.Instant, seed int64, rules policy.HouseRules, do Actions) *Host {
	return With(now, policy.New(now, seed, rules), do, nil)
}

// With starts a node that asks another decider, or is watched.
func With(now policy.Instant, decider Decider, do Actions, watcher Watcher) *Host {
	h := &Host{router: decider, do: do, watcher: watcher, hand: map[policy.RequestID]*held{}}
	h.upkeep(now)
	return h
}

func (h *Host) upkeep(now policy.Instant) {
	wait, chores := h.router.Wait(now)
	for _, c := range chores {
		switch c.Kind {
		case policy.FollowList:
			h.do.Follow()
		case policy.ProbeCache:
			h.do.Probe(c.Cache)
		}
	}
	if told, ok := h.router.(interface {
		Standings(policy.Instant, func(policy.CacheID, policy.Standing))
	}); ok && h.watcher != nil {
		told.Standings(now, func(id policy.CacheID, s policy.Standing) { h.watcher.Stands(now, id, s) })
	}
	h.do.Timer(wait, upkeep)
}

// Listed passes on news of the list.
func (h *Host) Listed(now policy.Instant, form policy.ListForm, entries []policy.Entry) {
	h.router.Listed(now, form, entries)
	if h.watcher != nil {
		h.watcher.Listed(now, form, entries)
	}
}

// Probed passes on what a probe found.
func (h *Host) Probed(now policy.Instant, id policy.CacheID, found policy.Result) {
	h.router.Probed(now, id, found)
}

// Arrived takes a request in hand; one that is in hand already is left as it is.
func (h *Host) Arrived(now policy.Instant, r *policy.Request) {
	if h.hand[r.ID] != nil {
		return
	}
	in := &held{Request: *r}
	h.hand[r.ID] = in
	if gate, is := h.router.(Gate); is {
		if m, let := gate.Admit(now, &in.Request); !let {
			h.carryOut(now, in, m)
			return
		}
	}
	h.carryOut(now, in, h.router.Where(now, &in.Request))
}

// Still tells whether a leg may go out that has waited for its connection.
func (h *Host) Still(now policy.Instant, id policy.RequestID, leg int) bool {
	in := h.hand[id]
	return in != nil && !in.Over && leg < len(in.Legs) && h.router.Still(now, in.Request, leg)
}

// Ended takes a leg's outcome; one that is not out any more is ignored.
func (h *Host) Ended(now policy.Instant, id policy.RequestID, how policy.Result, over bool,
	o policy.Outcome) {
	in := h.hand[id]
	if in == nil || o.Leg < 0 || o.Leg >= len(in.Legs) || !in.Legs[o.Leg].Out {
		return
	}
	in.Legs[o.Leg].Out, in.Legs[o.Leg].Result = false, how
	in.Over = in.Over || over
	if h.watcher != nil {
		h.watcher.Ended(now, in.Legs[o.Leg].To, how, o.Took)
	}
	h.carryOut(now, in, h.router.After(now, &in.Request, o))
}

// Started tells that an answer has begun to stream: from now on nothing is due for it but its end.
func (h *Host) Started(id policy.RequestID) {
	if in := h.hand[id]; in != nil {
		in.askAt = 0
	}
}

// Hasten has all in hand answered by a time, if not sooner.
func (h *Host) Hasten(now, by policy.Instant) {
	for id, in := range h.hand {
		if in.Deadline <= by {
			continue
		}
		if in.Deadline = by; in.askAt > by {
			in.askAt = by
			h.do.Timer(by.Since(now), string(id))
		}
	}
}

// Left tells that a client has gone.
func (h *Host) Left(now policy.Instant, id policy.RequestID) {
	if in := h.hand[id]; in != nil {
		in.Over = true
		h.drop(in)
	}
}

// Woken answers a timer.
func (h *Host) Woken(now policy.Instant, token string) {
	if token == upkeep {
		h.upkeep(now)
	} else if in := h.hand[policy.RequestID(token)]; in != nil && in.askAt != 0 && now >= in.askAt {
		h.ask(now, in)
	}
}

func (h *Host) ask(now policy.Instant, in *held) {
	in.askAt = 0
	h.carryOut(now, in, h.router.Where(now, &in.Request))
}

func (h *Host) carryOut(now policy.Instant, in *held, m policy.Move) {
	for _, leg := range m.Cancel {
		h.do.Cancel(in.ID, leg)
	}
	switch m.Answer {
	case policy.Reject:
		h.do.Reject(in.ID, m.ComeBack)
		in.Over = true
	case policy.Fail:
		h.do.Fail(in.ID)
		in.Over = true
	}
	for _, to := range m.To {
		h.do.Send(in.ID, to, m.GiveUpAt)
		in.Legs = append(in.Legs, policy.Leg{To: to, Sent: now, Out: true})
		if h.watcher != nil {
			h.watcher.Sent(now, to)
		}
	}
	if m.AskAgain != 0 && !in.Over {
		in.askAt = m.AskAgain
		h.do.Timer(m.AskAgain.Since(now), string(in.ID))
	}
	h.drop(in)
	for _, id := range m.Wake {
		if waiter := h.hand[id]; waiter != nil && !waiter.Over {
			h.ask(now, waiter)
		}
	}
}

// drop forgets a request once it is answered and nothing is out for it.
func (h *Host) drop(in *held) {
	if in.Over && !slices.ContainsFunc(in.Legs, func(l policy.Leg) bool { return l.Out }) {
		delete(h.hand, in.ID)
	}
}
