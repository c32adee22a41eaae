package policy

import (
	"slices"
	"testing"

	"dahliapin/internal/keyhash"
)

func TestPlacementIsEven(t *testing.T) {
	for n := 7; n <= 200; n += 1 + n/15 {
		router := newHarness(t, testSettings(), testFleet(n, false)).router
		for _, s := range router.endpoints.placement(homeZone) {
			inSegment := len(s.slots)
			if inSegment < n/segmentCount || inSegment > (n+segmentCount-1)/segmentCount {
				t.Fatalf("%d caches: a segment holds %d", n, inSegment)
			}
		}
	}
}

// When a cache leaves, the keys that it held must move and few others; what was learned of the other caches stays. When
// it comes back, all is as at a node that never saw it leave, whatever order the list has.
func TestPlacementIsStableAndOrderIndependent(t *testing.T) {
	const keys = 500
	for n := 7; n <= 200; n += 1 + n/15 {
		endpoints := testFleet(n, false)
		steady := newHarness(t, testSettings(), endpoints).router
		slices.Reverse(endpoints)
		changed := newHarness(t, testSettings(), endpoints).router
		known := changed.endpoints.byID[endpoints[1].ID]
		removed := Endpoint{ID: endpoints[0].ID, Lifecycle: Removed}
		changed.UpdateEndpoints(0, DeltaUpdate, []Endpoint{removed, endpoints[1]})
		moved := 0
		for key := range keys {
			now := replicasOf(changed, distinctKey(key))
			for _, id := range replicasOf(steady, distinctKey(key)) {
				if !slices.Contains(now, id) {
					moved++
				}
			}
		}
		if moved > 450 { // 30%; the one that left held 3% to 14% of a small fleet
			t.Errorf("%d caches: one departure moved %d of %d replicas", n, moved, replicaCount*keys)
		}
		changed.UpdateEndpoints(0, DeltaUpdate, endpoints[:1])
		if !slices.Equal(replicasOf(steady, "k"), replicasOf(changed, "k")) {
			t.Errorf("%d caches: nodes with the same list disagree", n)
		}
		if changed.endpoints.byID[endpoints[1].ID] != known {
			t.Errorf("%d caches: what was learned of a cache is lost by another's departure", n)
		}
	}
}

// A placement is most of what an update of the list costs a large fleet. So it is built only when the set of caches has
// changed, and only once it is needed. Nodes of a zone must agree on it, and a fleet in a single zone has one placement
// whatever crossings cost.
func TestPlacementsAreRebuiltOnlyWhenTheSetOfCachesChanges(t *testing.T) {
	h, endpoints := newZonedHarness(t)
	replicas := replicasOf(h.router, "k")
	before := h.router.endpoints.placement(homeZone)
	id := endpoints[1].ID
	for _, c := range []struct {
		name    string
		entry   Endpoint
		rebuilt bool
	}{
		{name: "drains", entry: Endpoint{ID: id, Zone: "there", Lifecycle: Draining}, rebuilt: false},
		{name: "restarted", entry: Endpoint{ID: id, Zone: "there", StartedAt: 7}, rebuilt: false},
		{name: "removed", entry: Endpoint{ID: id, Lifecycle: Removed}, rebuilt: true},
	} {
		h.router.UpdateEndpoints(9, DeltaUpdate, []Endpoint{c.entry})
		if rebuilt := h.router.endpoints.placement(homeZone) != before; rebuilt != c.rebuilt {
			t.Errorf("%s: placement rebuilt %v, want %v", c.name, rebuilt, c.rebuilt)
		}
		if h.router.endpoints.placements[otherZones] != nil {
			t.Errorf("%s: the placement of all zones was built though nothing needs it", c.name)
		}
	}
	slices.Reverse(endpoints)
	other := newHarness(t, h.settings, endpoints).router
	if !slices.Equal(replicas, replicasOf(h.router, "k")) {
		t.Error("keys moved at home as a cache left another zone")
	}
	if !slices.Equal(replicas, replicasOf(other, "k")) {
		t.Error("nodes with the same list disagree")
	}
	if newHarness(t, h.settings, testFleet(30, true)).router.endpoints.zoneLocal {
		t.Error("a fleet in a single zone has a placement of the zone's own")
	}
}

func TestUnreachableSlotPassesItsKeysToTheLeft(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet(14, false)) // two slots a segment
	slots := h.router.endpoints.placement(homeZone)[0].slots
	for range failuresToEject {
		h.router.outliers.recordFailure(0, slots[1], ConnectFailed)
	}
	for key := range uint64(100) {
		if h.router.endpoints.lookup(1, homeZone, 0, keyhash.Mix(key)) != slots[0] {
			t.Fatal("a key of the unreachable cache's slot did not pass to the left")
		}
	}
}
