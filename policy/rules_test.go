package policy

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// FuzzRules plays generated days and holds every move against the plain model.
func FuzzRules(f *testing.F) {
	for seed := range int64(40) {
		steps := make([]byte, 400)
		rand.New(rand.NewSource(seed)).Read(steps)
		f.Add(seed%2 == 0, seed%3 != 0, steps)
	}
	f.Fuzz(func(t *testing.T, aside, copies bool, steps []byte) {
		rules := testRules()
		rules.CacheAside, rules.HedgingAllowed, rules.HealthChecksAllowed = aside, copies, copies
		w := newWorld(t, rules, fleet(9, aside))
		for i := 0; i+1 < len(steps) && i < 1000; i += 2 {
			a, b := steps[i], int(steps[i+1])
			switch {
			case a < 100:
				w.arrive(fmt.Sprint("key", b%7), ClassID(b%6)-1, b%3 == 0)
			case a < 190:
				w.someOutcome(b)
			case a < 205:
				id := EndpointID(fmt.Sprintf("cache-%d", b%12))
				w.list(DeltaUpdate, Endpoint{ID: id, Lifecycle: Lifecycle(b / 12 % 3), StartedAt: w.now, Zone: "here", Group: GroupID(b % 2)})
			case a < 208:
				w.list(PollFailed)
			default:
				w.pass(time.Duration(b%60) * ms)
			}
		}
		w.pass(time.Second)
		for _, r := range w.hand {
			if !r.Finished {
				t.Fatalf("%v was lost", r.ID)
			}
		}
	})
}

func (w *world) someOutcome(pick int) {
	for i := range w.hand {
		r := w.hand[(i+pick)%len(w.hand)]
		for leg := range r.Attempts {
			if r.Attempts[leg].InFlight {
				w.end(r, leg, Result(pick%9))
				return
			}
		}
	}
}

// FuzzLawful asks the module and the plain model what is allowed, in states that a day might never reach.
func FuzzLawful(f *testing.F) {
	for seed := range int64(300) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		rnd := rand.New(rand.NewSource(seed))
		rules := testRules()
		rules.HedgingAllowed, rules.MaxAttempts = rnd.Intn(2) == 0, 1+rnd.Intn(4)
		rules.Classes[1].DedupWindow, rules.Classes[3].DedupScope = 400*ms, DedupScope(rnd.Intn(3))
		w := newWorld(t, rules, fleet(6, false))
		r := &Request{Class: ClassID(rnd.Intn(6) - 1), Deadline: Instant(800 * ms), Finished: rnd.Intn(9) == 0}
		w.p.meet(0, r)
		for range rnd.Intn(4) {
			r.Attempts = append(r.Attempts, Attempt{Endpoint: EndpointID(fmt.Sprintf("cache-%d", rnd.Intn(6))), SentAt: Instant(rnd.Intn(300)) * Instant(ms),
				InFlight: rnd.Intn(4) == 0, Result: Result(rnd.Intn(9))})
		}
		w.now = Instant(300+rnd.Intn(400)) * Instant(ms)
		e := w.state["cache-1"]
		e.Lifecycle = Lifecycle(rnd.Intn(2))
		w.list(DeltaUpdate, e)
		got, want := w.p.lawful(w.now, r, w.p.caches["cache-1"]), plainAllowed(rules, w.state, w.now, r, "cache-1")
		if got && !want {
			t.Errorf("at %v a leg to %v is not allowed: %+v", w.now, e, r)
		}
		// The module may be stricter only by the rounds it keeps in hand before a limit.
		later := w.now.Add(2 * rules.TickInterval)
		if want && !got && plainAllowed(rules, w.state, later, r, "cache-1") && later < r.Deadline {
			t.Errorf("at %v a leg to %v is allowed: %+v", w.now, e, r)
		}
		if m := w.p.giveUp(r); !plainAnswer(rules, r, m.Answer) || m.Answer == Fail && plainAnswer(rules, r, Reject) {
			t.Errorf("giving up with %v: %+v", m, r)
		}
	})
}
