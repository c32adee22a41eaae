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
	MinNodes               = 3                // smallest fleet that can lose a node
	MaxNodes               = 2000             // limited by the sockets of one machine
	MaxRealNodes           = 32               // real nodes, each in its own process
	MaxSizes               = 12               // sizes, measured one after the other
	MaxProcesses           = 300              // processes of a run
	MaxMemoryMB            = 12_000           // memory of all processes of a run
	maxRegions             = 200              // regions: each uses one value of the second octet of addresses
	MinWindow              = 2 * time.Second  // shortest window in which traffic can be counted
	MaxWindow              = 10 * time.Minute // longest window; each size has one
	defaultNodesPerProcess = 60               // simulated nodes in a process
	maxBudget              = 1e6              // in any unit
)

// Plan states which sizes are measured, and how.
type Plan struct {
	Nodes           int           // the stated size, to which the budget applies
	Sizes           []int         // sizes that are measured, in ascending order
	Real            int           // number of real nodes at each size
	Window          time.Duration // length of the steady phase
	Seed            int64
	File            File
	NodesPerProcess int // simulated nodes per process; 0 for the default
}

// File is the operator's description of a planned fleet. The default is one region, without faults and without a
// budget.
type File struct {
	Places      Places              `toml:"places"`
	Starts      Starts              `toml:"starts"`
	RegionLinks RegionLinks         `toml:"between"`
	Partition   Partition           `toml:"cut"`
	Crash       Crash               `toml:"lost"`
	List        List                `toml:"list"`
	Members     fleetconfig.Members `toml:"members"` // as in a node's fleet file
	Budget      Budget              `toml:"budget"`
}

// Places holds the numbers of regions, sites and zones. Nodes are spread evenly over them.
type Places struct {
	Regions int `toml:"regions"`
	Sites   int `toml:"sites"`
	Zones   int `toml:"zones"`
}

// Starts configures the starts of nodes, which take place one after the other. Nodes that start simultaneously would
// compete for the cores of one machine, unlike the nodes of a deployed fleet.
type Starts struct {
	IntervalMs float64 `toml:"apart_ms"` // between two starts
}

// RegionLinks configures the network between regions, with one rule for each pair. Within a region there are no faults.
type RegionLinks struct {
	DelayMs    float64 `toml:"delay_ms"`      // minimum one-way delay
	MaxDelayMs float64 `toml:"delay_most_ms"` // maximum one-way delay; each pair's is drawn from the range
	JitterMs   float64 `toml:"late_ms"`       // maximum jitter of a message, which reorders messages
	Loss       float64 `toml:"loss"`          // share of lost datagrams
}

// Partition configures a partition of one region from all others.
type Partition struct {
	Region int     `toml:"region"` // number of the region, from 0
	ForS   float64 `toml:"for_s"`  // duration in seconds; 0 for no partition
}

// Crash configures a crash of one simulated node, which is then restarted.
type Crash struct {
	ForS float64 `toml:"for_s"` // time until the restart in seconds; 0 for no crash
}

// List configures the endpoint list that discovery serves.
type List struct {
	Caches int `toml:"caches"` // number of endpoints
}

// Budget limits the mean usage of a node in the steady phase at the stated size; 0 for no limit.
type Budget struct {
	CorePercent float64 `toml:"core_percent"` // percent of one core
	MemoryMB    float64 `toml:"memory_mb"`    // resident memory
	KBPerS      float64 `toml:"kb_per_s"`     // kB sent and received per second
}

// defaultFile returns the settings that apply without a file.
func defaultFile() File {
	return File{
		Places:  Places{Regions: 1, Sites: 1, Zones: 1},
		Starts:  Starts{IntervalMs: 25},
		Members: fleetconfig.Default().Members,
	}
}

// ReadFile reads an operator's file. For an empty path it returns the default.
func ReadFile(path string) (File, error) {
	if path == "" {
		return defaultFile(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("the file of the planned fleet cannot be read: %w", err)
	}
	return ParseFile(path, text)
}

// ParseFile parses an operator's file. Its error names each invalid setting with its line.
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

// check checks a budget that flags may have set. Its error is a single line that names the invalid flag.
func (b *Budget) check() error {
	for _, limit := range []struct {
		flag  string
		value float64
	}{
		{"--core", b.CorePercent},
		{"--memory", b.MemoryMB},
		{"--kb", b.KBPerS},
	} {
		isLimit := limit.value >= 0 && limit.value <= maxBudget // false for NaN
		if !isLimit {
			return fmt.Errorf("%s %v is not from 0 to %v", limit.flag, limit.value, maxBudget)
		}
	}
	return nil
}

// Check completes a plan with defaults, sorts its sizes and checks it. Its error is a single line that names the
// invalid flag.
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
		return fmt.Errorf("--sizes lists %d sizes, more than %d", len(p.Sizes), MaxSizes)
	}
	for _, n := range p.Sizes {
		if n < MinNodes || n > MaxNodes || n <= p.Real {
			return fmt.Errorf("--sizes: %d is not from %d to %d, or not over the number of real nodes, %d",
				n, MinNodes, MaxNodes, p.Real)
		}
		if processes := p.Real + (n-p.Real+p.NodesPerProcess-1)/p.NodesPerProcess + 1; processes > MaxProcesses {
			return fmt.Errorf("--sizes: %d needs %d processes, more than %d", n, processes, MaxProcesses)
		}
	}
	return p.File.Budget.check()
}
