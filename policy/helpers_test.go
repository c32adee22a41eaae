package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func testRules() Settings {
	return Settings{
		Classes: []ServiceClass{
			{PriorityWeight: 1, LatencyObjective: 300 * ms, Idempotency: Idempotent},
			{PriorityWeight: 5, LatencyObjective: 250 * ms, Idempotency: IdempotentByKey, DedupScope: AllCaches, DedupWindow: 600 * ms},
			{PriorityWeight: 10, LatencyObjective: 250 * ms, Idempotency: NotIdempotent},
			{PriorityWeight: 2, LatencyObjective: 250 * ms, Idempotency: IdempotentByKey, DedupScope: SameGroup, DedupWindow: 600 * ms},
		},
		Zone: "here", Nodes: 1, OriginKind: 9, MaxAttempts: 4, HedgingAllowed: true, CancelAllowed: true, TickInterval: 5 * ms,
		MaxRetryAfter: time.Second, PollInterval: 10 * time.Second, SlowStartShare: 0.3, SlowStartDuration: 8 * time.Second,
		InFlightColumn: -1, QueueColumn: -1,
	}
}

func fleet(n int, aside bool) (es []Endpoint) {
	for i := range n {
		es = append(es, Endpoint{ID: EndpointID(fmt.Sprintf("cache-%d", i)), Zone: "here", Group: GroupID(i % 2), Weight: 1})
	}
	if aside {
		es = append(es, Endpoint{ID: "origin", Kind: 9, Zone: "here", Weight: 1})
	}
	return es
}

// world does for a Router what a host does, and holds each move against a plain model of the rules.
type world struct {
	t     *testing.T
	p     *Router
	rules Settings
	now   Instant
	state map[EndpointID]Endpoint
	hand  []*Request
	due   map[*Request]Instant
	stop  map[*Request]Instant // when its legs time out
	says  []float64            // what caches report
}

func newWorld(t *testing.T, rules Settings, es []Endpoint) *world {
	w := &world{t: t, p: New(0, 1, rules), rules: rules, state: map[EndpointID]Endpoint{}, due: map[*Request]Instant{},
		stop: map[*Request]Instant{}}
	w.list(LastKnownUpdate, es...)
	return w
}

func (w *world) list(form UpdateKind, es ...Endpoint) {
	for _, e := range es {
		w.state[e.ID] = e
	}
	w.p.UpdateEndpoints(w.now, form, es)
}

func (w *world) arrive(key string, grade ClassID, write bool) (*Request, Decision) {
	r := &Request{ID: RequestID(fmt.Sprint("r", len(w.hand))), Key: key, Class: grade, Write: write, ArrivedAt: w.now,
		Deadline: w.now.Add(800 * ms)}
	w.hand = append(w.hand, r)
	return r, w.apply(r, w.p.Route(w.now, r))
}

func (w *world) end(r *Request, leg int, how Result) Decision {
	r.Attempts[leg].InFlight, r.Attempts[leg].Result = false, how
	r.Finished = r.Finished || how == Answered
	return w.apply(r, w.p.OnAttemptDone(w.now, r, Outcome{Attempt: leg, Latency: w.now.Since(r.Attempts[leg].SentAt), LoadReport: w.says}))
}

// drive lets requests arrive, one after the other; how a first leg ends is asked, and no other is made. It
// counts them by cache and in all.
func (w *world) drive(n int, every time.Duration, key func(int) string, how func(int, EndpointID) Result) (to map[EndpointID]int, all int) {
	to = map[EndpointID]int{}
	for i := range n {
		r, m := w.arrive(key(i), 0, false)
		if w.pass(every); len(m.SendTo) == 0 {
			continue
		}
		to[m.SendTo[0]], all = to[m.SendTo[0]]+1, all+1
		if r.Finished = true; r.Attempts[0].InFlight {
			w.end(r, 0, how(i, m.SendTo[0]))
		}
	}
	return to, all
}

func oneKey(int) string   { return "k" }
func anyKey(i int) string { return fmt.Sprint("key", i) }
func always(how Result) func(int, EndpointID) Result {
	return func(int, EndpointID) Result { return how }
}

