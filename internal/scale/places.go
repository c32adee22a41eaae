package scale

import (
	"fmt"
	"net/netip"
	"time"

	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/keyhash"
)

// RegionID is a region's number, from 0.
type RegionID int

// Role tells hollow nodes from real ones.
type Role string

// The roles.
const (
	Simulated Role = "hollow" // runs only the control plane, many to a process
	Real      Role = "real"   // a process of its own that runs the command serve
)

// Place is one node: its location and its addresses.
type Place struct {
	Name   string   `json:"name"`
	Role   Role     `json:"role"`
	Region RegionID `json:"region"`
	Site   int      `json:"site"`
	Zone   int      `json:"zone"`
	Addr   string   `json:"addr"` // for other nodes
	List   string   `json:"list"` // address of the discovery that it polls
}

// An address encodes region and role: 127.REGION+firstRegion.K.N, with K from firstRealOctet on for real nodes.
const (
	firstRegion    = 10
	firstRealOctet = 200
	nodesPerOctet  = 250
)

// AssignPlaces assigns each node a place. All real nodes are in the first region, as no rule would apply between two of
// them. Each of the others goes to the region with the fewest nodes.
func AssignPlaces(nodes, real int, at Places, port uint16) (all []Place) {
	in, hollows := make([]int, at.Regions), make([]int, at.Regions)
	for i := range nodes {
		p := Place{Name: fmt.Sprintf("n%d", i+1), Role: Simulated}
		k := 0
		if i < real {
			p.Role, k = Real, firstRealOctet*nodesPerOctet+i
		} else {
			for r := range in {
				if in[r] < in[p.Region] {
					p.Region = RegionID(r)
				}
			}
			k = hollows[p.Region]
			hollows[p.Region]++
		}
		number := in[p.Region]
		in[p.Region]++
		p.Site = siteOrZone(number, p.Region, at.Regions, at.Sites)
		p.Zone = siteOrZone(number, p.Region, at.Regions, at.Zones)
		p.Addr = fmt.Sprintf("127.%d.%d.%d:%d", firstRegion+int(p.Region), k/nodesPerOctet, k%nodesPerOctet+1, port)
		all = append(all, p)
	}
	return all
}

// siteOrZone returns the site or zone of the numbered node of a region. Sites and zones are assigned to regions
// round-robin, and the nodes of a region to its own sites and zones likewise.
func siteOrZone(number int, region RegionID, regions, of int) int {
	mine := (of - int(region) + regions - 1) / regions
	return number%mine*regions + int(region)
}

// locate returns the region and role that an address encodes; false if it is not the address of a node.
func locate(at netip.Addr) (region RegionID, role Role, ok bool) {
	at = at.Unmap()
	if !at.Is4() {
		return 0, "", false
	}
	b := at.As4()
	if b[0] != 127 || b[1] < firstRegion {
		return 0, "", false
	}
	role = Simulated
	if b[2] >= firstRealOctet {
		role = Real
	}
	return RegionID(b[1] - firstRegion), role, true
}

// Faults returns the rules between regions at the start of a run.
func (f *File) Faults(seed int64) *netfault.Faults {
	faults := netfault.New(uint32(seed))
	chance := keyhash.Source{Seed: uint32(seed) ^ 0x5ca1e}
	for a := range f.Places.Regions {
		for b := range a {
			d := ms(f.RegionLinks.DelayMs + chance.Float64()*(f.RegionLinks.MaxDelayMs-f.RegionLinks.DelayMs))
			for _, pair := range [][2]int{{a, b}, {b, a}} {
				faults.Change(pair[0], pair[1], func(link *netfault.Link) {
					link.Delay = d
					link.Jitter = ms(f.RegionLinks.JitterMs)
					link.Loss = f.RegionLinks.Loss
				})
			}
		}
	}
	return faults
}

// cut partitions a region from all others, or heals the partition.
func cut(faults *netfault.Faults, region RegionID, regions int, off bool) {
	for other := range regions {
		if other == int(region) {
			continue
		}
		faults.Change(int(region), other, func(link *netfault.Link) { link.Cut = off })
		faults.Change(other, int(region), func(link *netfault.Link) { link.Cut = off })
	}
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
