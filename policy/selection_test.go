package policy

import (
	"cmp"
	"testing"
	"time"
)

// A fleet of which most was new stayed on its few old caches, full as they were, since a connection had to be opened to
// each of the others. A connection must weigh less than half of the attempts wasted.
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
			t.Errorf("with a wasted share of %.1f, %d of 1000 open a connection", c.wastedShare, opened)
		}
	}
}

// A request whose replicas all have queues longer than its objective is rejected at once. That is no loss: admission
// must not shed others for it.
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
		t.Errorf("sent behind a queue longer than the objective: %v %v", r, decision)
	}
	if offered := h.router.admission.controllers[homeZone].offered; offered > admissionWindow {
		t.Errorf("admission counts %v as offered", offered)
	}
}

// Idle caches whose own work takes over half of the objective looked full; and the router's own attempts were taken off
// reports of a queue that doesn't include them. Late answers count as useful by their late share.
func TestServiceTimeIsNotCountedAsQueueing(t *testing.T) {
	settings := testSettings()
	settings.QueueColumn = 0
	settings.Classes[readClass].LateValue = 0.5
	h := newHarness(t, settings, testFleet(12, false))
	h.loadReport = []float64{0}
	if _, sent := h.drive(60, 180*ms, distinctKey, always(Answered)); sent < 58 {
		t.Errorf("%d of 60 were sent to idle caches", sent)
	}
	h.loadReport[0] = 2
	if _, sent := h.drive(60, 220*ms, distinctKey, always(Answered)); sent < 50 {
		t.Errorf("%d of 60 were sent behind 2 others", sent)
	}
	usefulBefore := h.router.admission.controllers[homeZone].useful
	r, decision := h.arrive("late", readClass, false)
	h.advance(400 * ms)
	h.end(r, 0, Answered)
	if late := h.router.admission.controllers[homeZone].useful - usefulBefore; late != 0.5 {
		t.Errorf("a late answer counts %v, want its late share of 0.5", late)
	}
	if foreign := h.cache(decision.SendTo[0]).load.externalLoad; foreign != 2 {
		t.Errorf("a reported queue of 2 counts as %v", foreign)
	}
	h.loadReport[0] = 5
	if _, sent := h.drive(60, 280*ms, distinctKey, always(Answered)); sent > 40 {
		t.Errorf("%d of 60 were sent behind 5 others", sent)
	}
}

// Many nodes have nothing in flight, so equal loads are the rule. Where attempts were lost or rejected must come last
// among them, though it looks as idle as the others.
func TestWastedShareBreaksTiesBetweenEqualLoads(t *testing.T) {
	for name, result := range map[string]Result{"time-outs": TimedOut, "rejections": Rejected} {
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
				t.Errorf("%d of 40 attempts went where the first did", byEndpoint[first])
			}
		})
	}
}

// Each replica that takes a key fetches it once from the origin. While the origin is short, or reads miss where that
// crosses zones, reads of a key must stay with its first replica.
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
				t.Errorf("the key was spread over %d caches, want %d", len(byEndpoint), c.want)
			}
		})
	}
}

// A crossing has a certain cost, a short queue at home may move: reads of a replica set that spans zones stay at home
// until the queues there are long.
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
		inFlight int // at home
		want     *upstream
	}{{5, home}, {20, away}} {
		home.load.inFlight = c.inFlight
		selected := h.router.leastLoaded(0, r, []*upstream{away, home})
		if selected.endpoint != c.want {
			t.Errorf("with %d in flight at home, %v is selected", c.inFlight, selected.endpoint.ID)
		}
	}
}
