package policy

import "testing"

func TestWritesGoToAllReplicasInReadThroughMode(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    ClassID
		shortage float64
		want     int
	}{
		{"idempotent by key", keyedClass, 0, replicaCount},
		{"not idempotent", notIdempotentClass, 0, 1},
		// three attempts are three writes at an origin that is short already
		{"idempotent by key, attempts are lost", keyedClass, 0.5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadThroughHarness(t)
			h.router.shortage.share = c.shortage
			if _, decision := h.arrive("k", c.class, true); len(decision.SendTo) != c.want {
				t.Errorf("the write went to %v, want %d replicas", decision.SendTo, c.want)
			}
		})
	}
}

// Half of all keys crossed zones, each at a cost. Reads must stay at home unless home can't serve them, or the origin
// is short by each zone's own replicas.
func TestReadsStayInTheirZoneUnlessItCannotServe(t *testing.T) {
	full := func(h *harness, u *upstream) {
		u.load.inFlight = 3
		h.router.latency.perQueued.Observe(200 * ms)
	}
	eject := func(_ *harness, u *upstream) { u.health.ejectedUntil = 1e12 }
	nothing := func(*harness, *upstream) {}
	for _, c := range []struct {
		name          string
		home, others  func(*harness, *upstream) // done to each cache at home, and to each other
		inFlight      bool                      // each read has an attempt in flight at home
		atLeast, most int                       // attempts of 60 that cross
	}{
		{"all is well", nothing, nothing, false, 0, 0},
		{"home has left", func(h *harness, u *upstream) {
			h.update(DeltaUpdate, Endpoint{ID: u.ID, Lifecycle: Removed})
		}, nothing, false, 60, 60},
		{"home is ejected", eject, nothing, false, 55, 60},
		{"home is full", full, nothing, false, 55, 60},
		{"home is full and others ejected", full, eject, false, 0, 0}, // none goes to the origin for that
		{"home sheds", func(h *harness, _ *upstream) {
			h.router.admission.controllers[homeZone] = admissionController{offered: 100, useful: 20}
		}, nothing, false, 30, 55},
		{"the origin is short", func(h *harness, _ *upstream) { h.router.origin.lateShare = 1 }, nothing, false, 5, 55},
		{"a hedge beside a lost attempt", func(_ *harness, u *upstream) {
			u.load.inFlight = 1
			u.health.ejectedUntil = 1e12
		}, nothing, true, 55, 60},
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
				t.Errorf("%d of 60 attempts crossed, want %d to %d", crossed, c.atLeast, c.most)
			}
		})
	}
}

// countCrossings routes 60 reads, each with an attempt in flight at an endpoint or none, and returns how many of their
// attempts go to other zones or to the origin.
func (h *harness) countCrossings(id EndpointID, inFlight bool) (crossed int) {
	for i := range 60 {
		r := &Request{Key: distinctKey(i), Deadline: Instant(800 * ms)}
		h.router.admission.controllers[otherZones] = openAdmission()
		h.router.hedges.saved = maxSavedHedges
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
			h.cache(to).load.inFlight-- // it ends at once
		}
	}
	return crossed
}
