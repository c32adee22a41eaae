// Package coverage counts what the faults of random schedules met: the phase that a node was in, and the requests that
// it had in flight.
//
// A Tracker follows the nodes of one run and fills a Table; tables of several runs are added up. A pair of a fault and
// a phase counts once each time that a node was in the phase while the fault was there; a pair of a fault and an effect
// counts the requests that were in flight meanwhile.
package coverage

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"dahliapin/policy"
)

// Phase is what a node's process is doing.
type Phase int

// Down is the zero value: a node without a process meets no fault.
const (
	Down     Phase = iota
	Starting       // it was started, and does not serve yet
	Serving
	Standby  // operators had it stand by
	Draining // it was told to end
	Handover // another process takes its place
	phaseCount
)

var phaseNames = [phaseCount]string{"down", "starting", "serving", "standby", "draining", "handover"}

func (p Phase) String() string { return phaseNames[p] }

// Phases are those that a fault can meet.
var Phases = []Phase{Starting, Serving, Standby, Draining, Handover}

const effectCount = 3 // of policy.Idempotency

// Effects are what a second execution of a request can do, in the order of columns.
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

// Fault is the name of a fault, as a scenario's event has it; with what goes wrong behind a colon, where the event says
// that.
type Fault string

// counts are those of one fault.
type counts struct {
	phases  [phaseCount]uint64  // times that a node was in it
	effects [effectCount]uint64 // requests in flight
}

// Table counts what each fault met.
type Table struct {
	faults map[Fault]*counts
}

// NewTable makes a table with a row for each fault, which are zero: what was never met is named, too.
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

// Met is how often a fault met a phase.
func (t *Table) Met(f Fault, p Phase) uint64 {
	if row := t.faults[f]; row != nil {
		return row.phases[p]
	}
	return 0
}

// InFlight is how many requests of an effect a fault met.
func (t *Table) InFlight(f Fault, e policy.Idempotency) uint64 {
	if row := t.faults[f]; row != nil {
		return row.effects[e]
	}
	return 0
}

// MeetPhase counts that a fault met a node in a phase. A node without a process meets nothing.
func (t *Table) MeetPhase(f Fault, p Phase) {
	if p != Down {
		t.row(f).phases[p]++
	}
}

// Add adds up another table.
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

// Faults are the table's rows in the order of their names.
func (t *Table) Faults() []Fault {
	var all []Fault
	for f := range t.faults {
		all = append(all, f)
	}
	slices.Sort(all)
	return all
}

// NeverMet names the pairs of a fault and a phase, or of a fault and an effect, that were never met.
func (t *Table) NeverMet() []string {
	pairs := []string{}
	for _, f := range t.Faults() {
		for _, p := range Phases {
			if t.Met(f, p) == 0 {
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

// Print writes the table for people.
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
			fmt.Fprintf(to, " %9d", t.Met(f, p))
		}
		for _, e := range Effects {
			fmt.Fprintf(to, " %12d", t.InFlight(f, e))
		}
		fmt.Fprintln(to)
	}
}

// faultRow is a fault's row in JSON.
type faultRow struct {
	Fault    Fault             `json:"fault"`
	Phases   map[string]uint64 `json:"phases"`             // times that a node was in it
	InFlight map[string]uint64 `json:"requests_in_flight"` // by effect
}

// MarshalJSON writes the rows in the order of their names, and the pairs that were never met.
func (t *Table) MarshalJSON() ([]byte, error) {
	rows := []faultRow{}
	for _, f := range t.Faults() {
		row := faultRow{Fault: f, Phases: map[string]uint64{}, InFlight: map[string]uint64{}}
		for _, p := range Phases {
			row.Phases[p.String()] = t.Met(f, p)
		}
		for _, e := range Effects {
			row.InFlight[effectName(e)] = t.InFlight(f, e)
		}
		rows = append(rows, row)
	}
	return json.Marshal(struct {
		Faults   []faultRow `json:"faults"`
		NeverMet []string   `json:"never_met"`
	}{rows, t.NeverMet()})
}
