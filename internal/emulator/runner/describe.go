package runner

import (
	"fmt"

	"dahliapin/internal/emulator/scenario"
)

// describe returns an event's line for the log of the run.
func describe(s *scenario.Scenario, e *scenario.Event) string {
	text := e.Do
	if ids := s.SelectedCaches(e); len(ids) > 0 {
		text += fmt.Sprint(" ", ids)
	}
	if nodes := s.SelectedNodes(e); len(nodes) > 0 {
		text += fmt.Sprint(" nodes ", nodes)
	}
	if e.Factor > 0 {
		text += fmt.Sprintf(" by %g", e.Factor)
	}
	if e.Share > 0 {
		text += fmt.Sprintf(" share %g", e.Share)
	}
	if e.Count > 0 {
		text += fmt.Sprintf(" %d", e.Count)
	}
	if e.Fault != "" {
		text += " " + e.Fault
	}
	if len(e.From) > 0 {
		text += fmt.Sprint(" from ", e.From)
	}
	if len(e.To) > 0 {
		text += fmt.Sprint(" to ", e.To)
	}
	if e.Both {
		text += " both ways"
	}
	if e.LateMs > 0 {
		text += fmt.Sprintf(" by up to %g ms", e.LateMs)
	}
	if e.TurnS > 0 {
		text += fmt.Sprintf(" by turns of %g s", e.TurnS)
	}
	if e.OverS > 0 {
		text += fmt.Sprintf(" over %g s", e.OverS)
	}
	if e.ForS > 0 {
		text += fmt.Sprintf(" for %g s", e.ForS)
	}
	return text
}
