package scale

import (
	"context"
	"time"
)

// The phases of a size.
const (
	forming  = "forming"   // from the first start until all nodes know each other and gossip has settled
	steady   = "steady"    // without faults
	lostOne  = "lost"      // from the crash of a node until its restart
	lostBack = "lost-back" // from the restart until all nodes know each other again and gossip has settled
	cutOff   = "cut"       // a region is cut off
	cutBack  = "cut-back"  // from the end of the cut until all nodes know each other again and gossip has settled
)

var phases = []string{forming, steady, lostOne, lostBack, cutOff, cutBack}

// Size holds the measurements of a fleet of one size.
type Size struct {
	Nodes          int               `json:"nodes"`
	Terms          Terms             `json:"by"`
	Began          time.Time         `json:"began"`
	Processes      int               `json:"processes"`
	Phases         map[string]*Phase `json:"phases"`
	Memory         map[Role]Memory   `json:"memory"`
	AloneMB        float64           `json:"alone_mb"`  // resident memory of the isolated real node; 0 for none
	LostInEmulator uint64            `json:"lost_here"` // messages that the emulated network dropped at a full queue
	Dropped        uint64            `json:"dropped"`   // messages that nodes dropped for lack of capacity
}

// Terms are the conditions that must be the same for two measurements to be comparable.
type Terms struct {
	Real    int     `json:"real"`
	WindowS float64 `json:"window_s"`
	Seed    int64   `json:"seed"`
	File    File    `json:"file"` // without the budget
}

// Terms returns the conditions of the plan's measurements.
func (p *Plan) Terms() Terms {
	f := p.File
	f.Budget = Budget{}
	return Terms{Real: p.Real, WindowS: p.Window.Seconds(), Seed: p.Seed, File: f}
}

// Phase is the resource usage during one phase of a run, by role.
type Phase struct {
	DurationS    float64         `json:"long_s"` // duration in seconds
	ConvergenceS float64         `json:"took_s"` // seconds until all nodes had the expected view
	Roles        map[Role]*Usage `json:"roles"`
	Alone        float64         `json:"alone"` // percent of a core that the isolated real node used; 0 for none
}

// Usage is the rate of resource usage of the nodes of a role.
type Usage struct {
	Nodes     int               `json:"nodes"`
	Flows     map[string]Spread `json:"flows"`     // by flow and measure, such as "hellos out B/s"; "all": sum of flows
	Processor Spread            `json:"processor"` // percent of one core
	Waited    Spread            `json:"waited"`    // time waiting for a core, as a multiple of the CPU time used
}

// Memory is the distribution of memory over nodes, in MB.
type Memory struct {
	Resident Spread `json:"resident"`
	Heap     Spread `json:"heap"` // after a garbage collection; simulated nodes only, as real nodes do not report it
}

const mb = 1e6

// The measures of a flow.
var measures = []struct {
	name string
	of   func(Flow) float64
}{
	{"out B/s", func(f Flow) float64 { return f.Out }},
	{"in B/s", func(f Flow) float64 { return f.In }},
	{"out /s", func(f Flow) float64 { return f.OutMessages }},
	{"in /s", func(f Flow) float64 { return f.InMessages }},
}

// The keys in Usage.Flows of the sums over all flows.
const (
	allFlows            = "all"
	allSent             = allFlows + " out B/s"
	allReceived         = allFlows + " in B/s"
	allSentMessages     = allFlows + " out /s"
	allReceivedMessages = allFlows + " in /s"
	bothWays            = allFlows + " both B/s"
)

// add records a phase as the difference between two snapshots, by role.
func (s *Size) add(f *fleetRun, name string, took time.Duration, from, to snapshot) {
	phaseS := to.at.Sub(from.at).Seconds()
	phase := &Phase{DurationS: phaseS, ConvergenceS: took.Seconds(), Roles: map[Role]*Usage{}}
	samples := map[Role]*roleSamples{}
	for _, place := range f.places {
		if _, seen := to.nodes[place.Name]; !seen {
			continue
		}
		if samples[place.Role] == nil {
			samples[place.Role] = &roleSamples{flows: map[string][]float64{}}
		}
		samples[place.Role].addNode(place.Name, phaseS, from, to)
	}
	for role, of := range samples {
		phase.Roles[role] = of.summary()
	}
	if f.isolated != nil {
		used := to.costs[alone].Processor - from.costs[alone].Processor
		phase.Alone = 100 * used.Seconds() / phaseS
	}
	if s.Phases == nil {
		s.Phases = map[string]*Phase{}
	}
	s.Phases[name] = phase
}

