package world

import (
	"testing"
	"time"

	"dahliapin/policy"
)

const ms = policy.Instant(time.Millisecond)

type countingObserver struct{ effects, fell, rose int }

func (h *countingObserver) Effect(policy.Instant, string, string, int, policy.EndpointID) {
	h.effects++
}
func (h *countingObserver) Fell(policy.Instant, policy.EndpointID, string) { h.fell++ }
func (h *countingObserver) Rose(policy.Instant, policy.EndpointID)         { h.rose++ }

func newTestWorld(h Observer, change func(*CacheTraits)) *World {
	t := CacheTraits{ID: "c1", Cores: 1, Queue: 2, Speed: 1, Keys: 2, Connections: 1, ColdFrom: 0.5, ColdFor: 10 * time.Second,
		FallMultiple: 2, FallFor: 200 * time.Millisecond}
	if change != nil {
		change(&t)
	}
	return New(Plan{Caches: []CacheTraits{t}, Seed: 1, Observer: h, Origin: OriginTraits{Cores: 1, Queue: 99, Work: 4 * time.Millisecond, StallAt: 99, Stall: 1},
		Classes: []Class{{Name: "read", Work: 10 * time.Millisecond}, {Name: "mark", Write: true, Work: 10 * time.Millisecond,
			ServiceClass: policy.ServiceClass{Idempotency: policy.IdempotentByKey, DedupWindow: time.Second}}}})
}

func (w *World) all(until policy.Instant) (ds []Done) {
	for {
		at, any := w.Next()
		if !any || at > until {
			return ds
		}
		w.Advance(at, func(d Done) { ds = append(ds, d) })
	}
}

func job(id, key string) Job { return Job{Request: id, Key: key, Until: 1 << 60} }

// A miss is stored at the cache that missed only once the origin has answered that very request, and what was used
// longest ago gives way.
func TestCacheStoresAMissOnceTheOriginHasAnswered(t *testing.T) {
	w := newTestWorld(&countingObserver{}, nil)
	ask := func(server int, id, key string) Reply {
		w.Offer(w.now, server, job(id, key))
		return w.all(w.now.Add(time.Second))[0].Reply
	}
	for _, c := range []struct {
		server  int
		id, key string
		want    Reply
	}{{0, "a", "k", Miss}, {1, "x", "k", Value}, {0, "b", "k", Miss}, {1, "a", "k", Value}, {0, "c", "k", Value}, {0, "d", "l", Miss},
		{1, "d", "l", Value}, {0, "e", "m", Miss}, {1, "e", "m", Value}, {0, "f", "k", Miss}, {0, "g", "m", Value}} {
		if got := ask(c.server, c.id, c.key); got != c.want {
			t.Errorf("%+v: said %v", c, got)
		}
	}
}

// Slowing, pausing and crowding stretch what already runs, too: else a long job would hide a trouble.
func TestFaultsStretchRunningJobs(t *testing.T) {
	for name, c := range map[string]struct {
		do    func(w *World)
		times float64
	}{"nothing": {func(*World) {}, 1}, "slow": {func(w *World) { w.Slow(0, 0, 4) }, 4}, "crowd": {func(w *World) { w.TakeCores(0, 0, 0.75) }, 4},
		"slow and over": {func(w *World) { w.Slow(0, 0, 4); w.Slow(0, 0, 1) }, 1}, "pause": {func(w *World) { w.Pause(0, 0, time.Hour) }, 1e5}} {
		plain, troubled := newTestWorld(&countingObserver{}, nil), newTestWorld(&countingObserver{}, nil)
		plain.Offer(0, 0, job("a", "k"))
		troubled.Offer(0, 0, job("a", "k"))
		c.do(troubled)
		usual, _ := plain.Next()
		var ends policy.Instant
		troubled.Advance(1<<60, func(Done) { ends = troubled.now })
		if got := float64(ends) / float64(usual); got < c.times*0.999 || c.times < 1e5 && got > c.times*1.001 {
			t.Errorf("%s: %v times as long", name, got)
		}
	}
}

