// Package shrink makes a scenario that fails smaller, while it still fails: with fewer events, shorter, and with fewer
// processes.
//
// A candidate is taken only if it was played and failed. So what is returned has failed at least once, whatever chance
// there is in a play; it need not be the smallest.
package shrink

import (
	"math"

	"dahliapin/internal/emulator/scenario"
)

const (
	leadSeconds = 2.0 // before the first event, in which nodes begin to serve
	tailSeconds = 4.0 // after the last event, in which its consequences show
	minSeconds  = 1.0
	minDuration = 0.1 // of an event, in seconds, that is still halved
)

// Play plays a scenario and tells whether it fails as the first one did.
type Play func(*scenario.Scenario) bool

// Budget bounds how many plays there are.
type Budget struct {
	Plays   int
	Expired func() bool // asked before each play; nil for no bound
}

// Result is what was reached.
type Result struct {
	Scenario *scenario.Scenario // the smallest that failed
	Plays    int
	Complete bool // no smaller candidate fails; false where the budget ended before
}

// Shrink makes a failing scenario smaller. The given one is not changed.
func Shrink(failing *scenario.Scenario, budget Budget, play Play) Result {
	s := &shrinker{current: failing, budget: budget, play: play}
	for again := true; again && !s.exhausted; {
		again = s.round()
	}
	return Result{Scenario: s.current, Plays: s.plays, Complete: !s.exhausted}
}

type shrinker struct {
	current   *scenario.Scenario
	budget    Budget
	play      Play
	plays     int
	exhausted bool
}

// round tries each way to shrink, and tells whether one did. Events go first, since all other ways get cheaper by it.
func (s *shrinker) round() bool {
	shrunk := s.removeEvents()
	for _, way := range []func(*scenario.Scenario) *scenario.Scenario{trimEnd, trimStart, halveDurations} {
		shrunk = s.try(way(s.current)) || shrunk
	}
	shrunk = s.removeNodes() || shrunk
	return s.halveCaches() || shrunk
}

// try plays a candidate and takes it if it fails. A nil candidate, or one that is no valid scenario, is not played.
func (s *shrinker) try(candidate *scenario.Scenario) bool {
	if candidate == nil || !isValid(candidate) {
		return false
	}
	outOfTime := s.budget.Expired != nil && s.budget.Expired()
	if s.exhausted || s.plays >= s.budget.Plays || outOfTime {
		s.exhausted = true
		return false
	}
	s.plays++
	if !s.play(candidate) {
		return false
	}
	s.current = candidate
	return true
}

// isValid tells whether a scenario plays as it would from its file.
func isValid(candidate *scenario.Scenario) bool {
	text, err := candidate.Text()
	if err != nil {
		return false
	}
	_, err = scenario.Parse(candidate.Name, text)
	return err == nil
}

// removeEvents leaves out runs of events, first half of them, then shorter runs, down to single ones.
func (s *shrinker) removeEvents() bool {
	shrunk := false
	for size := (len(s.current.Events) + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < len(s.current.Events); {
			if s.try(withoutEvents(s.current, from, from+size)) {
				shrunk = true
				continue // what followed stands there now
			}
			from += size
		}
	}
	return shrunk
}

// removeNodes leaves out nodes, one at a time, with the events that concern them alone.
func (s *shrinker) removeNodes() bool {
	shrunk := false
	for node := s.current.Fleet.Nodes; node >= 1; node-- {
		shrunk = s.try(withoutNode(s.current, node)) || shrunk
	}
	return shrunk
}

// halveCaches halves the number of caches for as long as the failure stays.
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

// withoutEvents is a scenario less the events from one up to another, which is excluded.
func withoutEvents(s *scenario.Scenario, from, to int) *scenario.Scenario {
	candidate := *s
	candidate.Events = append([]scenario.Event(nil), s.Events[:from]...)
	candidate.Events = append(candidate.Events, s.Events[min(to, len(s.Events)):]...)
	return &candidate
}

// withoutNode is a scenario less one node, by its number from 1; nil if there is no other. Nodes after it move up.
func withoutNode(s *scenario.Scenario, node int) *scenario.Scenario {
	if s.Fleet.Nodes <= 1 {
		return nil
	}
	candidate := *s
	candidate.Fleet.Nodes--
	candidate.Events = nil
	for _, e := range s.Events {
		if isOnly(e.Nodes, node) || isOnly(e.From, node) || isOnly(e.To, node) {
			continue // an empty list would mean all nodes
		}
		e.Nodes = renumbered(e.Nodes, node)
		e.From = renumbered(e.From, node)
		e.To = renumbered(e.To, node)
		candidate.Events = append(candidate.Events, e)
	}
	return &candidate
}

// isOnly reports whether a list names one node and no other.
func isOnly(numbers []int, node int) bool { return len(numbers) == 1 && numbers[0] == node }

// renumbered are numbers of nodes less one, with those after it moved up.
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

// trimEnd ends a scenario soon after its last event; nil if it does already.
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

// trimStart has the first event begin soon, and all others as much earlier; nil if it does already.
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

// halveDurations has all events last half as long; nil if all are short already.
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
