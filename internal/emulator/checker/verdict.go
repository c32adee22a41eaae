package checker

import "fmt"

// maxNotes bounds the findings that are kept word for word; all are counted.
const maxNotes = 20

// Verdict is what was found of views. Times are in seconds.
type Verdict struct {
	Formed              float64   `json:"formed_s"`       // when all first had all; -1 for never
	FalseRemovals       int       `json:"false_removals"` // of nodes that nothing had befallen, or nothing for long enough
	UnjustifiedRemovals int       `json:"rash_removals"`  // by nodes that were cut off, or stood still, themselves
	Missed              int       `json:"missed"`         // nodes that should have been out and were not, by observers
	Flaps               int       `json:"flaps"`          // further removals within one fault, by observers
	DivergedSeconds     int       `json:"unlike"`         // seconds in which views should have been the same as the truth, and were not
	Changes             int       `json:"changes"`        // of a view, the most at one node, after the first that had all
	Detect              []float64 `json:"detect_s"`       // from what befell a node until it was out, by observers
	ConvergedAfter      float64   `json:"alike_after_s"`  // from the last change of what befell nodes until all views were the same
	Findings            []string  `json:"what,omitempty"` // the first findings
}

// Wrong counts what must not be.
func (d *Verdict) Wrong() int {
	return d.FalseRemovals + d.UnjustifiedRemovals + d.Missed + d.Flaps + d.DivergedSeconds
}

func (d *Verdict) note(format string, args ...any) {
	if len(d.Findings) < maxNotes {
		d.Findings = append(d.Findings, fmt.Sprintf(format, args...))
	}
}
