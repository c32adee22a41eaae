package checker

import "fmt"

// maxNotes is the maximum number of findings with a text; all are counted.
const maxNotes = 20

// Verdict is the result of comparing views with the actual state of nodes. Times are in seconds.
type Verdict struct {
	Formed              float64   `json:"formed_s"`       // when all nodes first had all others as members; -1: never
	FalseRemovals       int       `json:"false_removals"` // of nodes without a fault longer than the pause
	UnjustifiedRemovals int       `json:"rash_removals"`  // without evidence, by nodes that have a fault themselves
	Missed              int       `json:"missed"`         // removals that did not happen, summed over observers
	Flaps               int       `json:"flaps"`          // repeated removals for the same fault, summed over observers
	DivergedSeconds     int       `json:"unlike"`         // seconds in which a view should have matched and did not
	Changes             int       `json:"changes"`        // highest number of view changes at a node after forming
	Detect              []float64 `json:"detect_s"`       // from the start of a fault to its removal, by observer
	ConvergedAfter      float64   `json:"alike_after_s"`  // from the last change of faults to equal views; -1: never
	Findings            []string  `json:"what,omitempty"` // the first maxNotes findings
}

// Wrong returns the number of findings that must not occur.
func (d *Verdict) Wrong() int {
	return d.FalseRemovals + d.UnjustifiedRemovals + d.Missed + d.Flaps + d.DivergedSeconds
}

// note records the text of a finding.
func (d *Verdict) note(format string, args ...any) {
	if len(d.Findings) < maxNotes {
		d.Findings = append(d.Findings, fmt.Sprintf(format, args...))
	}
}
