package scale

import "testing"

// within is a range of shares, including both ends.
type within struct{ least, most float64 }

// If all caches are in one zone, no attempt must leave it, and all replicas of a key are in it. If each cache has its
// own zone, no two replicas must be in the same zone. With 50 caches in 37 zones, two of a key's three replicas may
// share a zone about as often as by chance: 13 of the 1,225 pairs of caches do, and each key has three pairs.
func TestPlaceKeysSpreadsReplicasOverZones(t *testing.T) {
	for name, c := range map[string]struct {
		places      Places
		caches      int
		price       float64
		zone        within // first attempts that leave the zone
		region      within // first attempts that leave the region
		twoInZone   within // keys with two replicas in one zone
		twoInRegion within // keys with two replicas in one region
	}{
		"one zone": {
			places:      Places{Regions: 1, Sites: 1, Zones: 1},
			caches:      20,
			price:       0.2,
			zone:        within{0, 0},
			region:      within{0, 0},
			twoInZone:   within{1, 1},
			twoInRegion: within{1, 1},
		},
		"one zone per cache": {
			places:      Places{Regions: 1, Sites: 1, Zones: 14},
			caches:      14,
			zone:        within{0.91, 0.95},
			region:      within{0, 0},
			twoInZone:   within{0, 0},
			twoInRegion: within{1, 1},
		},
		"50 caches in 37 zones": {
			places:      Places{Regions: 11, Sites: 28, Zones: 37},
			caches:      50,
			zone:        within{0.96, 0.985},
			region:      within{0.89, 0.93},
			twoInZone:   within{0.025, 0.04},
			twoInRegion: within{0.17, 0.23},
		},
		"50 caches in 37 zones, with a cross-zone cost": {
			places:      Places{Regions: 11, Sites: 28, Zones: 37},
			caches:      50,
			price:       0.2,
			zone:        within{0.9, 0.94},
			region:      within{0.82, 0.89},
			twoInZone:   within{0.025, 0.04},
			twoInRegion: within{0.17, 0.23},
		},
		"replicas placed by zone": {
			places:      Places{Regions: 3, Sites: 3, Zones: 3},
			caches:      60,
			price:       0.2,
			zone:        within{0, 0.01},
			region:      within{0, 0.01},
			twoInZone:   within{0.999, 1},
			twoInRegion: within{0.999, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := PlaceKeys(c.places, c.caches, 9000, 480, c.price)
			expectWithin(t, "first attempts that leave the zone", got.First.Zone, c.zone)
			expectWithin(t, "first attempts that leave the region", got.First.Region, c.region)
			expectWithin(t, "keys with two replicas in a zone", got.TwoInZone, c.twoInZone)
			expectWithin(t, "keys with two replicas in a region", got.TwoInRegion, c.twoInRegion)
			if got.MinReplicas < replicasOfKey-1 || got.MinReplicas > replicasOfKey {
				t.Errorf("a key has %d replicas, want %d or %d", got.MinReplicas, replicasOfKey-1, replicasOfKey)
			}
			if got.First.Attempts != got.Keys || got.Second.Attempts < got.Keys/rejectEvery*9/10 {
				t.Errorf("wrong number of attempts: %+v", got)
			}
		})
	}
}

func expectWithin(t *testing.T, what string, got float64, want within) {
	t.Helper()
	if got < want.least || got > want.most {
		t.Errorf("%s: %.4f is not from %v to %v", what, got, want.least, want.most)
	}
}
