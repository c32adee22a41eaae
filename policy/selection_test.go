package policy

import (
	"cmp"
	"testing"
	"time"
)

// Guards against staying with overloaded caches: a fleet of mostly new caches kept using the few old ones, full as they
// were, because each new one needed a new connection. A new connection must cost less than half of the attempts wasted.
func TestNewConnectionIsPreferredToWastedAttempts(t *testing.T) {
	settings := testSettings()
	settings.IdleTimeout = time.Minute
	h := newHarness(t, settings, testFleet(12, false))
	connected := h.cache("cache-0")
	unconnected := h.cache("cache-1")
	connected.load.lastUsedAt = h.now
	for _, c := range []struct {
		wastedShare   float64
		atLeast, most int // of 1000
	}{{wastedShare: 0, atLeast: 0, most: 250}, {wastedShare: 0.6, atLeast: 800, most: 1000}} {
		connected.health.wastedShare = c.wastedShare
		opened := 0
		for range 1000 {
			if h.router.tieBreakCost(h.now, unconnected, 0) < h.router.tieBreakCost(h.now, connected, 0) {
				opened++
			}
		}
		if opened < c.atLeast || opened > c.most {
			t.Errorf("with a wasted share of %.1f, %d of 1000 selections open a connection", c.wastedShare, opened)
		}
	}
}

// A request whose replicas all have queues longer than its objective is rejected immediately. The rejection must not
// count as lost, or admission would shed other requests for it.
func TestRequestIsRejectedWhenAllQueuesAreFull(t *testing.T) {
	h := newReadThroughHarness(t)
	for _, u := range h.router.endpoints.caches {
		for range 40 {
			h.router.latency.perQueuedRequest.Observe(200 * ms)
		}
		u.load.inFlight = 3
	}
	r, decision := h.arrive("k", readClass, false)
	if len(decision.SendTo) > 0 || decision.Answer != Reject {
		t.Errorf("request %v was not rejected although all queues are longer than its objective: %v", r, decision)
	}
	if offered := h.router.admission.controllers[homeZone].offered; offered > admissionWindow {
		t.Errorf("admission counts %v attempts as offered", offered)
	}
}

// Guards against taking idle caches for full ones: caches whose service time exceeds half of the objective looked full,
// and the router's own attempts were subtracted from reports of a queue that does not include them. Also checks that a
// late answer counts with the class's LateValue.
func TestServiceTimeIsNotCountedAsQueueing(t *testing.T) {
	settings := testSettings()
	settings.QueueColumn = 0
	settings.Classes[readClass].LateValue = 0.5
	h := newHarness(t, settings, testFleet(12, false))
	h.loadReport = []float64{0}
	if _, sent := h.drive(60, 180*ms, distinctKey, always(Answered)); sent < 58 {
		t.Errorf("%d of 60 requests were sent to idle caches, want at least 58", sent)
	}
	h.loadReport[0] = 2
	if _, sent := h.drive(60, 220*ms, distinctKey, always(Answered)); sent < 50 {
		t.Errorf("%d of 60 requests were sent behind 2 others, want at least 50", sent)
	}
	usefulBefore := h.router.admission.controllers[homeZone].useful
	r, decision := h.arrive("late", readClass, false)
	h.advance(400 * ms)
	h.end(r, 0, Answered)
	if late := h.router.admission.controllers[homeZone].useful - usefulBefore; late != 0.5 {
		t.Errorf("a late answer counts as %v, want the LateValue of 0.5", late)
	}
	if external := h.cache(decision.SendTo[0]).load.externalLoad; external != 2 {
		t.Errorf("a reported queue of 2 counts as an external load of %v", external)
	}
	h.loadReport[0] = 5
	if _, sent := h.drive(60, 280*ms, distinctKey, always(Answered)); sent > 40 {
		t.Errorf("%d of 60 requests were sent behind 5 others, want at most 40", sent)
	}
}

// Equal loads are common, since many nodes have nothing in flight. Among them, a cache that lost or rejected attempts
// must be selected last although it looks as idle as the others.
func TestWastedShareBreaksTiesBetweenEqualLoads(t *testing.T) {
	for name, result := range map[string]Result{"timeouts": TimedOut, "rejections": Rejected} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.IdleTimeout = 15 * time.Second
			h := newHarness(t, settings, testFleet(45, false))
			first := EndpointID("")
			results := func(_ int, id EndpointID) Result {
				first = cmp.Or(first, id)
				if id == first {
					return result
				}
				return Answered
			}
			h.drive(30, 20*ms, sameKey, results)
			if byEndpoint, _ := h.drive(40, 20*ms, sameKey, results); byEndpoint[first] > 8 {
				t.Errorf("%d of 40 attempts went to the cache that wastes attempts, want at most 8", byEndpoint[first])
			}
		})
	}
}

// Each additional replica of a key fetches it once from the origin. While the origin is short, or misses cross zones at
// a cost, reads of a key must stay with its first replica.
func TestOriginShortageKeepsReadsAtTheFirstReplica(t *testing.T) {
	for _, c := range []struct {
		name     string
		shortage float64
		missCost bool
		want     int
	}{
		{name: "not short", shortage: 0, missCost: false, want: replicaCount},
		{name: "short", shortage: 1, missCost: false, want: 1},
		{name: "misses cross zones", shortage: 0, missCost: true, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newCacheAsideHarness(t)
			h.router.shortage.share = c.shortage
			h.router.popularity.total = 1e6
			result := Answered
			if c.missCost {
				h.router.settings.CrossZoneCost = 0.2
				result = CacheMiss
				h.drive(100, 0, distinctKey, always(result))
			}
			if byEndpoint, _ := h.drive(400, 0, sameKey, always(result)); len(byEndpoint) != c.want {
				t.Errorf("reads of the key went to %d caches, want %d", len(byEndpoint), c.want)
			}
		})
	}
}

// The cost of crossing zones is certain, whereas a short queue in the home zone may shrink. Reads with replicas in
// several zones must stay in the home zone until its queues are long.
func TestCrossZoneCostOutweighsShortQueues(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.2
	h := newHarness(t, settings, testFleet(2, false))
	home := h.cache("cache-0")
	away := h.cache("cache-1")
	away.Zone = "there"
	r := &Request{Key: "k", Deadline: Instant(time.Second)}
	h.router.initState(0, r)
	for _, c := range []struct {
		inFlight int // in the home zone
		want     *upstream
	}{{5, home}, {20, away}} {
		home.load.inFlight = c.inFlight
		selected := h.router.leastLoaded(0, r, []*upstream{away, home})
		if selected.endpoint != c.want {
			t.Errorf("with %d in flight in the home zone, %v is selected", c.inFlight, selected.endpoint.ID)
		}
	}
}
