package scale

import (
	"net/netip"
	"testing"
)

// An address stands for one node, and tells the region and the role, as rules go by it. Real nodes stand together, and regions, sites and
// zones are filled evenly.
func TestLay(t *testing.T) {
	for _, c := range []struct{ nodes, real, regions, sites, zones int }{
		{480, 8, 11, 28, 37}, {12, 2, 1, 1, 1}, {60, 12, 11, 28, 37}, {2000, 32, 2, 3, 5},
	} {
		all, addrs, in, zones := Lay(c.nodes, c.real, Places{c.regions, c.sites, c.zones}, 7946), map[string]bool{}, map[RegionID]int{}, map[int]int{}
		for i, p := range all {
			region, role, ok := locateAddr(p.Addr)
			if !ok || region != p.Region || role != p.Role || addrs[p.Addr] || (p.Role == Real) != (i < c.real) || p.Role == Real && p.Region != 0 ||
				p.Site%c.regions != int(p.Region) || p.Zone%c.regions != int(p.Region) || p.Site >= c.sites || p.Zone >= c.zones {
				t.Fatalf("%+v: %+v, read as %v %v %v", c, p, region, role, ok)
			}
			addrs[p.Addr] = true
			in[p.Region]++
			zones[p.Zone]++
		}
		if len(all) != c.nodes || len(in) != c.regions || len(zones) != c.zones {
			t.Errorf("%+v: %d nodes in %d regions and %d zones", c, len(all), len(in), len(zones))
		}
		for r, n := range in {
			if even := c.nodes / c.regions; n < min(even, (c.nodes-c.real)/c.regions) || n > max(even+1, c.real) {
				t.Errorf("%+v: %d in region %d", c, n, r)
			}
		}
	}
	if _, _, ok := locate(netip.MustParseAddr("127.0.0.1")); ok {
		t.Error("127.0.0.1 is no node")
	}
}
