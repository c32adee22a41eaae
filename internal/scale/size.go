package scale

import (
	"context"
	"time"
)

// The phases that a size goes through.
const (
	forming  = "forming"   // from the first start until all nodes know each other, and gossip has settled
	steady   = "steady"    // no faults
	lostOne  = "lost"      // from the crash of a node until it is started again
	lostBack = "lost-back" // until all nodes know each other again, and gossip has settled
	cutOff   = "cut"       // a region is cut off
	cutBack  = "cut-back"  // from its healing until all nodes know each other again, and gossip has settled
)

var phases = []string{forming, steady, lostOne, lostBack, cutOff, cutBack}

// Size holds the measurements of a fleet with one number of nodes.
type Size struct {
	Nodes          int               `json:"nodes"`
	Terms          Terms             `json:"by"`
	Began          time.Time         `json:"began"`
	Processes      int               `json:"processes"`
	Phases         map[string]*Phase `json:"phases"`
	Memory         map[Role]Memory   `json:"memory"`
	AloneMB        float64           `json:"alone_mb"`  // resident, of the isolated real node; 0 for none
	LostInEmulator uint64            `json:"lost_here"` // messages that the emulated network dropped as its queue was full
	Dropped        uint64            `json:"dropped"`   // messages that nodes had no capacity for
}

// Terms are the conditions that two measurements must share to be comparable.
type Terms struct {
	Real    int     `json:"real"`
	WindowS float64 `json:"window_s"`
	Seed    int64   `json:"seed"`
	File    File    `json:"file"` // without the budget
}

// Terms returns the terms of the plan.
func (p *Plan) Terms() Terms {
	f := p.File
	f.Budget = Budget{}
	return Terms{Real: p.Real, WindowS: p.Window.Seconds(), Seed: p.Seed, File: f}
}

// Phase is what the nodes of each role used during one phase of a run.
type Phase struct {
	DurationS    float64         `json:"long_s"` // seconds that the phase lasted
	ConvergenceS float64         `json:"took_s"` // seconds until all nodes had the expected view
	Roles        map[Role]*Usage `json:"roles"`
	Alone        float64         `json:"alone"` // percent of a core, of the isolated real node; 0 for none
}

// Usage is the usage rate of the nodes of a role.
type Usage struct {
	Nodes     int               `json:"nodes"`
	Flows     map[string]Spread `json:"flows"`     // "hellos out B/s" and so on; "all ..." is of all flows
	Processor Spread            `json:"processor"` // percent of one core
	Waited    Spread            `json:"waited"`    // time waiting for a core, as a multiple of the CPU time used
}

// Memory is the memory of a node, in MB.
type Memory struct {
	Resident Spread `json:"resident"`
	Heap     Spread `json:"heap"` // after a garbage collection; of hollow nodes only, as real nodes do not report it
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

// Keys of Taken.Flows that sum up all flows.
const (
	allFlows            = "all"
	allSent             = allFlows + " out B/s"
	allReceived         = allFlows + " in B/s"
	allSentMessages     = allFlows + " out /s"
	allReceivedMessages = allFlows + " in /s"
	bothWays            = allFlows + " both B/s"
)

// add records a phase: the difference of two snapshots, by role.
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

// roleSamples collects the figures of the nodes of a role during a phase, one value for each node.
type roleSamples struct {
	nodes     int
	flows     map[string][]float64 // by flow and measure, as in Taken.Flows
	processor []float64            // percent of one core
	waited    []float64            // as a multiple of the processor time used
}

// addNode adds one node's figures: the difference of two snapshots that lie some seconds apart.
func (r *roleSamples) addNode(name string, phaseS float64, from, to snapshot) {
	r.nodes++
	all := Flow{}
	for _, what := range flowNames {
		rate := to.nodes[name][what].since(from.nodes[name][what]).times(1 / phaseS)
		r.addFlow(what, rate)
		if what == "statements" {
			// Statements are carried inside messages that are counted already.
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

// minProcessorS bounds the divisor of the waiting share: an idle node may have used no processor time at all.
const minProcessorS = 1e-6

func (r *roleSamples) addFlow(what string, rate Flow) {
	for _, m := range measures {
		key := what + " " + m.name
		r.flows[key] = append(r.flows[key], m.of(rate))
	}
}

func (r *roleSamples) summary() *Usage {
	taken := &Usage{Nodes: r.nodes, Flows: map[string]Spread{}}
	for what, values := range r.flows {
		taken.Flows[what] = SpreadOf(values)
	}
	taken.Processor = SpreadOf(r.processor)
	taken.Waited = SpreadOf(r.waited)
	return taken
}

// weigh reads the memory of all nodes. A hollow node is attributed an equal share of its process.
func (s *Size) weigh(ctx context.Context, f *fleetRun) error {
	resident := map[Role][]float64{}
	for _, n := range f.reals {
		cost, err := n.Cost()
		if err != nil {
			return err
		}
		resident[Real] = append(resident[Real], float64(cost.Resident)/mb)
	}
	heap := []float64{}
	for _, h := range f.hollows {
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
	if hollow, measured := s.Memory[Simulated]; measured {
		hollow.Heap = SpreadOf(heap)
		s.Memory[Simulated] = hollow
	}
	return nil
}

// flow returns a figure of a role in a phase; false if it was not measured.
func (s *Size) flow(phase string, role Role, what string) (Spread, bool) {
	p := s.Phases[phase]
	if p == nil || p.Roles[role] == nil {
		return Spread{}, false
	}
	x, is := p.Roles[role].Flows[what]
	return x, is
}
