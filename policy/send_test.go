package policy

import "testing"

func TestWriteFansOutInReadThroughMode(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    ClassID
		shortage float64
		want     int
	}{
		{name: "idempotent by key", class: keyedClass, shortage: 0, want: replicaCount},
		{name: "not idempotent", class: notIdempotentClass, shortage: 0, want: 1},
		// three attempts would cause three writes at an origin that is already short
		{name: "idempotent by key, attempts are lost", class: keyedClass, shortage: 0.5, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadThroughHarness(t)
			h.router.shortage.share = c.shortage
			if _, decision := h.arrive("k", c.class, true); len(decision.SendTo) != c.want {
				t.Errorf("the write was sent to %v, want %d replicas", decision.SendTo, c.want)
			}
		})
	}
}

// Guards against sending duplicates of each write although hardly any attempt is late: two of three executions were
// wasted, and each was cancelled by closing its connection. Duplicates must only be sent while the probability that one
// attempt is late is at least the cost of a wasted one.
func TestWriteFansOutOnlyWhileDuplicatesPayOff(t *testing.T) {
	for _, c := range []struct {
		name      string
		wasteCost float64
		answered  int
		late      int // of the answered attempts
		want      int
	}{
		{name: "a wasted copy costs nothing", wasteCost: 0, answered: 20, want: replicaCount},
		{name: "hardly any attempt is late", wasteCost: 0.2, answered: 20, late: 1, want: 1},
		{name: "many attempts are late", wasteCost: 0.2, answered: 20, late: 8, want: replicaCount},
		{name: "nothing was answered yet", wasteCost: 0.2, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.WasteCost = c.wasteCost
			h := newHarness(t, settings, testFleet(9, false))
			for i := range c.answered {
				latency := 50 * ms
				if i < c.late {
					latency = 400 * ms
				}
				h.router.latency.observe(latency, 0)
			}
			if _, decision := h.arrive("k", keyedClass, true); len(decision.SendTo) != c.want {
				t.Errorf("the write was sent to %v, want %d replicas", decision.SendTo, c.want)
			}
		})
	}
}

// Guards against unnecessary zone crossings: the reads of half of all keys crossed zones, each at a cost. Reads must
// stay in the home zone unless it cannot serve them, or the origin is too short of capacity for each zone to have its
// own replicas.
func TestReadsStayInHomeZoneUnlessItCannotServe(t *testing.T) {
	type event func(*harness, *upstream)
	nothing := func(*harness, *upstream) {}
	full := func(h *harness, u *upstream) {
		u.load.inFlight = 3
		h.router.latency.perQueuedRequest.Observe(200 * ms)
	}
	eject := func(_ *harness, u *upstream) { u.health.ejectedUntil = 1e12 }
	remove := func(h *harness, u *upstream) {
		h.update(DeltaUpdate, Endpoint{ID: u.ID, Lifecycle: Removed})
	}
	shed := func(h *harness, _ *upstream) {
		h.router.admission.controllers[homeZone] = admissionController{offered: 100, useful: 20}
	}
	shortOrigin := func(h *harness, _ *upstream) { h.router.origin.lateShare = 1 }
	losesAttempt := func(_ *harness, u *upstream) {
		u.load.inFlight = 1
		u.health.ejectedUntil = 1e12
	}
	for _, c := range []struct {
		name     string
		home     event // applied to each cache in the home zone
		others   event // applied to each other cache
		inFlight bool  // each read has an attempt in flight in the home zone
		atLeast  int   // attempts of 60 that cross
		most     int   // attempts of 60 that cross
	}{
		{name: "no fault", home: nothing, others: nothing, most: 0},
		{name: "home has left the list", home: remove, others: nothing, atLeast: 60, most: 60},
		{name: "home is ejected", home: eject, others: nothing, atLeast: 55, most: 60},
		{name: "home is full", home: full, others: nothing, atLeast: 55, most: 60},
		{name: "home is full, others are ejected: no read bypasses the caches", home: full, others: eject, most: 0},
		{name: "home sheds", home: shed, others: nothing, atLeast: 30, most: 55},
		{name: "home sheds, others are ejected: no read bypasses the caches", home: shed, others: eject, most: 0},
		{name: "the origin is short", home: shortOrigin, others: nothing, atLeast: 5, most: 55},
		{
			name: "hedge of a lost attempt", home: losesAttempt, others: nothing, inFlight: true,
			atLeast: 55, most: 60,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, endpoints := newZonedHarness(t)
			for i, endpoint := range endpoints[:60] {
				if i%3 == 0 {
					c.home(h, h.cache(endpoint.ID))
				} else {
					c.others(h, h.cache(endpoint.ID))
				}
			}
			crossed := h.countCrossings(endpoints[0].ID, c.inFlight)
			if crossed < c.atLeast || crossed > c.most {
				t.Errorf("%d of 60 attempts crossed zones, want %d to %d", crossed, c.atLeast, c.most)
			}
		})
	}
}

// countCrossings routes 60 reads, each with an attempt in flight at the given endpoint if inFlight is set, and returns
// how many of their attempts go to other zones or to the origin.
func (h *harness) countCrossings(id EndpointID, inFlight bool) (crossed int) {
	for i := range 60 {
		r := &Request{Key: distinctKey(i), Deadline: Instant(800 * ms)}
		h.router.admission.controllers[otherZones] = openAdmission()
		h.router.extraAttempts.tokens = maxTokens
		if inFlight {
			r.Attempts = []Attempt{{Endpoint: id, InFlight: true}}
		}
		decision := h.router.Route(1, r)
		if len(decision.SendTo) != 1 {
			continue
		}
		to := decision.SendTo[0]
		if h.listed[to].Zone != "here" || to == "origin" {
			crossed++
			h.cache(to).load.inFlight-- // the attempt ends immediately
		}
	}
	return crossed
}