func (w *world) apply(r *Request, m Decision) Decision {
	delete(w.due, r)
	if m.Answer != NoAnswer {
		if !plainAnswer(w.rules, r, m.Answer) || r.Finished {
			w.t.Fatalf("%v: answer %v after legs %v is not allowed", w.now, m.Answer, r.Attempts)
		}
		r.Finished = true
	}
	for _, to := range m.SendTo {
		if !plainAllowed(w.rules, w.state, w.now, r, to) {
			w.t.Fatalf("%v: a leg to %v after legs %v is not allowed", w.now, to, r.Attempts)
		}
		r.Attempts = append(r.Attempts, Attempt{Endpoint: to, SentAt: w.now, InFlight: true})
		w.stop[r] = m.AttemptDeadline
	}
	if m.ReviewAt != 0 {
		w.due[r] = m.ReviewAt
	}
	for _, i := range m.Cancel {
		if r.Attempts[i].InFlight {
			w.end(r, i, Cancelled)
		}
	}
	for _, id := range m.Wake {
		if i := slices.IndexFunc(w.hand, func(q *Request) bool { return q.ID == id }); i >= 0 && !w.hand[i].Finished {
			w.apply(w.hand[i], w.p.Route(w.now, w.hand[i]))
		}
	}
	return m
}

// pass lets time go by in rounds: what is due is asked, legs time out, and nothing may be open at its hard
// stop.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(w.rules.TickInterval)
		if w.now%Instant(upkeepEvery) == 0 {
			w.p.Tick(w.now)
		}
		for _, r := range w.hand {
			for i := range r.Attempts {
				if r.Attempts[i].InFlight && w.now >= w.stop[r] {
					w.end(r, i, TimedOut)
				}
			}
			if at, ok := w.due[r]; ok && w.now >= at && !r.Finished {
				w.apply(r, w.p.Route(w.now, r))
			}
			if !r.Finished && w.now >= r.Deadline {
				w.t.Fatalf("%v: %v has no answer at its deadline, legs %v", w.now, r.ID, r.Attempts)
			}
		}
	}
}

func mayHaveRun(l Attempt) bool {
	return l.InFlight || !slices.Contains([]Result{Rejected, ConnectFailed, NotSent, CacheMiss}, l.Result)
}

func gradeOf(h Settings, r *Request) ServiceClass {
	if r.Class >= 0 && int(r.Class) < len(h.Classes) {
		return h.Classes[r.Class]
	}
	return ServiceClass{}
}

// plainAllowed is the plain model of what may be sent: slow, and with nothing taken from the module.
func plainAllowed(h Settings, state map[EndpointID]Endpoint, now Instant, r *Request, to EndpointID) bool {
	e, listed := state[to]
	if r.Finished || !listed || e.Lifecycle != Ready || len(r.Attempts) >= h.MaxAttempts || now >= r.Deadline {
		return false
	}
	if h.CacheAside && r.Write && e.Kind != h.OriginKind { // caches only store
		return false
	}
	g := gradeOf(h, r)
	for _, l := range r.Attempts {
		if l.InFlight && !h.HedgingAllowed {
			return false
		}
		if !mayHaveRun(l) || g.Idempotency == Idempotent {
			continue
		}
		was := state[l.Endpoint]
		same := g.DedupScope == AllCaches || g.DedupScope == SameZone && was.Zone == e.Zone || g.DedupScope == SameGroup && was.Group == e.Group
		if g.Idempotency == NotIdempotent || !same || now-l.SentAt >= Instant(g.DedupWindow) {
			return false
		}
	}
	return true
}

// plainAnswer is the plain model of rejections: only where a retry is sure to do no harm.
func plainAnswer(h Settings, r *Request, a FinalAnswer) bool {
	g := gradeOf(h, r)
	return a == Fail || g.Idempotency == Idempotent || g.Idempotency == IdempotentByKey && g.DedupScope == AllCaches ||
		!slices.ContainsFunc(r.Attempts, mayHaveRun)
}
