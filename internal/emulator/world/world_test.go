package world

import (
	"slices"
	"testing"
	"time"

	"dahliapin/policy"
)

const ms = policy.Instant(time.Millisecond)

type countingObserver struct{ effects, overloads, recoveries int }

func (o *countingObserver) Effect(policy.Instant, string, string, int, policy.EndpointID) {
	o.effects++
}
func (o *countingObserver) ServerOverloaded(policy.Instant, policy.EndpointID, Overload) {
	o.overloads++
}
func (o *countingObserver) ServerRecovered(policy.Instant, policy.EndpointID) { o.recoveries++ }

func newTestWorld(observer Observer, change func(*CacheTraits)) *World {
	t := CacheTraits{
		ID:           "c1",
		Cores:        1,
		Queue:        2,
		Speed:        1,
		Keys:         2,
		Connections:  1,
		ColdFrom:     0.5,
		ColdFor:      10 * time.Second,
		FallMultiple: 2,
		FallFor:      200 * time.Millisecond,
	}
	if change != nil {
		change(&t)
	}
	byKey := policy.ServiceClass{Idempotency: policy.IdempotentByKey, DedupWindow: time.Second}
	return New(Plan{
		Caches:   []CacheTraits{t},
		Seed:     1,
		Observer: observer,
		Origin:   OriginTraits{Cores: 1, Queue: 99, Work: 4 * time.Millisecond, StallAt: 99, Stall: 1},
		Classes: []Class{
			{Name: "read", Work: 10 * time.Millisecond},
			{Name: "mark", Write: true, Work: 10 * time.Millisecond, ServiceClass: byKey},
		},
	})
}

func (w *World) runUntil(until policy.Instant) (ds []Done) {
	for {
		at, any := w.Next()
		if !any || at > until {
			return ds
		}
		w.Advance(at, func(d Done) { ds = append(ds, d) })
	}
}

func testJob(id, key string) Job { return Job{Request: id, Key: key, Until: 1 << 60} }

// A key is stored at the cache that missed it only after the origin has answered the same request. The least recently
// used key is evicted.
func TestCacheStoresAMissOnceTheOriginHasAnswered(t *testing.T) {
	const cache, origin = 0, 1
	w := newTestWorld(&countingObserver{}, nil)
	ask := func(server int, id, key string) Reply {
		w.Offer(w.now, server, testJob(id, key))
		return w.runUntil(w.now.Add(time.Second))[0].Reply
	}
	for _, c := range []struct {
		server  int
		id, key string
		want    Reply
	}{
		{server: cache, id: "a", key: "k", want: Miss},
		{server: origin, id: "x", key: "k", want: Value},
		{server: cache, id: "b", key: "k", want: Miss},
		{server: origin, id: "a", key: "k", want: Value},
		{server: cache, id: "c", key: "k", want: Value},
		{server: cache, id: "d", key: "l", want: Miss},
		{server: origin, id: "d", key: "l", want: Value},
		{server: cache, id: "e", key: "m", want: Miss},
		{server: origin, id: "e", key: "m", want: Value},
		{server: cache, id: "f", key: "k", want: Miss},
		{server: cache, id: "g", key: "m", want: Value},
	} {
		if got := ask(c.server, c.id, c.key); got != c.want {
			t.Errorf("%+v: got reply %v", c, got)
		}
	}
}

