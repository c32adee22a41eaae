package coverage

import (
	"slices"

	"dahliapin/policy"
)

// Tracker follows the nodes of one run. It is used by one goroutine, or under a lock.
type Tracker struct {
	Table *Table

	phases   []Phase                         // by node
	inFlight []map[string]policy.Idempotency // by node, then by request
	active   []*activeFault
}

// activeFault is a fault that has begun and not ended.
type activeFault struct {
	fault Fault
	nodes []int // that it concerns; nil for all
}

func (a *activeFault) concerns(node int) bool {
	return a.nodes == nil || slices.Contains(a.nodes, node)
}

// NewTracker follows so many nodes, numbered from 0, which are all down.
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

// Phase is a node's phase.
func (t *Tracker) Phase(node int) Phase { return t.phases[node] }

// FaultBegan reports that a fault begins at some nodes, nil for all. The returned function reports its end; a fault
// that takes no time ends at once.
func (t *Tracker) FaultBegan(fault Fault, nodes []int) (ended func()) {
	begun := &activeFault{fault: fault, nodes: nodes}
	t.active = append(t.active, begun)
	t.Table.row(fault)
	for node := range t.phases {
		if begun.concerns(node) {
			t.meet(fault, node)
		}
	}
	return func() { t.end(begun) }
}

func (t *Tracker) end(ended *activeFault) {
	t.active = slices.DeleteFunc(t.active, func(a *activeFault) bool { return a == ended })
}

// meet counts that a fault meets a node as it is just now.
func (t *Tracker) meet(fault Fault, node int) {
	t.Table.MeetPhase(fault, t.phases[node])
	for _, effect := range t.inFlight[node] {
		t.Table.row(fault).effects[effect]++
	}
}

// PhaseChanged reports that a node is in a phase from now on.
func (t *Tracker) PhaseChanged(node int, phase Phase) {
	if t.phases[node] == phase {
		return
	}
	t.phases[node] = phase
	for _, a := range t.active {
		if a.concerns(node) {
			t.Table.MeetPhase(a.fault, phase)
		}
	}
}

// RequestSent reports that a node has a request in flight.
func (t *Tracker) RequestSent(node int, id string, effect policy.Idempotency) {
	t.inFlight[node][id] = effect
	for _, a := range t.active {
		if a.concerns(node) {
			t.Table.row(a.fault).effects[effect]++
		}
	}
}

// RequestEnded reports that a node has a request no longer in flight.
func (t *Tracker) RequestEnded(node int, id string) { delete(t.inFlight[node], id) }
