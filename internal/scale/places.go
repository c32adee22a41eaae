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

// Role distinguishes simulated nodes from real ones.
type Role string

// The roles.
const (
	Simulated Role = "hollow" // runs only the control plane, in a process with many others
	Real      Role = "real"   // a process of its own, which runs the command serve
)

// Place is the location of a node and its addresses.
type Place struct {
	Name   string   `json:"name"`
	Role   Role     `json:"role"`
	Region RegionID `json:"region"`
	Site   int      `json:"site"`
	Zone   int      `json:"zone"`
	Addr   string   `json:"addr"` // for other nodes
	List   string   `json:"list"` // address at which the node polls discovery
}

// The address of a node is 127.(firstRegion+REGION).K.N. K is at least firstRealOctet for real nodes, and less for
// simulated ones.
const (
	firstRegion    = 10
	firstRealOctet = 200
	nodesPerOctet  = 250
)

// AssignPlaces assigns a place to each node. All real nodes are in the first region, as no process would apply a rule
// to messages between two of them. Each of the other nodes is placed in the region that has the fewest nodes.
func AssignPlaces(nodes, real int, at Places, port uint16) (all []Place) {
	nodesIn, simulated := make([]int, at.Regions), make([]int, at.Regions)
	for i := range nodes {
		p := Place{Name: fmt.Sprintf("n%d", i+1), Role: Simulated}
		hostNumber := 0
		if i < real {
			p.Role, hostNumber = Real, firstRealOctet*nodesPerOctet+i
		} else {
			for r := range nodesIn {
				if nodesIn[r] < nodesIn[p.Region] {
					p.Region = RegionID(r)
				}
			}
			hostNumber = simulated[p.Region]
			simulated[p.Region]++
		}
		number := nodesIn[p.Region]
		nodesIn[p.Region]++
		p.Site = siteOrZone(number, p.Region, at.Regions, at.Sites)
		p.Zone = siteOrZone(number, p.Region, at.Regions, at.Zones)
		p.Addr = fmt.Sprintf("127.%d.%d.%d:%d",
			firstRegion+int(p.Region), hostNumber/nodesPerOctet, hostNumber%nodesPerOctet+1, port)
		all = append(all, p)
	}
	return all
}

// siteOrZone returns the site or zone of a region's node with a number. Sites and zones are assigned to regions
// round-robin, and so are the nodes of a region to its sites and zones.
func siteOrZone(number int, region RegionID, regions, of int) int {
	mine := (of - int(region) + regions - 1) / regions
	return number%mine*regions + int(region)
}

// locate returns the region and the role that an address encodes, or false if it is not the address of a node.
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

// Faults returns the network rules between regions at the start of a run.
func (f *File) Faults(seed int64) *netfault.Faults {
	faults := netfault.New(uint32(seed))
	random := keyhash.Source{Seed: uint32(seed) ^ 0x5ca1e}
	for a := range f.Places.Regions {
		for b := range a {
			d := ms(f.RegionLinks.DelayMs + random.Float64()*(f.RegionLinks.MaxDelayMs-f.RegionLinks.DelayMs))
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

// cut cuts a region off from all others, or reconnects it.
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