// A fault also delays jobs that are already running at the server; otherwise a long job would hide the fault.
func TestFaultsStretchRunningJobs(t *testing.T) {
	for name, c := range map[string]struct {
		do    func(w *World)
		times float64
	}{
		"no fault":    {do: func(*World) {}, times: 1},
		"slow":        {do: func(w *World) { w.Slow(0, 0, 4) }, times: 4},
		"cores taken": {do: func(w *World) { w.TakeCores(0, 0, 0.75) }, times: 4},
		"slow and restored": {do: func(w *World) {
			w.Slow(0, 0, 4)
			w.Slow(0, 0, 1)
		}, times: 1},
		"paused": {do: func(w *World) { w.Pause(0, 0, time.Hour) }, times: 1e5},
	} {
		plain := newTestWorld(&countingObserver{}, nil)
		faulty := newTestWorld(&countingObserver{}, nil)
		plain.Offer(0, 0, testJob("a", "k"))
		faulty.Offer(0, 0, testJob("a", "k"))
		c.do(faulty)
		usual, _ := plain.Next()
		var ends policy.Instant
		faulty.Advance(1<<60, func(Done) { ends = faulty.now })
		if got := float64(ends) / float64(usual); got < c.times*0.999 || c.times < 1e5 && got > c.times*1.001 {
			t.Errorf("%s: the job takes %v times as long", name, got)
		}
	}
}

// A cache rejects jobs beyond its queue, connections beyond its limit, and jobs whose deadline has passed.
func TestCacheRejectsBeyondItsCapacity(t *testing.T) {
	w := newTestWorld(&countingObserver{}, nil)
	for i, want := range []bool{true, true, true, false} { // one runs, two wait
		j := testJob("a", "k")
		j.Tag = uint64(i)
		if d, ok := w.Offer(0, 0, j); ok != want || !ok && d.Reply != Busy {
			t.Errorf("job %d: %v %v", i, ok, d.Reply)
		}
	}
	w.Withdraw(0, 0, 2)
	if n := len(w.runUntil(1 << 60)); n != 2 {
		t.Errorf("%d jobs ended, want 2: one of three was withdrawn", n)
	}
	if _, ok := w.Offer(5, 0, Job{Key: "k", Until: 5}); ok {
		t.Error("accepted a job after its deadline")
	}
	w.Servers[0].OpenConnections = 1
	if w.Connect(0, 0) {
		t.Error("accepted a connection beyond its capacity")
	}
	w.Kill(9, 0)
	w.Servers[0].OpenConnections = 0
	if w.Connect(9, 0) {
		t.Error("accepted a connection while down")
	}
}

// A cache does not begin a request whose time is over, as the protocol has it, however long the request has waited. It
// used to look at the time on arrival only, and executed writes seconds after the deduplication window of their keys.
func TestCacheDoesNotBeginARequestThatIsOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(*World) // what happens before the job arrives
		after  func(*World) // what happens after that
		until  policy.Instant
		want   Reply
	}{
		{"begins at once and ends late", func(*World) {}, func(w *World) { w.Slow(ms, 0, 100) }, 2 * ms, Receipt},
		{"begins at once and is paused", func(*World) {}, func(w *World) { w.Pause(ms, 0, time.Second) }, 2 * ms,
			Receipt},
		{"waits for a job", func(w *World) { w.Offer(0, 0, testJob("long", "k")) }, func(*World) {}, 2 * ms, Busy},
		{"waits for a job, in time", func(w *World) { w.Offer(0, 0, testJob("long", "k")) }, func(*World) {}, 999 * ms,
			Receipt},
		{"waits for the end of a pause", func(w *World) { w.Pause(0, 0, 5*time.Millisecond) }, func(*World) {}, 2 * ms,
			Busy},
		{"waits for the end of a pause, in time", func(w *World) { w.Pause(0, 0, 5*time.Millisecond) },
			func(*World) {}, 6 * ms, Receipt},
		{"waits for the end of a pause that is extended", func(w *World) { w.Pause(0, 0, 5*time.Millisecond) },
			func(w *World) { w.Pause(2*ms, 0, time.Second) }, 6 * ms, Busy},
		{"waits for the end of a pause in which the cache becomes slow",
			func(w *World) { w.Pause(0, 0, 5*time.Millisecond) }, func(w *World) { w.Slow(2*ms, 0, 100) }, 6 * ms,
			Receipt},
	} {
		o := &countingObserver{}
		w := newTestWorld(o, nil)
		c.before(w)
		if _, ok := w.Offer(ms, 0, Job{Request: "r", Key: "k", Label: "l", Class: 1, Until: c.until}); !ok {
			t.Fatalf("%s: the job was not accepted", c.name)
		}
		c.after(w)
		var replies []Reply
		for _, d := range w.runUntil(1 << 60) {
			if d.Job.Request == "r" {
				replies = append(replies, d.Reply)
			}
		}
		effects := 0
		if c.want == Receipt {
			effects = 1
		}
		if !slices.Equal(replies, []Reply{c.want}) || o.effects != effects {
			t.Errorf("%s: replies %v and %d effects, want %v", c.name, replies, o.effects, c.want)
		}
	}
}

