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

// Role is what a node is here.
type Role string

// The roles.
const (
	Hollow Role = "hollow" // its control part only, many to a process
	Real   Role = "real"   // a process of its own, by the program's own serve
)

// Place is one node: its location and its addresses.
type Place struct {
	Name   string   `json:"name"`
	Role   Role     `json:"role"`
	Region RegionID `json:"region"`
	Site   int      `json:"site"`
	Zone   int      `json:"zone"`
	Addr   string   `json:"addr"` // for other nodes
	List   string   `json:"list"` // of the discovery that it calls
}

// An address tells region and role: 127.REGION+firstRegion.K.N, with K from realFrom on for real nodes.
const (
	firstRegion = 10
	realFrom    = 200
	inOctet     = 250
)

// AssignPlaces gives each node its place. The real ones are all in the first region, as no rule would apply between two of them.
// Each of the others goes to the region with the fewest nodes.
func AssignPlaces(nodes, real int, at Places, port uint16) (all []Place) {
	in, hollows := make([]int, at.Regions), make([]int, at.Regions)
	for i := range nodes {
		p := Place{Name: fmt.Sprintf("n%d", i+1), Role: Hollow}
		k := 0
		if i < real {
			p.Role, k = Real, realFrom*inOctet+i
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
		p.Addr = fmt.Sprintf("127.%d.%d.%d:%d", firstRegion+int(p.Region), k/inOctet, k%inOctet+1, port)
		all = append(all, p)
	}
	return all
}

// siteOrZone is the site or zone of a region's node with a number, of so many in all regions. Sites and zones are dealt
// out to regions in turn, and a region's nodes in turn to its own.
func siteOrZone(number int, region RegionID, regions, of int) int {
	mine := (of - int(region) + regions - 1) / regions
	return number%mine*regions + int(region)
}

// locate returns the region and role of the node that has an address; false where no node has it.
func locate(at netip.Addr) (region RegionID, role Role, ok bool) {
	at = at.Unmap()
	if !at.Is4() {
		return 0, "", false
	}
	b := at.As4()
	if b[0] != 127 || b[1] < firstRegion {
		return 0, "", false
	}
	role = Hollow
	if b[2] >= realFrom {
		role = Real
	}
	return RegionID(b[1] - firstRegion), role, true
}

// Faults are the rules between regions, with which a run begins.
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

// cut cuts a region off from all others, or ends that.
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
