package scenario

import (
	"math"
	"slices"

	"dahliapin/internal/emulator/coverage"
)

// Assumed durations of phases, in seconds. They only weight the choice of faults; actual coverage is counted during
// runs.
const (
	planMaxDrain    = 3.0 // cap on the longest deadline, as a terminating node is killed if it runs longer
	planDrainMargin = 0.7 // added to the longest deadline
	planDowntime    = 0.4 // until a killed process is replaced
	planStart       = 0.3
	planHandover    = 1.0
	planPhaseGap    = 3.0 // minimum time between two changes of a node's phase
)

// phaseSpan is a span, in seconds, in which a node is expected to be in a phase other than serving.
type phaseSpan struct {
	phase    coverage.Phase
	from, to float64
}

// soakPlan predicts the phases of nodes, and counts with which phases each fault will coincide.
type soakPlan struct {
	scenario   *Scenario
	covered    *soakCoverage
	drain      float64       // duration of a drain, in seconds
	spans      [][]phaseSpan // by node, in order of time
	nodeFaults [][]nodeFault // by node, in order of time
	events     []Event
}

func newSoakPlan(s *Scenario, covered *soakCoverage) *soakPlan {
	longest := 0.0
	for i := range s.Classes {
		longest = math.Max(longest, s.Classes[i].HardMs/1000)
	}
	return &soakPlan{
		scenario:   s,
		covered:    covered,
		drain:      math.Min(longest, planMaxDrain) + planDrainMargin,
		spans:      make([][]phaseSpan, s.Fleet.Nodes),
		nodeFaults: make([][]nodeFault, s.Fleet.Nodes),
	}
}

// phaseAt returns the phase in which a node is expected to be.
func (p *soakPlan) phaseAt(node int, at float64) coverage.Phase {
	for _, span := range p.spans[node] {
		if span.from <= at && at < span.to {
			return span.phase
		}
	}
	return coverage.Serving
}

// isFree reports whether a fault may change a node's phase at a time.
func (p *soakPlan) isFree(node int, at float64) bool {
	spans := p.spans[node]
	return len(spans) == 0 || at >= spans[len(spans)-1].to+planPhaseGap
}

// weight returns the weight of a fault in the draw. It is 0 if the fault is not possible at a time, and otherwise grows
// the less often the fault has coincided with the rarest of the current phases, and with recent faults of the same
// node.
func (p *soakPlan) weight(f *soakFault, at float64) float64 {
	if f.possible != nil && !f.possible(p.scenario) {
		return 0
	}
	most := 0.0
	for node := range p.spans {
		most = math.Max(most, p.nodeWeight(f, node, at))
	}
	return most
}

// nodeWeight returns the weight of a fault at one node.
func (p *soakPlan) nodeWeight(f *soakFault, node int, at float64) float64 {
	phase := p.phaseAt(node, at)
	if f.singleNode && phase == coverage.Down || f.changesPhase && !p.isFree(node, at) {
		return 0
	}
	if phase == coverage.Down { // a fault of all nodes lasts until this node serves again
		phase = coverage.Serving
	}
	weight := 1 / (1 + float64(p.covered.PhaseCount(f.name, phase)))
	if f.singleNode && !f.changesPhase {
		weight *= p.pairWeight(f, node, at)
	}
	return weight
}

// add counts the phases with which an event will coincide. Events must be added in order of time.
func (p *soakPlan) add(e *Event) {
	nodes := p.scenario.ConcernedNodes(e)
	for node := range p.spans {
		if !affects(nodes, node) {
			continue
		}
		p.covered.CountPhase(e.FaultName(), p.phaseAt(node, e.AtS))
		for _, span := range p.spans[node] {
			if e.AtS < span.from && span.from < e.AtS+e.ForS {
				p.covered.CountPhase(e.FaultName(), span.phase)
			}
		}
	}
	p.events = append(p.events, *e)
	if len(nodes) > 0 {
		p.addNodeFault(e, nodes[0])
		p.changePhases(e, nodes[0])
	}
}

// changePhases predicts the phase changes that an event causes at a node.
func (p *soakPlan) changePhases(e *Event, node int) {
	at := e.AtS
	switch e.Do {
	case "node_restart":
		back := at + p.drain
		p.expect(node, phaseSpan{coverage.Draining, at, back}, phaseSpan{coverage.Starting, back, back + planStart})
	case "node_kill":
		back := at + planDowntime
		p.expect(node, phaseSpan{coverage.Down, at, back}, phaseSpan{coverage.Starting, back, back + planStart})
	case termStart:
		first := at + p.drain
		second := first + e.LateMs/1000
		p.expect(node, phaseSpan{coverage.Draining, at, first}, phaseSpan{coverage.Starting, first, second},
			phaseSpan{coverage.Starting, second, second + planStart})
	case upgrade:
		p.expect(node, phaseSpan{coverage.Handover, at, at + planHandover})
	case standby:
		p.expect(node, phaseSpan{coverage.Standby, at, at + e.ForS})
	}
}

// expect adds predicted spans, and counts those that begin during earlier events.
func (p *soakPlan) expect(node int, spans ...phaseSpan) {
	for _, span := range spans {
		p.spans[node] = append(p.spans[node], span)
		for i := range p.events {
			e := &p.events[i]
			if e.AtS < span.from && span.from < e.AtS+e.ForS && affects(p.scenario.ConcernedNodes(e), node) {
				p.covered.CountPhase(e.FaultName(), span.phase)
			}
		}
	}
}

// affects reports whether a list of nodes contains a node; nil contains all.
func affects(nodes []int, node int) bool {
	return nodes == nil || slices.Contains(nodes, node)
}
