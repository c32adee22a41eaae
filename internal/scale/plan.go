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
	MinNodes               = 3                // the smallest fleet that can lose a node
	MaxNodes               = 2000             // bounded by the sockets of one machine
	MaxRealNodes           = 32               // real nodes, a process each
	MaxSizes               = 12               // measured one after the other
	MaxProcesses           = 300              // of a run
	MaxMemoryMB            = 12_000           // memory of all processes of a run
	maxRegions             = 200              // regions: each takes one value of the second octet of an address
	MinWindow              = 2 * time.Second  // shortest window in which traffic can be counted
	MaxWindow              = 10 * time.Minute // each size has one
	defaultNodesPerProcess = 60               // hollow nodes in a process
	maxBudget              = 1e6              // of any unit
)

// Plan states which sizes are measured, and how.
type Plan struct {
	Nodes           int           // the stated size
	Sizes           []int         // measured, the lowest first
	Real            int           // real nodes at each size
	Window          time.Duration // length of the steady phase
	Seed            int64
	File            File
	NodesPerProcess int // hollow nodes per process; 0 for the default
}

// File is the operator's description of a planned fleet. Without it there is one region, without faults or a budget.
type File struct {
	Places      Places              `toml:"places"`
	Starts      Starts              `toml:"starts"`
	RegionLinks RegionLinks         `toml:"between"`
	Partition   Partition           `toml:"cut"`
	Crash       Crash               `toml:"lost"`
	List        List                `toml:"list"`
	Members     fleetconfig.Members `toml:"members"` // as in a node's own file
	Budget      Budget              `toml:"budget"`
}

// Places is the number of regions, sites and zones. Nodes are spread evenly over them.
type Places struct {
	Regions int `toml:"regions"`
	Sites   int `toml:"sites"`
	Zones   int `toml:"zones"`
}

// Starts is how nodes are started: one after the other. Started all at once, they would compete for
// the cores of one machine, which the nodes of a deployed fleet do not.
type Starts struct {
	IntervalMs float64 `toml:"apart_ms"` // between two starts
}

// RegionLinks is the network between regions: one rule for each pair. Within a region there are no faults.
type RegionLinks struct {
	DelayMs    float64 `toml:"delay_ms"`      // lowest one-way delay of any pair
	MaxDelayMs float64 `toml:"delay_most_ms"` // highest one-way delay; each pair has one delay, drawn between the two
	JitterMs   float64 `toml:"late_ms"`       // maximum jitter of a message, which reorders messages
	Loss       float64 `toml:"loss"`          // share of datagrams
}

// Partition is a partition of one region from all others for a time; 0 s for none.
type Partition struct {
	Region int     `toml:"region"` // from 0
	ForS   float64 `toml:"for_s"`
}

// Crash is a crash of one hollow node, which is started again after a time; 0 s for none.
type Crash struct {
	ForS float64 `toml:"for_s"`
}

// List is the endpoint list that discovery serves.
type List struct {
	Caches int `toml:"caches"` // endpoints in it
}

// Budget limits the mean usage of a node at the stated size, over all nodes in the steady phase; 0 for no limit.
type Budget struct {
	CorePercent float64 `toml:"core_percent"` // of one core
	MemoryMB    float64 `toml:"memory_mb"`    // resident
	KBPerS      float64 `toml:"kb_per_s"`     // thousands of bytes, sent and received together
}

// defaultFile returns the settings that apply without a file.
func defaultFile() File {
	return File{
		Places:  Places{Regions: 1, Sites: 1, Zones: 1},
		Starts:  Starts{IntervalMs: 25},
		Members: fleetconfig.Default().Members,
	}
}

