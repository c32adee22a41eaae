package policy

import (
	"testing"
	"time"
)

// Guards against ejecting healthy caches: with one connection in twelve broken during its attempt, caches were ejected
// for half a second each, the retry budget was exhausted, and requests were shed.
func TestBrokenConnectionsDoNotEjectACache(t *testing.T) {
	h := newReadThroughHarness(t)
	for i := range 600 {
		r, decision := h.arrive(distinctKey(i), readClass, false)
		if len(decision.SendTo) == 0 {
			t.Fatalf("request %d was rejected", i)
		}
		if i%12 < 2 { // two consecutive requests, at times on the same cache
			h.end(r, 0, ConnectionBroken)
			if len(r.Attempts) < 2 {
				t.Fatalf("request %d was not retried", i)
			}
		}
		h.endLast(r, Answered)
		h.advance(5 * ms)
	}
	for _, u := range h.router.endpoints.caches {
		if u.health.failures > 0 || u.health.ejectedUntil > 0 {
			t.Errorf("%s is ejected or has failures", u.ID)
		}
	}
	h.checkAvoidsCacheWithBrokenConnections()
}

// checkAvoidsCacheWithBrokenConnections breaks all connections to the first replica of a key. That cache looks idle, so
// it would get all attempts if faults were ignored.
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
		h.t.Errorf("%d of %d attempts went to the cache that breaks all connections", byEndpoint[first], total)
	}
}

// Guards against sending too many attempts to a failing cache: when it was avoided only per class, and for at most a
// second, 80 nodes together sent it 100 attempts a second. Once it has recovered, it must get attempts again.
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
		h.advance(50 * ms) // 20 s in total
	}
	if errors == 0 || attempts > 16 {
		t.Errorf("%d attempts, %d with errors, at a cache that fails two requests in three", attempts, errors)
	}
	for i := range 200 { // the cache has recovered
		r, decision := h.arrive("k", readClass, false)
		if len(decision.SendTo) > 0 {
			if i >= 100 && decision.SendTo[0] == faulty {
				return
			}
			h.end(r, 0, Answered)
		}
		h.advance(250 * ms)
	}
	t.Error("a recovered cache got no attempts")
}

// Guards against avoiding a cache indefinitely: the wasted share changed only with further attempts, and a cache with a
// high wasted share rarely got one.
func TestWastedShareDecaysWithoutAttempts(t *testing.T) {
	h := newReadThroughHarness(t)
	u := h.cache("cache-0")
	u.health.wastedShare = 0.8
	h.advance(20 * time.Second)
	if u.health.wastedShare > 0.2 {
		t.Errorf("the wasted share is %.2f after 20 s without an attempt, want at most 0.2", u.health.wastedShare)
	}
}

// Guards against ejecting a cache for short timeouts: two attempts that timed out after a few milliseconds, since
// their requests had no time left, ejected it.
func TestShortTimeoutsDoNotEjectACache(t *testing.T) {
	for _, c := range []struct {
		name    string
		latency time.Duration
		ejected bool
	}{
		{name: "after a few milliseconds", latency: 6 * ms, ejected: false},
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

// A partition between zones affects hundreds of caches that each get few attempts, so with consecutive failures counted
// per cache it would take hundreds of attempts to detect. Failed connects must be counted per zone.
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
		t.Errorf("%d of 200 attempts went to an unreachable zone", attempts)
	}
}

// A health check that was not sent, for a reason on the caller's machine, says nothing about its endpoint. It must
// neither eject the endpoint nor prolong an ejection, and the next check must follow.
func TestHealthCheckThatWasNotSentIsNotAFailure(t *testing.T) {
	settings := testSettings()
	settings.HealthChecksAllowed = true
	h := newHarness(t, settings, testFleet(12, false))
	u := h.cache("cache-0")
	fail := func(result Result) {
		for range failuresToEject {
			h.router.OnHealthCheck(h.now, u.ID, result)
		}
	}
	fail(NotSent)
	if u.health.failures > 0 || u.health.ejectedUntil > 0 || h.router.outliers.zoneConnectFailures[u.Zone] > 0 {
		t.Errorf("health after checks that were not sent: %+v", u.health)
	}
	fail(ConnectFailed)
	h.now = u.health.ejectedUntil
	for range 3 {
		if due := h.router.outliers.dueHealthChecks(h.now, h.router.endpoints.caches); len(due) != 1 {
			t.Fatalf("health checks due are %v, want one", due)
		}
		before := u.health
		h.router.OnHealthCheck(h.now, u.ID, NotSent)
		if u.health.failures != before.failures || u.health.ejectedUntil != before.ejectedUntil {
			t.Errorf("health is %+v, was %+v before a check that was not sent", u.health, before)
		}
		h.now = u.health.ejectedUntil
	}
}