// A repeat within the window has no effect and gets the same receipt; beyond it, or with another key, it has an
// effect.
func TestIdempotencyKeysHoldForTheirWindow(t *testing.T) {
	o := &countingObserver{}
	w := newTestWorld(o, nil)
	write := func(at policy.Instant, label string) string {
		w.Offer(at, 1, Job{Request: "r", Key: "k", Label: label, Class: 1, Until: 1 << 60})
		return w.runUntil(1 << 60)[0].Text
	}
	first := write(0, "l")
	if again := write(500*ms, "l"); again != first || o.effects != 1 {
		t.Errorf("repeat within the window: receipt %q after %q, %d effects", again, first, o.effects)
	}
	write(600*ms, "m")
	if o.effects != 2 {
		t.Error("a write with another key has no effect")
	}
	write(1900*ms, "l")
	if o.effects != 3 {
		t.Error("a repeat beyond the window has no effect")
	}
}

// A server recognizes a repeat that begins while the key is remembered, however long its execution takes, and one that
// ends while the key is remembered.
func TestRepeatIsRecognizedAsItBeginsOrEnds(t *testing.T) {
	const window = 1000 * ms // of the class, from the effect
	for _, c := range []struct {
		name    string
		begins  policy.Instant
		slow    float64 // factor by which its execution takes longer than a few milliseconds
		effects int
	}{
		{"begins and ends within the window", 500 * ms, 1, 1},
		{"begins within the window, ends after it", 990 * ms, 1000, 1},
		{"begins after the window", 1100 * ms, 1, 2},
		{"begins before the first effect, ends within the window", 0, 10, 1},
		{"begins before the first effect, ends after the window", 0, 1000, 2},
	} {
		o := &countingObserver{}
		cache := CacheTraits{Cores: 1, Queue: 1, Speed: 1, Keys: 1}
		w := New(Plan{
			Mode:     Through,
			Caches:   []CacheTraits{cache, cache},
			Observer: o,
			Classes: []Class{{Write: true, Work: 4 * time.Millisecond, ServiceClass: policy.ServiceClass{
				Idempotency: policy.IdempotentByKey, DedupScope: policy.AllCaches, DedupWindow: time.Duration(window),
			}}},
		})
		w.Slow(0, 1, c.slow)
		write := func(at policy.Instant, server int) {
			w.Advance(at, func(Done) {})
			w.Offer(at, server, Job{Request: "r", Label: "l", Until: 1 << 60})
		}
		write(0, 0)
		write(c.begins, 1)
		w.runUntil(1 << 60)
		if o.effects != c.effects {
			t.Errorf("%s: %d effects, want %d", c.name, o.effects, c.effects)
		}
	}
}

// The class's deduplication scope determines which caches share idempotency keys: all, those of a zone, or of a group.
func TestDeduplicationScopes(t *testing.T) {
	for scope, effects := range map[policy.DedupScope]int{
		policy.AllCaches: 1,
		policy.SameZone:  2,
		policy.SameGroup: 3,
	} {
		o := &countingObserver{}
		var caches []CacheTraits
		for n, at := range []struct {
			zone  policy.ZoneID
			group policy.GroupID
		}{
			{zone: "a", group: 1},
			{zone: "a", group: 1},
			{zone: "a", group: 2},
			{zone: "b", group: 3},
		} {
			id := policy.EndpointID(rune('a' + n))
			traits := CacheTraits{ID: id, Zone: at.zone, Group: at.group, Cores: 1, Queue: 9, Speed: 1, Keys: 1}
			caches = append(caches, traits)
		}
		byKey := policy.ServiceClass{Idempotency: policy.IdempotentByKey, DedupScope: scope, DedupWindow: time.Second}
		w := New(Plan{
			Mode:     Through,
			Caches:   caches,
			Observer: o,
			Classes:  []Class{{Write: true, Work: time.Millisecond, ServiceClass: byKey}},
		})
		for n := range caches {
			w.Offer(0, n, Job{Request: "r", Label: "l", Until: 1 << 60})
		}
		w.runUntil(1 << 60)
		if o.effects != effects {
			t.Errorf("scope %v: %d effects, want %d", scope, o.effects, effects)
		}
	}
}

