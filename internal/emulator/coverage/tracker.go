package coverage

import (
	"slices"

	"dahliapin/policy"
)

// Tracker follows the nodes of one run. It is not safe for concurrent use.
type Tracker struct {
	Table *Table

	phases   []Phase                         // by node
	inFlight []map[string]policy.Idempotency // by node, then by request
	active   []*activeFault
}

// activeFault is a fault that has begun and has not ended.
type activeFault struct {
	fault Fault
	nodes []int // affected nodes; nil for all
}

func (a *activeFault) affects(node int) bool {
	return a.nodes == nil || slices.Contains(a.nodes, node)
}

// NewTracker returns a tracker of the given number of nodes, which are numbered from 0 and all down.
func NewTracker(nodes int) *Tracker {
	t := &Tracker{
		Table:    NewTable(nil),
		phases:   make([]Phase, nodes),
		inFlight: make([]map[string]policy.Idempotency, nodes),
	}
	for n := range t.inFlight {
		t.inFlight[n] = map[string]policy.Idempotency{}
	}
	return t
}

// Phase returns a node's current phase.
func (t *Tracker) Phase(node int) Phase { return t.phases[node] }

// FaultBegan records that a fault begins at the given nodes, or at all if nodes is nil. The caller must call the
// returned function when the fault ends, at once for a fault without duration.
func (t *Tracker) FaultBegan(fault Fault, nodes []int) (ended func()) {
	begun := &activeFault{fault: fault, nodes: nodes}
	t.active = append(t.active, begun)
	t.Table.row(fault)
	for node := range t.phases {
		if begun.affects(node) {
			t.countCurrent(fault, node)
		}
	}
	return func() { t.end(begun) }
}

func (t *Tracker) end(ended *activeFault) {
	t.active = slices.DeleteFunc(t.active, func(a *activeFault) bool { return a == ended })
}

// countCurrent counts a fault with a node's current phase and requests in flight.
func (t *Tracker) countCurrent(fault Fault, node int) {
	t.Table.CountPhase(fault, t.phases[node])
	for _, effect := range t.inFlight[node] {
		t.Table.row(fault).effects[effect]++
	}
}

// PhaseChanged records that a node has entered a phase.
func (t *Tracker) PhaseChanged(node int, phase Phase) {
	if t.phases[node] == phase {
		return
	}
	t.phases[node] = phase
	for _, a := range t.active {
		if a.affects(node) {
			t.Table.CountPhase(a.fault, phase)
		}
	}
}

// RequestSent records that a node has a request in flight.
func (t *Tracker) RequestSent(node int, id string, effect policy.Idempotency) {
	t.inFlight[node][id] = effect
	for _, a := range t.active {
		if a.affects(node) {
			t.Table.row(a.fault).effects[effect]++
		}
	}
}

// RequestEnded records that a node's request is no longer in flight.
func (t *Tracker) RequestEnded(node int, id string) { delete(t.inFlight[node], id) }
