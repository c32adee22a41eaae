package shrink

import (
	"slices"
	"testing"

	"dahliapin/internal/emulator/scenario"
)

const plentyOfRuns = 10_000

// schedule returns a soak schedule with four nodes and more than 60 events.
func schedule(t *testing.T) *scenario.Scenario {
	t.Helper()
	for _, s := range scenario.Soaks(1, 40, 60) {
		if s.Fleet.Nodes == 4 && len(s.Events) > 60 && has(s, "node_restart") && has(s, "errors") {
			return s
		}
	}
	t.Fatal("no soak schedule has four nodes, over 60 events, a node_restart and an errors event")
	return nil
}

func has(s *scenario.Scenario, do string) bool {
	return slices.ContainsFunc(s.Events, func(e scenario.Event) bool { return e.Do == do })
}

// A failure that needs two events of a schedule is reduced to these two, so that the other events do not obscure its
// cause.
func TestShrinkKeepsOnlyEventsTheFailureNeeds(t *testing.T) {
	failing := schedule(t)
	before := len(failing.Events)
	result := Shrink(failing, Budget{Runs: plentyOfRuns}, func(s *scenario.Scenario) bool {
		return has(s, "node_restart") && has(s, "errors") && s.Fleet.Caches >= 3
	})
	s := result.Scenario
	if !result.Complete || len(s.Events) != 2 || !has(s, "node_restart") || !has(s, "errors") {
		t.Errorf("events left %+v, complete %v", s.Events, result.Complete)
	}
	if s.Fleet.Nodes != 1 || s.Fleet.Caches >= 6 || s.Fleet.Caches < 3 {
		t.Errorf("%d nodes and %d caches are left", s.Fleet.Nodes, s.Fleet.Caches)
	}
	isLong := func(e scenario.Event) bool { return e.ForS > 2*minDuration }
	if s.Seconds >= failing.Seconds || slices.ContainsFunc(s.Events, isLong) {
		t.Errorf("the shrunk scenario lasts %v s, with events %+v", s.Seconds, s.Events)
	}
	if len(failing.Events) != before {
		t.Error("Shrink modified its argument")
	}
	if !isValid(s) {
		t.Error("the shrunk scenario cannot be written and parsed again")
	}
}

// A failure caused by overlapping events depends on their order and distance, which shrinking must preserve.
func TestShrinkKeepsOverlappingEvents(t *testing.T) {
	overlap := func(s *scenario.Scenario) bool {
		for _, e := range s.Events {
			for _, f := range s.Events {
				if e.Do == "node_restart" && f.Do == "errors" && f.AtS <= e.AtS && e.AtS < f.AtS+f.ForS {
					return true
				}
			}
		}
		return false
	}
	failing := schedule(t)
	isRestart := func(e scenario.Event) bool { return e.Do == "node_restart" }
	restart := failing.Events[slices.IndexFunc(failing.Events, isRestart)]
	failing.Events = append(failing.Events,
		scenario.Event{AtS: restart.AtS - 0.3, Do: "errors", Part: 0.5, Share: 0.5, ForS: 2})
	result := Shrink(failing, Budget{Runs: plentyOfRuns}, overlap)
	if len(result.Scenario.Events) != 2 || !overlap(result.Scenario) {
		t.Errorf("events left: %+v", result.Scenario.Events)
	}
}

// Events name nodes by number. When a node with a lower number is removed, the numbers in events must be adjusted.
func TestShrinkRenumbersNodesInEvents(t *testing.T) {
	failing := schedule(t)
	failing.Events = []scenario.Event{
		{AtS: 2, Do: "node_restart", Nodes: []int{1}},
		{AtS: 3, Do: "node_freeze", Nodes: []int{3}, ForS: 0.1},
	}
	result := Shrink(failing, Budget{Runs: plentyOfRuns}, func(s *scenario.Scenario) bool {
		return has(s, "node_freeze")
	})
	s := result.Scenario
	if s.Fleet.Nodes != 1 || len(s.Events) != 1 || !slices.Equal(s.Events[0].Nodes, []int{1}) {
		t.Errorf("%d nodes, %+v", s.Fleet.Nodes, s.Events)
	}
}

// Runs on real processes are slow, so Shrink stops at its budget and returns the smallest failure so far.
func TestShrinkStopsAtBudget(t *testing.T) {
	failing := schedule(t)
	always := func(*scenario.Scenario) bool { return true }
	const runs = 3
	result := Shrink(failing, Budget{Runs: runs}, always)
	if result.Runs != runs || result.Complete || len(result.Scenario.Events) >= len(failing.Events) {
		t.Errorf("%d runs, complete %v, %d events left", result.Runs, result.Complete, len(result.Scenario.Events))
	}
	checks := 0
	expired := func() bool { checks++; return checks > runs }
	result = Shrink(failing, Budget{Runs: plentyOfRuns, Expired: expired}, always)
	if result.Runs != runs || result.Complete {
		t.Errorf("expired budget: %d runs, complete %v", result.Runs, result.Complete)
	}
}

// If no run fails again, the original scenario is returned.
func TestShrinkReturnsOriginalIfNoRunFails(t *testing.T) {
	failing := schedule(t)
	result := Shrink(failing, Budget{Runs: plentyOfRuns}, func(*scenario.Scenario) bool { return false })
	if result.Scenario != failing || !result.Complete {
		t.Errorf("got scenario %+v, want the original", result.Scenario)
	}
}