// Only a cold cache fails from overload, only with a multiple of the load that it can serve, and it restarts.
func TestOnlyOverloadedColdCacheFails(t *testing.T) {
	overload := func(cold bool, every time.Duration) *countingObserver {
		o := &countingObserver{}
		w := newTestWorld(o, nil)
		if cold {
			w.Start(1, 0)
		}
		for at := policy.Instant(1); at < 2000*ms; at = at.Add(every) {
			w.Offer(at, 0, testJob("a", "k"))
			w.Advance(at, func(Done) {})
		}
		w.runUntil(9000 * ms)
		return o
	}
	if o := overload(true, 2*time.Millisecond); o.overloads != 1 || o.recoveries != 1 {
		t.Errorf("overloaded while cold: %+v", o)
	}
	if o := overload(true, 20*time.Millisecond); o.overloads != 0 {
		t.Error("a cold cache failed under a load that it can serve")
	}
	if o := overload(false, 2*time.Millisecond); o.overloads != 0 {
		t.Error("a warm cache failed")
	}
}

// A cold cache used to fail as soon as a fault made it slower, by requests that had come before. It must fail only if
// the load goes on.
func TestSlowedColdCacheFailsOnlyIfTheLoadGoesOn(t *testing.T) {
	const slowedAt = 2000 * ms
	fails := func(last policy.Instant) bool {
		o := &countingObserver{}
		w := newTestWorld(o, func(c *CacheTraits) { c.FallFor = time.Second })
		w.Start(1, 0)
		for at := policy.Instant(1); at < last; at += 20 * ms {
			if at > slowedAt && at <= slowedAt+20*ms {
				w.Slow(at, 0, 20)
			}
			w.Offer(at, 0, testJob("a", "k"))
			w.Advance(at, func(Done) {})
		}
		return o.overloads > 0
	}
	if fails(slowedAt + 100*ms) {
		t.Error("the cache failed by requests that came before it was slow")
	}
	if !fails(slowedAt + 1500*ms) {
		t.Error("the cache did not fail under a load that went on")
	}
}

// Arrivals are open loop at the planned rate, and clients retry only requests whose repetition is harmless.
func TestTrafficFollowsItsPlan(t *testing.T) {
	idempotent := policy.ServiceClass{Idempotency: policy.Idempotent}
	tr := NewTraffic(TrafficPlan{
		PerSecond: 1000,
		Keys:      100,
		Zipf:      1,
		Seed:      3,
		Classes: []Class{
			{Name: "read", Share: 3, Tries: 2, ServiceClass: idempotent},
			{Name: "pay", Share: 1, Tries: 9, Write: true},
		},
	})
	tr.SetHotKey("hot", 0.5)
	n, reads, hot := 0, 0, 0
	for at := tr.Next(0); at < policy.Instant(10*time.Second); at = tr.Next(at) {
		r := tr.Draw(at)
		n++
		if r.Class == 0 {
			reads++
		}
		if r.Key == "hot" {
			hot++
		}
		if _, _, ok := tr.Retry(at, r, false, 0); ok != (r.Class == 0) {
			t.Fatal("unexpected decision on a retry after a failure", r.Class, ok)
		}
		again, _, _ := tr.Retry(at, r, true, time.Second)
		_, _, ok := tr.Retry(at, again, true, 0)
		if ok != (r.Class == 1) || again.ID == r.ID || again.Sent < at.Add(time.Second) {
			t.Fatal("unexpected retry after a rejection", r.Class, ok)
		}
	}
	if n < 9700 || n > 10300 || reads < 7300 || reads > 7700 || hot < 3500 || hot > 4000 {
		t.Errorf("%d requests, want 9700 to 10300; %d reads, want 7300 to 7700; %d for the hot key, want 3500 to 4000",
			n, reads, hot)
	}
}