// roleSamples collects the figures of the nodes of a role during a phase, one value per node.
type roleSamples struct {
	nodes     int
	flows     map[string][]float64 // by flow and measure, as in Usage.Flows
	processor []float64            // percent of one core
	waited    []float64            // as a multiple of the processor time used
}

// addNode adds the figures of one node: the difference between two snapshots that are phaseS seconds apart.
func (r *roleSamples) addNode(name string, phaseS float64, from, to snapshot) {
	r.nodes++
	all := Flow{}
	for _, what := range flowNames {
		rate := to.nodes[name][what].since(from.nodes[name][what]).times(1 / phaseS)
		r.addFlow(what, rate)
		if what == "statements" {
			// Statements are parts of messages that other flows count.
			rate.OutMessages = 0
			rate.InMessages = 0
		}
		all = all.plus(rate)
	}
	r.addFlow(allFlows, all)
	r.flows[bothWays] = append(r.flows[bothWays], all.Out+all.In)

	used := (to.costs[name].Processor - from.costs[name].Processor).Seconds()
	waited := (to.costs[name].Waited - from.costs[name].Waited).Seconds()
	r.processor = append(r.processor, 100*used/phaseS)
	r.waited = append(r.waited, max(0, waited)/max(used, minProcessorS))
}

// minProcessorS is the minimum divisor, in seconds, of the waiting time: an idle node may have used no CPU time at all.
const minProcessorS = 1e-6

func (r *roleSamples) addFlow(what string, rate Flow) {
	for _, m := range measures {
		key := what + " " + m.name
		r.flows[key] = append(r.flows[key], m.of(rate))
	}
}

func (r *roleSamples) summary() *Usage {
	usage := &Usage{Nodes: r.nodes, Flows: map[string]Spread{}}
	for what, values := range r.flows {
		usage.Flows[what] = SpreadOf(values)
	}
	usage.Processor = SpreadOf(r.processor)
	usage.Waited = SpreadOf(r.waited)
	return usage
}

// measureMemory measures the memory of all nodes. The memory of a process of simulated nodes is divided equally among
// them.
func (s *Size) measureMemory(ctx context.Context, f *fleetRun) error {
	resident := map[Role][]float64{}
	for _, n := range f.real {
		cost, err := n.Cost()
		if err != nil {
			return err
		}
		resident[Real] = append(resident[Real], float64(cost.Resident)/mb)
	}
	heap := []float64{}
	for _, h := range f.simulated {
		cost, err := h.Cost()
		if err != nil {
			return err
		}
		weighed, err := h.ask(ctx, order{Do: doReadHeap}, orderTimeout)
		if err != nil {
			return err
		}
		nodes := float64(len(h.places))
		for range h.places {
			resident[Simulated] = append(resident[Simulated], float64(cost.Resident)/mb/nodes)
			heap = append(heap, float64(weighed.Heap)/mb/nodes)
		}
	}
	if f.isolated != nil {
		cost, err := f.isolated.Cost()
		if err != nil {
			return err
		}
		s.AloneMB = float64(cost.Resident) / mb
	}
	s.Memory = map[Role]Memory{}
	for role, values := range resident {
		s.Memory[role] = Memory{Resident: SpreadOf(values)}
	}
	if simulated, measured := s.Memory[Simulated]; measured {
		simulated.Heap = SpreadOf(heap)
		s.Memory[Simulated] = simulated
	}
	return nil
}

// flow returns a figure of a role in a phase, or false if it was not measured.
func (s *Size) flow(phase string, role Role, what string) (Spread, bool) {
	p := s.Phases[phase]
	if p == nil || p.Roles[role] == nil {
		return Spread{}, false
	}
	x, is := p.Roles[role].Flows[what]
	return x, is
}
