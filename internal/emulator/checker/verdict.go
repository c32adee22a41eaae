package checker

import "fmt"

// maxNotes bounds the findings whose text is kept; all are counted.
const maxNotes = 20

// Verdict is the result of comparing views with the actual state of nodes. Times are in seconds.
type Verdict struct {
	Formed              float64   `json:"formed_s"`       // when all nodes first had all others as members; -1 for never
	FalseRemovals       int       `json:"false_removals"` // of nodes without a fault longer than the pause
	UnjustifiedRemovals int       `json:"rash_removals"`  // without grounds, by nodes with a fault themselves
	Missed              int       `json:"missed"`         // removals that did not happen, summed over observers
	Flaps               int       `json:"flaps"`          // repeated removals for one fault, by all observers
	DivergedSeconds     int       `json:"unlike"`         // in which a view should have matched the actual state
	Changes             int       `json:"changes"`        // largest number at one node after all had formed
	Detect              []float64 `json:"detect_s"`       // from a fault's beginning to the removal, by observer
	ConvergedAfter      float64   `json:"alike_after_s"`  // from the last change of faults until views matched
	Findings            []string  `json:"what,omitempty"` // the first findings
}

// Wrong returns the number of findings that must not occur.
func (d *Verdict) Wrong() int {
	return d.FalseRemovals + d.UnjustifiedRemovals + d.Missed + d.Flaps + d.DivergedSeconds
}

func (d *Verdict) note(format string, args ...any) {
	if len(d.Findings) < maxNotes {
		d.Findings = append(d.Findings, fmt.Sprintf(format, args...))
	}
}
