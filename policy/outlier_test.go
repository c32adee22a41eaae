package policy

import (
	"testing"
	"time"
)

// With one connection in twelve broken under its attempt, caches were ejected for half a second each, the retries were
// used up and requests shed, though all caches were well.
func TestBrokenConnectionsDoNotEjectACache(t *testing.T) {
	h := newReadThroughHarness(t)
	for i := range 600 {
		r, decision := h.arrive(distinctKey(i), readClass, false)
		if len(decision.SendTo) == 0 {
			t.Fatalf("request %d is rejected", i)
		}
		if i%12 < 2 { // two in a row, at times on one cache
			h.end(r, 0, ConnectionBroken)
			if len(r.Attempts) < 2 {
				t.Fatalf("request %d has no retry", i)
			}
		}
		h.endLast(r, Answered)
		h.advance(5 * ms)
	}
	for _, u := range h.router.endpoints.caches {
		if u.health.failures > 0 || u.health.ejectedUntil > 0 {
			t.Errorf("%s is ejected", u.ID)
		}
	}
	h.checkAvoidsCacheWithBrokenConnections()
}

// checkAvoidsBreakingCache lets the first replica of a key break all connections. It looks idle, so that it would get
// all attempts.
func (h *harness) checkAvoidsCacheWithBrokenConnections() {
	h.t.Helper()
	first := replicasOf(h.router, "k")[0]
	byEndpoint, total := h.drive(60, 5*ms, sameKey, func(_ int, id EndpointID) Result {
		if id == first {
			return ConnectionBroken
		}
		return Answered
	})
	if byEndpoint[first] > total/4 {
		h.t.Errorf("%d of %d attempts went where all connections break", byEndpoint[first], total)
	}
}

// A cache that erred was avoided class by class, and for a second or less. 80 nodes sent it a hundred attempts a second
// by that. Once it is well it must be taken back.
func TestFailingCacheIsAvoidedByAllClassesUntilItRecovers(t *testing.T) {
	h := newReadThroughHarness(t)
	faulty := replicasOf(h.router, "k")[0]
	attempts := 0
	errors := 0
	for i := range 400 {
		r, decision := h.arrive("k", ClassID(i%2), false)
		if len(decision.SendTo) > 0 && decision.SendTo[0] == faulty {
			attempts++
			if i%3 > 0 {
				errors++
				h.end(r, 0, Errored)
			}
		}
		if !r.Finished && len(r.Attempts) > 0 {
			h.endLast(r, Answered)
		}
		h.advance(50 * ms) // 20 seconds in all
	}
	if errors == 0 || attempts > 16 {
		t.Errorf("%d attempts, of which %d erred, at a cache that errs on two in three", attempts, errors)
	}
	for i := range 200 { // well again
		r, decision := h.arrive("k", readClass, false)
		if len(decision.SendTo) > 0 {
			if i >= 100 && decision.SendTo[0] == faulty {
				return
			}
			h.end(r, 0, Answered)
		}
		h.advance(250 * ms)
	}
	t.Error("a cache that is well again is not taken back")
}

// What wasted attempts had taught stayed until the cache got another attempt, which it then seldom did.
func TestWastedShareDecaysWithoutAttempts(t *testing.T) {
	h := newReadThroughHarness(t)
	u := h.cache("cache-0")
	u.health.wastedShare = 0.8
	h.advance(20 * time.Second)
	if u.health.wastedShare > 0.2 {
		t.Errorf("after 20 s without an attempt the wasted share is %.2f", u.health.wastedShare)
	}
}

// Two attempts that timed out after some milliseconds, since their requests had no more time, ejected a cache.
func TestShortTimeoutsDoNotEjectACache(t *testing.T) {
	for _, c := range []struct {
		name    string
		latency time.Duration
		ejected bool
	}{
		{name: "after some milliseconds", latency: 6 * ms, ejected: false},
		{name: "after seconds", latency: 2 * time.Second, ejected: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadThroughHarness(t)
			first := h.cache(replicasOf(h.router, "k")[0])
			h.now = h.now.Add(time.Second)
			for range failuresToEject {
				r := &Request{
					Deadline: h.now.Add(c.latency),
					Attempts: []Attempt{{Endpoint: first.ID, SentAt: h.now, Result: TimedOut}},
					Finished: true,
				}
				h.now = h.now.Add(c.latency)
				h.router.OnAttemptDone(h.now, r, Outcome{Latency: c.latency})
			}
			if ejected := first.health.ejectedUntil > h.now; ejected != c.ejected {
				t.Errorf("ejected %v, want %v", ejected, c.ejected)
			}
		})
	}
}

// A cut between zones shows at hundreds of caches, each met seldom: by failures in a row at each of them it would take
// hundreds of attempts to notice. The failed connects of a zone count together.
func TestUnreachableZoneGetsFewAttempts(t *testing.T) {
	endpoints := testFleet(60, false)
	for i := range endpoints[:40] {
		endpoints[i].Zone = "there"
	}
	h := newHarness(t, testSettings(), endpoints)
	byEndpoint, _ := h.drive(200, 50*ms, distinctKey, func(_ int, id EndpointID) Result {
		h.router.admission.controllers[homeZone] = openAdmission()
		if h.listed[id].Zone == "there" {
			return ConnectFailed
		}
		return Answered
	})
	attempts := 0
	for id, n := range byEndpoint {
		if h.listed[id].Zone == "there" {
			attempts += n
		}
	}
	if attempts > 45 || len(byEndpoint) < 20 {
		t.Errorf("%d of 200 attempts went to a zone that is cut off", attempts)
	}
}
