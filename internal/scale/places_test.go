package scale

import (
	"net/netip"
	"testing"
)

// An address must identify one node and encode its region and role, as the network rules depend on them. All real nodes
// must be in one region, and regions, sites and zones must be filled evenly.
func TestAssignPlacesFillsRegionsEvenlyWithUniqueAddresses(t *testing.T) {
	for _, c := range []struct{ nodes, real, regions, sites, zones int }{
		{nodes: 480, real: 8, regions: 11, sites: 28, zones: 37},
		{nodes: 12, real: 2, regions: 1, sites: 1, zones: 1},
		{nodes: 60, real: 12, regions: 11, sites: 28, zones: 37},
		{nodes: 2000, real: 32, regions: 2, sites: 3, zones: 5},
	} {
		places := Places{Regions: c.regions, Sites: c.sites, Zones: c.zones}
		all := AssignPlaces(c.nodes, c.real, places, 7946)
		addrs := map[string]bool{}
		inRegion := map[RegionID]int{}
		inZone := map[int]int{}
		for i, p := range all {
			checkPlace(t, p, i < c.real, places)
			if addrs[p.Addr] {
				t.Fatalf("%+v: %+v has the address of another node", c, p)
			}
			addrs[p.Addr] = true
			inRegion[p.Region]++
			inZone[p.Zone]++
		}
		if len(all) != c.nodes || len(inRegion) != c.regions || len(inZone) != c.zones {
			t.Errorf("%+v: %d nodes in %d regions and %d zones", c, len(all), len(inRegion), len(inZone))
		}
		even := c.nodes / c.regions
		for region, n := range inRegion {
			if n < min(even, (c.nodes-c.real)/c.regions) || n > max(even+1, c.real) {
				t.Errorf("%+v: %d nodes in region %d, want about %d", c, n, region, even)
			}
		}
	}
	if _, _, ok := locate(netip.MustParseAddr("127.0.0.1")); ok {
		t.Error("127.0.0.1 was taken for the address of a node")
	}
}

// checkPlace checks the place of a node and the region and role in its address.
func checkPlace(t *testing.T, p Place, isReal bool, places Places) {
	t.Helper()
	region, role, ok := locateAddr(p.Addr)
	if !ok || region != p.Region || role != p.Role {
		t.Fatalf("%+v: the address encodes region %v and role %v (valid: %t)", p, region, role, ok)
	}
	if (p.Role == Real) != isReal || isReal && p.Region != 0 {
		t.Fatalf("%+v: want the first nodes, and only these, to be real and in the first region", p)
	}
	siteIsOfRegion := p.Site%places.Regions == int(p.Region) && p.Site < places.Sites
	zoneIsOfRegion := p.Zone%places.Regions == int(p.Region) && p.Zone < places.Zones
	if !siteIsOfRegion || !zoneIsOfRegion {
		t.Fatalf("%+v: the site or the zone does not belong to the region", p)
	}
}
