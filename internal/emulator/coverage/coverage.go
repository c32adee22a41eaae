// Package coverage counts the conditions under which the faults of random schedules occurred: the phase of each node
// and its requests in flight.
//
// A Tracker follows the nodes of one run and fills a Table; tables of several runs can be added up. A pair of fault and
// phase is counted when a node is in that phase as the fault begins, and when it enters the phase while the fault is
// active. A pair of fault and effect counts the requests in flight while the fault is active.
package coverage

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"dahliapin/policy"
)

// Phase is a phase in the life cycle of a node's process.
type Phase int

// Down, the zero value, is the phase of a node without a process, for which faults are not counted.
const (
	Down     Phase = iota
	Starting       // started, but not serving yet
	Serving
	Standby  // put on standby by an operator
	Draining // told to terminate
	Handover // being replaced by another process
	phaseCount
)

var phaseNames = [phaseCount]string{"down", "starting", "serving", "standby", "draining", "handover"}

func (p Phase) String() string { return phaseNames[p] }

// Phases are the phases that are counted, in the order of the printed columns.
var Phases = []Phase{Starting, Serving, Standby, Draining, Handover}

const effectCount = 3 // number of values of policy.Idempotency

// Effects are the kinds of requests by the effect of a second execution, in the order of the printed columns.
var Effects = []policy.Idempotency{policy.Idempotent, policy.IdempotentByKey, policy.NotIdempotent}

func effectName(e policy.Idempotency) string {
	switch e {
	case policy.Idempotent:
		return "idempotent"
	case policy.IdempotentByKey:
		return "by key"
	default:
		return "irreversible"
	}
}

// Fault is the name of a fault: the action of a scenario's event, followed by a colon and the event's fault field if it
// has one.
type Fault string

// counts holds the counts of one fault.
type counts struct {
	phases  [phaseCount]uint64  // occurrences per phase
	effects [effectCount]uint64 // requests in flight per effect
}

// Table holds the counts of each fault.
type Table struct {
	faults map[Fault]*counts
}

// NewTable returns a table with a zero row for each fault, so that faults that never occur are listed too.
func NewTable(faults []Fault) *Table {
	t := &Table{faults: map[Fault]*counts{}}
	for _, f := range faults {
		t.row(f)
	}
	return t
}

func (t *Table) row(f Fault) *counts {
	if t.faults[f] == nil {
		t.faults[f] = &counts{}
	}
	return t.faults[f]
}

// PhaseCount returns how often a fault was active while a node was in a phase.
func (t *Table) PhaseCount(f Fault, p Phase) uint64 {
	if row := t.faults[f]; row != nil {
		return row.phases[p]
	}
	return 0
}

// InFlight returns the number of requests with an effect that were in flight while a fault was active.
func (t *Table) InFlight(f Fault, e policy.Idempotency) uint64 {
	if row := t.faults[f]; row != nil {
		return row.effects[e]
	}
	return 0
}

// CountPhase counts a fault that is active while a node is in a phase. Down is not counted.
func (t *Table) CountPhase(f Fault, p Phase) {
	if p != Down {
		t.row(f).phases[p]++
	}
}

// Add adds the counts of another table.
func (t *Table) Add(other *Table) {
	for f, from := range other.faults {
		to := t.row(f)
		for p := range from.phases {
			to.phases[p] += from.phases[p]
		}
		for e := range from.effects {
			to.effects[e] += from.effects[e]
		}
	}
}

// Faults returns the faults of the table's rows, sorted by name.
func (t *Table) Faults() []Fault {
	var all []Fault
	for f := range t.faults {
		all = append(all, f)
	}
	slices.Sort(all)
	return all
}

// Uncovered lists the pairs of fault and phase, and of fault and effect, whose count is zero.
func (t *Table) Uncovered() []string {
	pairs := []string{}
	for _, f := range t.Faults() {
		for _, p := range Phases {
			if t.PhaseCount(f, p) == 0 {
				pairs = append(pairs, fmt.Sprintf("%s/%s", f, p))
			}
		}
		for _, e := range Effects {
			if t.InFlight(f, e) == 0 {
				pairs = append(pairs, fmt.Sprintf("%s/%s", f, effectName(e)))
			}
		}
	}
	return pairs
}

// Print writes the table as aligned text.
func (t *Table) Print(to io.Writer) {
	fmt.Fprintf(to, "%-16s", "fault")
	for _, p := range Phases {
		fmt.Fprintf(to, " %9s", p)
	}
	for _, e := range Effects {
		fmt.Fprintf(to, " %12s", effectName(e))
	}
	fmt.Fprintln(to)
	for _, f := range t.Faults() {
		fmt.Fprintf(to, "%-16s", f)
		for _, p := range Phases {
			fmt.Fprintf(to, " %9d", t.PhaseCount(f, p))
		}
		for _, e := range Effects {
			fmt.Fprintf(to, " %12d", t.InFlight(f, e))
		}
		fmt.Fprintln(to)
	}
}

// faultRow is the JSON form of a row.
type faultRow struct {
	Fault    Fault             `json:"fault"`
	Phases   map[string]uint64 `json:"phases"`             // occurrences by phase
	InFlight map[string]uint64 `json:"requests_in_flight"` // by effect
}

// MarshalJSON encodes the rows, sorted by name, and the pairs whose count is zero.
func (t *Table) MarshalJSON() ([]byte, error) {
	rows := []faultRow{}
	for _, f := range t.Faults() {
		row := faultRow{Fault: f, Phases: map[string]uint64{}, InFlight: map[string]uint64{}}
		for _, p := range Phases {
			row.Phases[p.String()] = t.PhaseCount(f, p)
		}
		for _, e := range Effects {
			row.InFlight[effectName(e)] = t.InFlight(f, e)
		}
		rows = append(rows, row)
	}
	return json.Marshal(struct {
		Faults   []faultRow `json:"faults"`
		NeverMet []string   `json:"never_met"`
	}{rows, t.Uncovered()})
}
