package scale

import (
	"testing"
)

// Where all caches stand in one zone nothing crosses and all is lost with it; where each has a zone of its own no two holders go at once. In
// between, two of three holders share one of few crowded zones about as often as chance has it: 13 pairs of 1,225, three to a key.
func TestPlacement(t *testing.T) {
	for name, c := range map[string]struct {
		places                   Places
		caches                   int
		price                    float64
		zone, region, two, twoIn [2]float64 // least and most: first attempts that leave the zone, the region; keys with two in one
	}{
		"one zone":         {Places{1, 1, 1}, 20, 0.2, [2]float64{0, 0}, [2]float64{0, 0}, [2]float64{1, 1}, [2]float64{1, 1}},
		"a zone each":      {Places{1, 1, 14}, 14, 0, [2]float64{0.91, 0.95}, [2]float64{0, 0}, [2]float64{0, 0}, [2]float64{1, 1}},
		"few in many":      {Places{11, 28, 37}, 50, 0, [2]float64{0.96, 0.985}, [2]float64{0.89, 0.93}, [2]float64{0.025, 0.04}, [2]float64{0.17, 0.23}},
		"at a price":       {Places{11, 28, 37}, 50, 0.2, [2]float64{0.9, 0.94}, [2]float64{0.82, 0.89}, [2]float64{0.025, 0.04}, [2]float64{0.17, 0.23}},
		"its own deal too": {Places{3, 3, 3}, 60, 0.2, [2]float64{0, 0.01}, [2]float64{0, 0.01}, [2]float64{0.999, 1}, [2]float64{0.999, 1}},
	} {
		x := PlaceKeys(c.places, c.caches, 9000, 480, c.price)
		for what, got := range map[string][3]float64{"zone": {x.First.Zone, c.zone[0], c.zone[1]}, "region": {x.First.Region, c.region[0], c.region[1]},
			"two in a zone": {x.TwoInZone, c.two[0], c.two[1]}, "two in a region": {x.TwoInRegion, c.twoIn[0], c.twoIn[1]}} {
			if got[0] < got[1] || got[0] > got[2] {
				t.Errorf("%s, %s: %.4f is not from %v to %v", name, what, got[0], got[1], got[2])
			}
		}
		if x.Holders < replicasOfKey-1 || x.Holders > replicasOfKey || x.First.Attempts != x.Keys || x.Second.Attempts < x.Keys/rejectEach*9/10 {
			t.Errorf("%s: %+v", name, x)
		}
	}
}
