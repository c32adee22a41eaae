package scenario

import "dahliapin/internal/emulator/coverage"

const (
	// soakPairTime is the time, in seconds, within which two faults of a node count as a pair. It is the maximum
	// duration of a fault, so that the effects of the first one may last until the second one.
	soakPairTime = soakMaxFault
	// soakPairFavour is the factor by which a fault is more likely that would complete a pair never met before.
	soakPairFavour = 8.0
)

// faultPair is a fault of a single node that follows another one at the same node within soakPairTime.
type faultPair struct{ first, second coverage.Fault }

// soakCoverage counts what the schedules that were drawn so far are expected to combine.
type soakCoverage struct {
	*coverage.Table                      // faults with phases of nodes
	pairs           map[faultPair]uint64 // faults with earlier faults of the same node
}

func newSoakCoverage() *soakCoverage {
	return &soakCoverage{Table: coverage.NewTable(SoakFaults()), pairs: map[faultPair]uint64{}}
}

// nodeFault is a fault of a single node.
type nodeFault struct {
	name coverage.Fault
	at   float64 // in seconds
}

// pairsAt returns the pairs that a fault of a node would complete. There are none while the node drains: it is not
// sent any signals of an event then.
func (p *soakPlan) pairsAt(fault coverage.Fault, node int, at float64) (pairs []faultPair) {
	if p.phaseAt(node, at) == coverage.Draining {
		return nil
	}
	for _, earlier := range p.nodeFaults[node] {
		if at-earlier.at < soakPairTime {
			pairs = append(pairs, faultPair{first: earlier.name, second: fault})
		}
	}
	return pairs
}

// pairWeight returns the factor by which a fault of a node is more likely because of the pairs that it would complete:
// the less often the rarest of them was met, the higher. It is 1 if there are none.
func (p *soakPlan) pairWeight(f *soakFault, node int, at float64) float64 {
	weight := 0.0
	for _, pair := range p.pairsAt(f.name, node, at) {
		weight = max(weight, soakPairFavour/float64(1+p.covered.pairs[pair]))
	}
	if weight == 0 {
		return 1
	}
	return weight
}

// addNodeFault counts the pairs that a fault of a single node completes. Faults must be added in order of time.
func (p *soakPlan) addNodeFault(e *Event, node int) {
	for _, pair := range p.pairsAt(e.FaultName(), node, e.AtS) {
		p.covered.pairs[pair]++
	}
	if p.phaseAt(node, e.AtS) != coverage.Draining {
		p.nodeFaults[node] = append(p.nodeFaults[node], nodeFault{name: e.FaultName(), at: e.AtS})
	}
}
