// Package host keeps one node's timers and retrievals in hand and carries out what its policy.Router says.
// It decides nothing, and two hosts share nothing.
package host

import (
	"slices"
	"time"

	"dahliapin/policy"
)

// Actions is what a host can make happen.
type Actions interface {
	Send(id policy.RetrievalID, to policy.CacheID, giveUpAt policy.Instant)
	Cancel(id policy.RetrievalID, leg int)
	Dismiss(id policy.RetrievalID, comeBack time.Duration)
	Scrap(id policy.RetrievalID)
	Timer(in time.Duration, token string)
	Probe(id policy.CacheID)
	Follow()
}

const upkeep = "upkeep" // a token that no retrieval's id can be, being shorter

// Host is one node.
type Host struct {
	router *policy.Router
	do     Actions
	hand   map[policy.RetrievalID]*held
}

type held struct {
	policy.Retrieval
	askAt policy.Instant // when Where is to be called again; 0 for not
}

// New starts a node and its upkeep.
func New(now policy.Instant, seed int64, rules policy.HouseRules, do Actions) *Host {
	h := &Host{router: policy.New(now, seed, rules), do: do, hand: map[policy.RetrievalID]*held{}}
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
	h.do.Timer(wait, upkeep)
}

// Listed passes on news of the list.
func (h *Host) Listed(now policy.Instant, form policy.ListForm, entries []policy.Entry) {
	h.router.Listed(now, form, entries)
}

// Probed passes on what a probe found.
func (h *Host) Probed(now policy.Instant, id policy.CacheID, found policy.Result) {
	h.router.Probed(now, id, found)
}

// Arrived takes a retrieval in hand; one that is in hand already is left as it is.
func (h *Host) Arrived(now policy.Instant, r *policy.Retrieval) {
	if h.hand[r.ID] != nil {
		return
	}
	in := &held{Retrieval: *r}
	h.hand[r.ID] = in
	h.carryOut(now, in, h.router.Where(now, &in.Retrieval))
}

// Ended takes a leg's outcome; one that is not out any more is ignored.
func (h *Host) Ended(now policy.Instant, id policy.RetrievalID, how policy.Result, over bool,
	o policy.Outcome) {
	in := h.hand[id]
	if in == nil || o.Leg < 0 || o.Leg >= len(in.Legs) || !in.Legs[o.Leg].Out {
		return
	}
	in.Legs[o.Leg].Out, in.Legs[o.Leg].Result = false, how
	in.Over = in.Over || over
	h.carryOut(now, in, h.router.After(now, &in.Retrieval, o))
}

// Started tells that an answer has begun to stream: from now on nothing is due for it but its end.
func (h *Host) Started(id policy.RetrievalID) {
	if in := h.hand[id]; in != nil {
		in.askAt = 0
	}
}

// Left tells that a client has gone.
func (h *Host) Left(now policy.Instant, id policy.RetrievalID) {
	if in := h.hand[id]; in != nil {
		in.Over = true
		h.drop(in)
	}
}

// Woken answers a timer.
func (h *Host) Woken(now policy.Instant, token string) {
	if token == upkeep {
		h.upkeep(now)
	} else if in := h.hand[policy.RetrievalID(token)]; in != nil && in.askAt != 0 && now >= in.askAt {
		h.ask(now, in)
	}
}

func (h *Host) ask(now policy.Instant, in *held) {
	in.askAt = 0
	h.carryOut(now, in, h.router.Where(now, &in.Retrieval))
}

func (h *Host) carryOut(now policy.Instant, in *held, m policy.Move) {
	for _, leg := range m.Cancel {
		h.do.Cancel(in.ID, leg)
	}
	switch m.Answer {
	case policy.Dismiss:
		h.do.Dismiss(in.ID, m.ComeBack)
		in.Over = true
	case policy.Scrap:
		h.do.Scrap(in.ID)
		in.Over = true
	}
	for _, to := range m.To {
		h.do.Send(in.ID, to, m.GiveUpAt)
		in.Legs = append(in.Legs, policy.Leg{To: to, Sent: now, Out: true})
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

// drop forgets a retrieval once it is answered and nothing is out for it.
func (h *Host) drop(in *held) {
	if in.Over && !slices.ContainsFunc(in.Legs, func(l policy.Leg) bool { return l.Out }) {
		delete(h.hand, in.ID)
	}
}
