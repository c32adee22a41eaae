// Package shrink reduces a failing scenario to a smaller one that still fails: with fewer events, a shorter duration,
// and fewer nodes and caches.
//
// A candidate is accepted only if a run of it failed. The result has therefore failed at least once, even if runs are
// not deterministic. It need not be the smallest scenario that fails.
package shrink

import (
	"math"

	"dahliapin/internal/emulator/scenario"
)

const (
	leadSeconds = 2.0 // time before the first event, in which nodes start to serve
	tailSeconds = 4.0 // time after the last event, in which its consequences show
	minSeconds  = 1.0 // shortest scenario
	minDuration = 0.1 // shortest duration of an event that halving may produce, in seconds
)

// RunFunc runs a scenario and reports whether it fails in the same way as the original.
type RunFunc func(*scenario.Scenario) bool

// Budget limits the number of runs and their time.
type Budget struct {
	Runs    int
	Expired func() bool // called before each run; nil for no time limit
}

// Result is the outcome of Shrink.
type Result struct {
	Scenario *scenario.Scenario // the smallest that failed
	Runs     int
	Complete bool // no smaller candidate fails; false if the budget was exhausted first
}

// Shrink reduces a failing scenario. It does not modify its argument.
func Shrink(failing *scenario.Scenario, budget Budget, run RunFunc) Result {
	s := &shrinker{current: failing, budget: budget, run: run}
	for again := true; again && !s.exhausted; {
		again = s.round()
	}
	return Result{Scenario: s.current, Runs: s.runs, Complete: !s.exhausted}
}

type shrinker struct {
	current   *scenario.Scenario
	budget    Budget
	run       RunFunc
	runs      int
	exhausted bool
}

// round tries each reduction once and reports whether one succeeded. Events are removed first, which makes the runs of
// the other reductions cheaper.
func (s *shrinker) round() bool {
	shrunk := s.removeEvents()
	for _, reduce := range []func(*scenario.Scenario) *scenario.Scenario{trimEnd, trimStart, halveDurations} {
		shrunk = s.try(reduce(s.current)) || shrunk
	}
	shrunk = s.removeNodes() || shrunk
	return s.halveCaches() || shrunk
}

// try runs a candidate and accepts it if it fails. A nil or invalid candidate is not run.
func (s *shrinker) try(candidate *scenario.Scenario) bool {
	if candidate == nil || !isValid(candidate) {
		return false
	}
	expired := s.budget.Expired != nil && s.budget.Expired()
	if s.exhausted || s.runs >= s.budget.Runs || expired {
		s.exhausted = true
		return false
	}
	s.runs++
	if !s.run(candidate) {
		return false
	}
	s.current = candidate
	return true
}

// isValid reports whether a scenario can be written as a file and parsed again.
func isValid(candidate *scenario.Scenario) bool {
	text, err := candidate.Text()
	if err != nil {
		return false
	}
	_, err = scenario.Parse(candidate.Name, text)
	return err == nil
}

// removeEvents removes consecutive events: half of all events at a time first, then fewer, down to single ones.
func (s *shrinker) removeEvents() bool {
	shrunk := false
	for size := (len(s.current.Events) + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < len(s.current.Events); {
			if s.try(withoutEvents(s.current, from, from+size)) {
				shrunk = true
				continue // the events that followed are at this index now
			}
			from += size
		}
	}
	return shrunk
}

// removeNodes removes nodes one at a time, the last one first, with the events that affect only the removed node.
func (s *shrinker) removeNodes() bool {
	shrunk := false
	for node := s.current.Fleet.Nodes; node >= 1; node-- {
		shrunk = s.try(withoutNode(s.current, node)) || shrunk
	}
	return shrunk
}

// halveCaches halves the number of caches while the scenario still fails.
func (s *shrinker) halveCaches() bool {
	shrunk := false
	for s.current.Fleet.Caches > 1 {
		candidate := *s.current
		candidate.Fleet.Caches /= 2
		if !s.try(&candidate) {
			break
		}
		shrunk = true
	}
	return shrunk
}

// withoutEvents returns a copy of a scenario without the events with indexes in [from, to).
func withoutEvents(s *scenario.Scenario, from, to int) *scenario.Scenario {
	candidate := *s
	candidate.Events = append([]scenario.Event(nil), s.Events[:from]...)
	candidate.Events = append(candidate.Events, s.Events[min(to, len(s.Events)):]...)
	return &candidate
}

// withoutNode returns a copy of a scenario without one node, numbered from 1, or nil if it is the only node.
// Later nodes are renumbered.
func withoutNode(s *scenario.Scenario, node int) *scenario.Scenario {
	if s.Fleet.Nodes <= 1 {
		return nil
	}
	candidate := *s
	candidate.Fleet.Nodes--
	candidate.Events = nil
	for _, e := range s.Events {
		if isOnly(e.Nodes, node) || isOnly(e.From, node) || isOnly(e.To, node) {
			continue // without its only node, the list would be empty and stand for all nodes
		}
		e.Nodes = renumbered(e.Nodes, node)
		e.From = renumbered(e.From, node)
		e.To = renumbered(e.To, node)
		candidate.Events = append(candidate.Events, e)
	}
	return &candidate
}

// isOnly reports whether a list consists of exactly one given node.
func isOnly(numbers []int, node int) bool { return len(numbers) == 1 && numbers[0] == node }

// renumbered returns node numbers without the removed one, with the later ones decremented.
func renumbered(numbers []int, removed int) []int {
	var left []int
	for _, n := range numbers {
		switch {
		case n < removed:
			left = append(left, n)
		case n > removed:
			left = append(left, n-1)
		}
	}
	return left
}

// trimEnd returns a copy of a scenario that ends tailSeconds after its last event, or nil if it already does.
func trimEnd(s *scenario.Scenario) *scenario.Scenario {
	last := 0.0
	for i := range s.Events {
		e := &s.Events[i]
		last = math.Max(last, e.AtS+e.OverS+e.ForS)
	}
	seconds := math.Max(minSeconds, math.Ceil(last+tailSeconds))
	if seconds >= s.Seconds {
		return nil
	}
	candidate := *s
	candidate.Seconds = seconds
	return &candidate
}

// trimStart returns a copy of a scenario with all events moved earlier, so that the first begins after about
// leadSeconds, or nil if it already does.
func trimStart(s *scenario.Scenario) *scenario.Scenario {
	if len(s.Events) == 0 {
		return nil
	}
	first := s.Events[0].AtS
	for i := range s.Events {
		first = math.Min(first, s.Events[i].AtS)
	}
	earlier := math.Floor(first - leadSeconds)
	if earlier < 1 {
		return nil
	}
	candidate := *s
	candidate.Seconds = math.Max(minSeconds, s.Seconds-earlier)
	candidate.Events = append([]scenario.Event(nil), s.Events...)
	for i := range candidate.Events {
		candidate.Events[i].AtS = hundredths(candidate.Events[i].AtS - earlier)
	}
	return &candidate
}

// halveDurations returns a copy of a scenario whose events last half as long, or nil if all are already short.
func halveDurations(s *scenario.Scenario) *scenario.Scenario {
	candidate := *s
	candidate.Events = append([]scenario.Event(nil), s.Events...)
	halved := false
	for i := range candidate.Events {
		e := &candidate.Events[i]
		if e.ForS >= 2*minDuration {
			e.ForS = hundredths(e.ForS / 2)
			halved = true
		}
	}
	if !halved {
		return nil
	}
	return &candidate
}

func hundredths(x float64) float64 { return math.Round(x*100) / 100 }
