// Package scale measures what the control part of a fleet costs at its size, on one machine: nodes without clients and caches, many to a
// process (hollow nodes, as Kubemark has them), beside real ones, with rules between regions and a region that is cut off. It counts bytes,
// messages, processor time and memory by size, and says by how much each grows with a node more.
package scale

import (
	"fmt"
	"os"
	"slices"
	"time"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/config/strictconfig"
)

// Bounds of a run.
const (
	FewestNodes   = 3                // the least that can take one out
	MostNodes     = 2000             // sockets of all must fit one machine
	MostReal      = 32               // processes that are nodes
	MostSizes     = 12               // measured one after the other
	MostProcesses = 300              // of a run
	MostMB        = 12_000           // that they take together
	mostPlaces    = 200              // regions: a part of the address each
	ShortestFor   = 2 * time.Second  // a window in which anything can be counted
	LongestFor    = 10 * time.Minute // each size has one
	hollowsEach   = 60               // hollow nodes in a process
)

// Plan is what is measured, and how.
type Plan struct {
	Nodes  int           // the stated size
	Sizes  []int         // measured, the lowest first
	Real   int           // of each size, nodes that are processes of their own
	Window time.Duration // for which each size is measured once it is steady
	Seed   int64
	File   File
	Each   int // hollow nodes in a process; 0 for the usual
}

// File is what an operator states of a fleet to be. Without it there is one region, nothing goes wrong and no budget is stated.
type File struct {
	Places  Places              `toml:"places"`
	Starts  Starts              `toml:"starts"`
	Between Between             `toml:"between"`
	Cut     Cut                 `toml:"cut"`
	Lost    Lost                `toml:"lost"`
	List    List                `toml:"list"`
	Members fleetconfig.Members `toml:"members"` // as in a node's own file
	Budget  Budget              `toml:"budget"`
}

// Places say where nodes stand: in regions, turn and turn about.
type Places struct {
	Regions int `toml:"regions"`
	Sites   int `toml:"sites"`
	Zones   int `toml:"zones"`
}

// Starts are how nodes are started: one after the other, or all fight for the one machine's cores at once, which nodes of a fleet do not.
type Starts struct {
	ApartMs float64 `toml:"apart_ms"`
}

// Between is what becomes of what crosses from one region to another: one rule for each pair. Within a region nothing goes wrong.
type Between struct {
	DelayMs     float64 `toml:"delay_ms"`      // the least of any pair
	DelayMostMs float64 `toml:"delay_most_ms"` // the most: each pair has one delay from here to there, by chance
	LateMs      float64 `toml:"late_ms"`       // more for each message, by chance, so that they overtake each other
	Loss        float64 `toml:"loss"`          // share of datagrams
}

// Cut is one region that neither hears nor is heard for a time. Without a time there is none.
type Cut struct {
	Region int     `toml:"region"` // from 0
	ForS   float64 `toml:"for_s"`
}

// Lost is one hollow node that ends at once, without a word, and is started anew. Without a time there is none.
type Lost struct {
	ForS float64 `toml:"for_s"`
}

// List is what discovery tells.
type List struct {
	Caches int `toml:"caches"`
}

// Budget is what a node may take at the stated size; 0 for none stated. It holds for the mean over all nodes while nothing happens.
type Budget struct {
	CorePercent float64 `toml:"core_percent"` // of one core
	MemoryMB    float64 `toml:"memory_mb"`    // resident
	KBPerS      float64 `toml:"kb_per_s"`     // thousands of bytes, sent and received together
}

func usual() File {
	return File{Places: Places{Regions: 1, Sites: 1, Zones: 1}, Starts: Starts{ApartMs: 25}, Members: fleetconfig.Default().Members}
}

// ReadFile reads such a file; no name is for the usual.
func ReadFile(path string) (File, error) {
	if path == "" {
		return usual(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("the fleet's size cannot be read: %w", err)
	}
	return ParseFile(path, text)
}

// ParseFile reads its text; what is wrong is told with its line.
func ParseFile(name string, text []byte) (File, error) {
	f := usual()
	c, err := strictconfig.Parse(name, text, &f)
	if err != nil {
		return f, err
	}
	c.InRange(float64(f.Places.Regions), 1, mostPlaces, "places.regions")
	c.InRange(float64(f.Places.Sites), float64(f.Places.Regions), MostNodes, "places.sites")
	c.InRange(float64(f.Places.Zones), float64(f.Places.Regions), MostNodes, "places.zones")
	c.InRange(f.Starts.ApartMs, 1, 10_000, "starts.apart_ms")
	c.InRange(f.Between.DelayMs, 0, 2000, "between.delay_ms")
	if f.Between.DelayMostMs == 0 {
		f.Between.DelayMostMs = f.Between.DelayMs
	}
	c.InRange(f.Between.DelayMostMs, f.Between.DelayMs, 2000, "between.delay_most_ms")
	c.InRange(f.Between.LateMs, 0, 2000, "between.late_ms")
	c.InRange(f.Between.Loss, 0, 0.9, "between.loss")
	c.InRange(f.Cut.ForS, 0, 600, "cut.for_s")
	c.InRange(float64(f.Cut.Region), 0, float64(f.Places.Regions-1), "cut.region")
	c.Require(f.Cut.ForS == 0 || f.Places.Regions > 1, "cut.for_s", "there is one region only")
	c.InRange(f.Lost.ForS, 0, 600, "lost.for_s")
	c.InRange(float64(f.List.Caches), 0, 10_000, "list.caches")
	fleetconfig.CheckMembers(c, &f.Members)
	for path, x := range map[string]float64{"core_percent": f.Budget.CorePercent, "memory_mb": f.Budget.MemoryMB, "kb_per_s": f.Budget.KBPerS} {
		c.InRange(x, 0, 1e6, "budget."+path)
	}
	return f, c.Err()
}

// Check tells in one line what is wrong with a plan, and puts its sizes in order.
func (p *Plan) Check() error {
	if p.Each == 0 {
		p.Each = hollowsEach
	}
	if len(p.Sizes) == 0 {
		for part := 8; part >= 1; part /= 2 {
			if n := p.Nodes / part; n >= FewestNodes && n > p.Real {
				p.Sizes = append(p.Sizes, n)
			}
		}
	}
	slices.Sort(p.Sizes)
	p.Sizes = slices.Compact(p.Sizes)
	switch {
	case p.Nodes < FewestNodes || p.Nodes > MostNodes:
		return fmt.Errorf("--nodes %d is not from %d to %d", p.Nodes, FewestNodes, MostNodes)
	case p.Real < 0 || p.Real > MostReal:
		return fmt.Errorf("--real %d is not from 0 to %d", p.Real, MostReal)
	case p.Window < ShortestFor || p.Window > LongestFor:
		return fmt.Errorf("--for %v is not from %v to %v", p.Window, ShortestFor, LongestFor)
	case len(p.Sizes) == 0:
		return fmt.Errorf("--nodes %d and --real %d leave no size to measure", p.Nodes, p.Real)
	case len(p.Sizes) > MostSizes:
		return fmt.Errorf("--sizes are more than %d", MostSizes)
	}
	for _, n := range p.Sizes {
		if n < FewestNodes || n > MostNodes || n <= p.Real {
			return fmt.Errorf("--sizes: %d is not from %d to %d, or no more than the real ones", n, FewestNodes, MostNodes)
		}
		if processes := p.Real + (n-p.Real+p.Each-1)/p.Each + 1; processes > MostProcesses {
			return fmt.Errorf("--sizes: %d takes %d processes, and %d are the most", n, processes, MostProcesses)
		}
	}
	return nil
}
