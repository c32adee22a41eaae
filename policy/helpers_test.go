package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func testRules() HouseRules {
	return HouseRules{
		Grades: []Grade{
			{Benefit: 1, SoftLimit: 300 * ms, Effect: Idempotent},
			{Benefit: 5, SoftLimit: 250 * ms, Effect: Labelled, Scope: AllCaches, Window: 600 * ms},
			{Benefit: 10, SoftLimit: 250 * ms, Effect: Irreversible},
			{Benefit: 2, SoftLimit: 250 * ms, Effect: Labelled, Scope: SameGroup, Window: 600 * ms},
		},
		Zone: "here", Nodes: 1, OriginKind: 9, MostLegs: 4, SecondCopies: true, MayCancel: true, Round: 5 * ms,
		MaxComeBack: time.Second, AskWithin: 10 * time.Second, ColdFrom: 0.3, ColdFor: 8 * time.Second,
		InFlightAt: -1, WaitingAt: -1,
	}
}

func fleet(n int, aside bool) (es []Entry) {
	for i := range n {
		es = append(es, Entry{ID: CacheID(fmt.Sprintf("cache-%d", i)), Zone: "here", Group: GroupID(i % 2), Weight: 1})
	}
	if aside {
		es = append(es, Entry{ID: "origin", Kind: 9, Zone: "here", Weight: 1})
	}
	return es
}

// world does for a Router what a host does, and holds each move against a plain model of the rules.
type world struct {
	t     *testing.T
	p     *Router
	rules HouseRules
	now   Instant
	state map[CacheID]Entry
	hand  []*Request
	due   map[*Request]Instant
	stop  map[*Request]Instant // when its legs time out
	says  []float64            // what caches report
}

func newWorld(t *testing.T, rules HouseRules, es []Entry) *world {
	w := &world{t: t, p: New(0, 1, rules), rules: rules, state: map[CacheID]Entry{}, due: map[*Request]Instant{},
		stop: map[*Request]Instant{}}
	w.list(LastHeld, es...)
	return w
}

func (w *world) list(form ListForm, es ...Entry) {
	for _, e := range es {
		w.state[e.ID] = e
	}
	w.p.Listed(w.now, form, es)
}

func (w *world) arrive(key string, grade GradeID, write bool) (*Request, Move) {
	r := &Request{ID: RequestID(fmt.Sprint("r", len(w.hand))), Key: key, Grade: grade, Write: write, Arrived: w.now,
		Deadline: w.now.Add(800 * ms)}
	w.hand = append(w.hand, r)
	return r, w.apply(r, w.p.Where(w.now, r))
}

func (w *world) end(r *Request, leg int, how Result) Move {
	r.Legs[leg].Out, r.Legs[leg].Result = false, how
	r.Over = r.Over || how == Answered
	return w.apply(r, w.p.After(w.now, r, Outcome{Leg: leg, Took: w.now.Since(r.Legs[leg].Sent), Report: w.says}))
}

// drive lets requests arrive, one after the other; how a first leg ends is asked, and no other is made. It
// counts them by cache and in all.
func (w *world) drive(n int, every time.Duration, key func(int) string, how func(int, CacheID) Result) (to map[CacheID]int, all int) {
	to = map[CacheID]int{}
	for i := range n {
		r, m := w.arrive(key(i), 0, false)
		if w.pass(every); len(m.To) == 0 {
			continue
		}
		to[m.To[0]], all = to[m.To[0]]+1, all+1
		if r.Over = true; r.Legs[0].Out {
			w.end(r, 0, how(i, m.To[0]))
		}
	}
	return to, all
}

func oneKey(int) string                           { return "k" }
func anyKey(i int) string                         { return fmt.Sprint("key", i) }
func always(how Result) func(int, CacheID) Result { return func(int, CacheID) Result { return how } }

func (w *world) apply(r *Request, m Move) Move {
	delete(w.due, r)
	if m.Answer != Nothing {
		if !plainAnswer(w.rules, r, m.Answer) || r.Over {
			w.t.Fatalf("%v: answer %v after legs %v is not allowed", w.now, m.Answer, r.Legs)
		}
		r.Over = true
	}
	for _, to := range m.To {
		if !plainAllowed(w.rules, w.state, w.now, r, to) {
			w.t.Fatalf("%v: a leg to %v after legs %v is not allowed", w.now, to, r.Legs)
		}
		r.Legs = append(r.Legs, Leg{To: to, Sent: w.now, Out: true})
		w.stop[r] = m.GiveUpAt
	}
	if m.AskAgain != 0 {
		w.due[r] = m.AskAgain
	}
	for _, i := range m.Cancel {
		if r.Legs[i].Out {
			w.end(r, i, Cancelled)
		}
	}
	for _, id := range m.Wake {
		if i := slices.IndexFunc(w.hand, func(q *Request) bool { return q.ID == id }); i >= 0 && !w.hand[i].Over {
			w.apply(w.hand[i], w.p.Where(w.now, w.hand[i]))
		}
	}
	return m
}

// pass lets time go by in rounds: what is due is asked, legs time out, and nothing may be open at its hard
// stop.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(w.rules.Round)
		if w.now%Instant(upkeepEvery) == 0 {
			w.p.Wait(w.now)
		}
		for _, r := range w.hand {
			for i := range r.Legs {
				if r.Legs[i].Out && w.now >= w.stop[r] {
					w.end(r, i, TimedOut)
				}
			}
			if at, ok := w.due[r]; ok && w.now >= at && !r.Over {
				w.apply(r, w.p.Where(w.now, r))
			}
			if !r.Over && w.now >= r.Deadline {
				w.t.Fatalf("%v: %v has no answer at its deadline, legs %v", w.now, r.ID, r.Legs)
			}
		}
	}
}

func mayHaveRun(l Leg) bool {
	return l.Out || !slices.Contains([]Result{TurnedAway, Unconnected, NeverSent, Missed}, l.Result)
}

func gradeOf(h HouseRules, r *Request) Grade {
	if r.Grade >= 0 && int(r.Grade) < len(h.Grades) {
		return h.Grades[r.Grade]
	}
	return Grade{}
}

// plainAllowed is the plain model of what may be sent: slow, and with nothing taken from the module.
func plainAllowed(h HouseRules, state map[CacheID]Entry, now Instant, r *Request, to CacheID) bool {
	e, listed := state[to]
	if r.Over || !listed || e.State != Ready || len(r.Legs) >= h.MostLegs || now >= r.Deadline {
		return false
	}
	if h.Aside && r.Write && e.Kind != h.OriginKind { // caches only store
		return false
	}
	g := gradeOf(h, r)
	for _, l := range r.Legs {
		if l.Out && !h.SecondCopies {
			return false
		}
		if !mayHaveRun(l) || g.Effect == Idempotent {
			continue
		}
		was := state[l.To]
		same := g.Scope == AllCaches || g.Scope == SameZone && was.Zone == e.Zone || g.Scope == SameGroup && was.Group == e.Group
		if g.Effect == Irreversible || !same || now-l.Sent >= Instant(g.Window) {
			return false
		}
	}
	return true
}

// plainAnswer is the plain model of rejections: only where a retry is sure to do no harm.
func plainAnswer(h HouseRules, r *Request, a Answer) bool {
	g := gradeOf(h, r)
	return a == Fail || g.Effect == Idempotent || g.Effect == Labelled && g.Scope == AllCaches ||
		!slices.ContainsFunc(r.Legs, mayHaveRun)
}