// ReadFile reads an operator's file; without a path it returns the default.
func ReadFile(path string) (File, error) {
	if path == "" {
		return defaultFile(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("the fleet's size cannot be read: %w", err)
	}
	return ParseFile(path, text)
}

// ParseFile parses an operator's file. Its error lists every invalid setting with its line.
func ParseFile(name string, text []byte) (File, error) {
	f := defaultFile()
	c, err := strictconfig.Parse(name, text, &f)
	if err != nil {
		return f, err
	}
	c.InRange(float64(f.Places.Regions), 1, maxRegions, "places.regions")
	c.InRange(float64(f.Places.Sites), float64(f.Places.Regions), MaxNodes, "places.sites")
	c.InRange(float64(f.Places.Zones), float64(f.Places.Regions), MaxNodes, "places.zones")
	c.InRange(f.Starts.IntervalMs, 1, 10_000, "starts.apart_ms")
	c.InRange(f.RegionLinks.DelayMs, 0, 2000, "between.delay_ms")
	if f.RegionLinks.MaxDelayMs == 0 {
		f.RegionLinks.MaxDelayMs = f.RegionLinks.DelayMs
	}
	c.InRange(f.RegionLinks.MaxDelayMs, f.RegionLinks.DelayMs, 2000, "between.delay_most_ms")
	c.InRange(f.RegionLinks.JitterMs, 0, 2000, "between.late_ms")
	c.InRange(f.RegionLinks.Loss, 0, 0.9, "between.loss")
	c.InRange(f.Partition.ForS, 0, 600, "cut.for_s")
	c.InRange(float64(f.Partition.Region), 0, float64(f.Places.Regions-1), "cut.region")
	c.Require(f.Partition.ForS == 0 || f.Places.Regions > 1, "cut.for_s", "there is one region only")
	c.InRange(f.Crash.ForS, 0, 600, "lost.for_s")
	c.InRange(float64(f.List.Caches), 0, 10_000, "list.caches")
	fleetconfig.CheckMembers(c, &f.Members)
	c.InRange(f.Budget.CorePercent, 0, maxBudget, "budget.core_percent")
	c.InRange(f.Budget.MemoryMB, 0, maxBudget, "budget.memory_mb")
	c.InRange(f.Budget.KBPerS, 0, maxBudget, "budget.kb_per_s")
	return f, c.Err()
}

// Check completes a plan with defaults and sorts its sizes. Its error is a single line that names the flag at fault.
func (p *Plan) Check() error {
	if p.NodesPerProcess == 0 {
		p.NodesPerProcess = defaultNodesPerProcess
	}
	if len(p.Sizes) == 0 {
		for part := 8; part >= 1; part /= 2 {
			if n := p.Nodes / part; n >= MinNodes && n > p.Real {
				p.Sizes = append(p.Sizes, n)
			}
		}
	}
	slices.Sort(p.Sizes)
	p.Sizes = slices.Compact(p.Sizes)
	switch {
	case p.Nodes < MinNodes || p.Nodes > MaxNodes:
		return fmt.Errorf("--nodes %d is not from %d to %d", p.Nodes, MinNodes, MaxNodes)
	case p.Real < 0 || p.Real > MaxRealNodes:
		return fmt.Errorf("--real %d is not from 0 to %d", p.Real, MaxRealNodes)
	case p.Window < MinWindow || p.Window > MaxWindow:
		return fmt.Errorf("--for %v is not from %v to %v", p.Window, MinWindow, MaxWindow)
	case len(p.Sizes) == 0:
		return fmt.Errorf("--nodes %d and --real %d leave no size to measure", p.Nodes, p.Real)
	case len(p.Sizes) > MaxSizes:
		return fmt.Errorf("--sizes are more than %d", MaxSizes)
	}
	for _, n := range p.Sizes {
		if n < MinNodes || n > MaxNodes || n <= p.Real {
			return fmt.Errorf("--sizes: %d is not from %d to %d, or no more than the real ones",
				n, MinNodes, MaxNodes)
		}
		if processes := p.Real + (n-p.Real+p.NodesPerProcess-1)/p.NodesPerProcess + 1; processes > MaxProcesses {
			return fmt.Errorf("--sizes: %d takes %d processes, and %d are the most", n, processes, MaxProcesses)
		}
	}
	return nil
}
