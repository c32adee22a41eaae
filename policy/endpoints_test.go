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
				t.Fatalf("%d caches: a segment has %d slots", n, inSegment)
			}
		}
	}
}

// When a cache leaves, few keys besides its own may move, and what was learned about the other caches must remain. When
// it comes back, placement must be the same as at a node that never saw it leave, for any order of the list.
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
		if moved > 450 { // 30%; the removed cache held 3% to 14% of a small fleet
			t.Errorf("%d caches: removing one moved %d of %d replicas", n, moved, replicaCount*keys)
		}
		changed.UpdateEndpoints(0, DeltaUpdate, endpoints[:1])
		if !slices.Equal(replicasOf(steady, "k"), replicasOf(changed, "k")) {
			t.Errorf("%d caches: nodes with the same list disagree", n)
		}
		if changed.endpoints.byID[endpoints[1].ID] != known {
			t.Errorf("%d caches: removing a cache discarded what was learned about another", n)
		}
	}
}

// Building placements is most of the cost of an update in a large fleet, so they are built only when the set of caches
// has changed and only once needed. Nodes of a zone must agree on them, and a fleet in a single zone has one placement
// regardless of the cross-zone cost.
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
			t.Errorf("%s: placement rebuilt: %v, want %v", c.name, rebuilt, c.rebuilt)
		}
		if h.router.endpoints.placements[otherZones] != nil {
			t.Errorf("%s: the placement of all zones was built although it is not needed", c.name)
		}
	}
	slices.Reverse(endpoints)
	other := newHarness(t, h.settings, endpoints).router
	if !slices.Equal(replicas, replicasOf(h.router, "k")) {
		t.Error("keys moved in the home zone when a cache left another zone")
	}
	if !slices.Equal(replicas, replicasOf(other, "k")) {
		t.Error("nodes with the same list disagree")
	}
	if newHarness(t, h.settings, testFleet(30, true)).router.endpoints.zoneLocal {
		t.Error("a fleet in a single zone has a separate placement for the home zone")
	}
}

func TestUnreachableSlotPassesItsKeysToTheLeft(t *testing.T) {
	h := newHarness(t, testSettings(), testFleet(14, false)) // two slots per segment
	slots := h.router.endpoints.placement(homeZone)[0].slots
	for range failuresToEject {
		h.router.outliers.recordFailure(0, slots[1], ConnectFailed)
	}
	for key := range uint64(100) {
		if h.router.endpoints.lookup(1, homeZone, 0, keyhash.Mix(key)) != slots[0] {
			t.Fatal("a key of the unreachable cache's slot was not passed to its left neighbour")
		}
	}
}