// The queue's bound, a full connection table, and what nobody waits for any more.
func TestCacheRejectsBeyondItsCapacity(t *testing.T) {
	w := newTestWorld(&countingObserver{}, nil)
	for i, want := range []bool{true, true, true, false} { // one runs, two wait
		j := job("a", "k")
		j.Tag = uint64(i)
		if d, ok := w.Offer(0, 0, j); ok != want || !ok && d.Reply != Busy {
			t.Errorf("job %d: %v %v", i, ok, d.Reply)
		}
	}
	w.Withdraw(0, 0, 2)
	if n := len(w.all(1 << 60)); n != 2 {
		t.Errorf("%d ended, one of three was called off", n)
	}
	if _, ok := w.Offer(5, 0, Job{Key: "k", Until: 5}); ok {
		t.Error("took what is over")
	}
	if w.Servers[0].OpenConnections = 1; w.Connect(0, 0) {
		t.Error("took a connection too many")
	}
	w.Kill(9, 0)
	if w.Servers[0].OpenConnections = 0; w.Connect(9, 0) {
		t.Error("took one while down")
	}
}

// A repeat within the window has no effect and the same receipt; beyond it, or under another label, it has.
func TestIdempotencyKeysHoldForTheirWindow(t *testing.T) {
	h := &countingObserver{}
	w := newTestWorld(h, nil)
	write := func(at policy.Instant, label string) string {
		w.Offer(at, 1, Job{Request: "r", Key: "k", Label: label, Class: 1, Until: 1 << 60})
		return w.all(1 << 60)[0].Text
	}
	first := write(0, "l")
	if again := write(500*ms, "l"); again != first || h.effects != 1 {
		t.Errorf("within: %q after %q, %d effects", again, first, h.effects)
	}
	if write(600*ms, "m"); h.effects != 2 {
		t.Error("another label has no effect")
	}
	if write(1900*ms, "l"); h.effects != 3 {
		t.Error("beyond the window it has no effect")
	}
}

// Which caches drop the same repeats is the grade's scope: all, those of a zone, or those of a group.
func TestDeduplicationScopes(t *testing.T) {
	for scope, effects := range map[policy.DedupScope]int{policy.AllCaches: 1, policy.SameZone: 2, policy.SameGroup: 3} {
		h := &countingObserver{}
		var ts []CacheTraits
		for n, at := range []struct {
			z policy.ZoneID
			g policy.GroupID
		}{{"a", 1}, {"a", 1}, {"a", 2}, {"b", 3}} {
			ts = append(ts, CacheTraits{ID: policy.EndpointID(rune('a' + n)), Zone: at.z, Group: at.g, Cores: 1, Queue: 9, Speed: 1, Keys: 1})
		}
		w := New(Plan{Mode: Through, Caches: ts, Observer: h, Classes: []Class{{Write: true, Work: time.Millisecond,
			ServiceClass: policy.ServiceClass{Idempotency: policy.IdempotentByKey, DedupScope: scope, DedupWindow: time.Second}}}})
		for n := range ts {
			w.Offer(0, n, Job{Request: "r", Label: "l", Until: 1 << 60})
		}
		if w.all(1 << 60); h.effects != effects {
			t.Errorf("scope %v: %d effects, want %d", scope, h.effects, effects)
		}
	}
}

// Only a cold cache falls, only when asked for a multiple of what it can do for a time, and it comes back.
func TestOnlyAnOverloadedColdCacheFallsOver(t *testing.T) {
	push := func(cold bool, every time.Duration) *countingObserver {
		h := &countingObserver{}
		w := newTestWorld(h, nil)
		if cold {
			w.Start(1, 0)
		}
		for at := policy.Instant(1); at < 2000*ms; at = at.Add(every) {
			w.Offer(at, 0, job("a", "k"))
			w.Advance(at, func(Done) {})
		}
		w.all(9000 * ms)
		return h
	}
	if h := push(true, 2*time.Millisecond); h.fell != 1 || h.rose != 1 {
		t.Errorf("pushed while cold: %+v", h)
	}
	if h := push(true, 20*time.Millisecond); h.fell != 0 {
		t.Error("fell at what it can do")
	}
	if h := push(false, 2*time.Millisecond); h.fell != 0 {
		t.Error("a warm one fell")
	}
}