// An overloaded registry must stay overloaded while nodes poll at the same rate, and recover once they poll less often.
// Otherwise no scenario would distinguish a node that spreads its polls over time from one that does not.
func TestOverloadedRegistryRecoversOnlyWhenPolledLess(t *testing.T) {
	for every, most := range map[policy.Instant]int{ms / 2: 0, 20 * ms: 50} {
		registry := Registry{
			CompleteWork: 20 * time.Millisecond,
			UpdateWork:   2 * time.Millisecond,
			Backlog:      100 * time.Millisecond,
		}
		accepted := 0
		for at := policy.Instant(0); at < 2000*ms; at += every {
			if _, ok := registry.Poll(at, at < 20*ms); ok && at >= 1000*ms {
				accepted++
			}
		}
		if accepted > most || accepted < most-1 {
			t.Errorf("polled each %v: %d polls accepted in the last second", time.Duration(every), accepted)
		}
	}
}

// Short client timeouts are derived from the try's id, so that the other random draws are the same as without them.
func TestShortClientTimeoutsChangeNothingElse(t *testing.T) {
	classes := []Class{{Share: 1, Deadline: time.Second, Tries: 2}}
	plain := NewTraffic(TrafficPlan{PerSecond: 100, Keys: 100, Classes: classes, Seed: 3})
	impatient := NewTraffic(TrafficPlan{
		PerSecond:        100,
		Keys:             100,
		Classes:          classes,
		Seed:             3,
		Short:            0.25,
		MaxShortDeadline: 200 * time.Millisecond,
	})
	short := 0
	for range 2000 {
		a := plain.Draw(0)
		b := impatient.Draw(0)
		switch {
		case a.Deadline != time.Second || a.ID != b.ID || a.Key != b.Key:
			t.Fatalf("%v and %v", a, b)
		case b.Deadline >= 100*time.Millisecond && b.Deadline <= 200*time.Millisecond:
			short++
		case b.Deadline != time.Second:
			t.Fatalf("a client waits %v", b.Deadline)
		}
	}
	if short < 400 || short > 600 {
		t.Errorf("%d of 2000 clients wait less, want about 500", short)
	}
	first := impatient.Draw(0)
	if again, _, ok := impatient.Retry(0, first, true, 0); !ok || again.Deadline > time.Second {
		t.Errorf("the client waits %v for its second try", again.Deadline)
	}
}

// A cache that failed from overload restarts by itself. One that was killed before its restart was due used to start
// again: a scenario that killed it for good had it back.
func TestKilledCacheDoesNotRestartAfterOverload(t *testing.T) {
	overloaded := func() (*World, *countingObserver) {
		observer := &countingObserver{}
		w := newTestWorld(observer, nil)
		w.Start(ms, 0)
		for at := ms; observer.overloads == 0; at += ms {
			w.Offer(at, 0, testJob("a", "k"))
		}
		return w, observer
	}
	w, observer := overloaded()
	w.runUntil(w.now.Add(2 * restartDelay))
	if w.Servers[0].Liveness != Up || observer.recoveries != 1 {
		t.Errorf("after an overload: liveness %v, %d recoveries", w.Servers[0].Liveness, observer.recoveries)
	}
	w, observer = overloaded()
	w.Kill(w.now.Add(restartDelay/2), 0)
	w.runUntil(w.now.Add(2 * restartDelay))
	if w.Servers[0].Liveness != Down || observer.recoveries != 0 {
		t.Errorf("killed after an overload: liveness %v, %d recoveries", w.Servers[0].Liveness, observer.recoveries)
	}
}