// Arrivals are open loop at the stated rate, and clients repeat only what is harmless.
func TestTrafficFollowsItsPlan(t *testing.T) {
	p := TrafficPlan{PerSecond: 1000, Keys: 100, Zipf: 1, Seed: 3, Classes: []Class{{Name: "read", Share: 3, Tries: 2,
		ServiceClass: policy.ServiceClass{Idempotency: policy.Idempotent}}, {Name: "pay", Share: 1, Tries: 9, Write: true}}}
	tr := NewTraffic(p)
	tr.SetHotKey("hot", 0.5)
	n, reads, hot := 0, 0, 0
	for at := tr.Next(0); at < policy.Instant(10*time.Second); at = tr.Next(at) {
		r := tr.Draw(at)
		if n++; r.Class == 0 {
			reads++
		}
		if r.Key == "hot" {
			hot++
		}
		if _, _, ok := tr.Retry(at, r, false, 0); ok != (r.Class == 0) {
			t.Fatal("repeats after a failure", r.Class, ok)
		}
		again, _, _ := tr.Retry(at, r, true, time.Second)
		if _, _, ok := tr.Retry(at, again, true, 0); ok != (r.Class == 1) || again.ID == r.ID || again.Sent < at.Add(time.Second) {
			t.Fatal("repeats after a rejection", r.Class, ok)
		}
	}
	if n < 9700 || n > 10300 || reads < 7300 || reads > 7700 || hot < 3500 || hot > 4000 {
		t.Error(n, reads, hot)
	}
}

// A discovery that is overbooked must stay so while all go on asking, and come back once they ask seldom; or no
// rehearsal of a herd would tell a node that spreads its calls from one that does not.
func TestOverloadedRegistryRecoversOnlyWhenPolledLess(t *testing.T) {
	for every, most := range map[policy.Instant]int{ms / 2: 0, 20 * ms: 50} {
		g, taken := Registry{CompleteWork: 20 * time.Millisecond, UpdateWork: 2 * time.Millisecond, Backlog: 100 * time.Millisecond}, 0
		for at := policy.Instant(0); at < 2000*ms; at += every {
			if _, ok := g.Poll(at, at < 20*ms); ok && at >= 1000*ms {
				taken++
			}
		}
		if taken > most || taken < most-1 {
			t.Errorf("asked each %v: %d calls taken in the last second", time.Duration(every), taken)
		}
	}
}

// Clients that wait less do so by the try's id: all else is drawn as without them.
func TestShortClientTimeoutsChangeNothingElse(t *testing.T) {
	grades := []Class{{Share: 1, Deadline: time.Second, Tries: 2}}
	plain := NewTraffic(TrafficPlan{PerSecond: 100, Keys: 100, Classes: grades, Seed: 3})
	hasty := NewTraffic(TrafficPlan{PerSecond: 100, Keys: 100, Classes: grades, Seed: 3, Short: 0.25, ShortMost: 200 * time.Millisecond})
	short := 0
	for range 2000 {
		a, b := plain.Draw(0), hasty.Draw(0)
		switch {
		case a.Deadline != time.Second || a.ID != b.ID || a.Key != b.Key:
			t.Fatalf("%v and %v", a, b)
		case b.Deadline >= 100*time.Millisecond && b.Deadline <= 200*time.Millisecond:
			short++
		case b.Deadline != time.Second:
			t.Fatalf("one waits %v", b.Deadline)
		}
	}
	if short < 400 || short > 600 {
		t.Errorf("%d of 2000 wait less, about 500 should", short)
	}
	first := hasty.Draw(0)
	if again, _, ok := hasty.Retry(0, first, true, 0); !ok || again.Deadline > time.Second {
		t.Errorf("the second try waits %v", again.Deadline)
	}
}
