package coverage

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"dahliapin/policy"
)

const (
	first  = 0
	second = 1
)

// wantPhases compares the phases that a fault met, in the order of Phases.
func wantPhases(t *testing.T, table *Table, fault Fault, want ...uint64) {
	t.Helper()
	var got []uint64
	for _, p := range Phases {
		got = append(got, table.Met(fault, p))
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s met phases %v of %v, want %v", fault, got, Phases, want)
	}
}

// wantInFlight compares the requests that a fault met, in the order of Effects.
func wantInFlight(t *testing.T, table *Table, fault Fault, want ...uint64) {
	t.Helper()
	var got []uint64
	for _, e := range Effects {
		got = append(got, table.InFlight(fault, e))
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s met requests %v, want %v", fault, got, want)
	}
}

// A fault meets the phase that a node is in as it begins, and those that the node comes to until it ends.
func TestFaultMeetsThePhasesOfItsTime(t *testing.T) {
	tracker := NewTracker(2)
	tracker.PhaseChanged(first, Starting)
	tracker.PhaseChanged(first, Serving)
	ended := tracker.FaultBegan("silent", nil) // the second node is down, and meets nothing
	tracker.PhaseChanged(first, Draining)
	tracker.PhaseChanged(first, Draining) // no change
	tracker.PhaseChanged(second, Starting)
	ended()
	tracker.PhaseChanged(second, Serving)
	wantPhases(t, tracker.Table, "silent", 1, 1, 0, 1, 0)
}

// A fault of one node meets nothing of the others, and one that takes no time meets what is there just then.
func TestFaultOfOneNodeMeetsThatNode(t *testing.T) {
	tracker := NewTracker(2)
	tracker.PhaseChanged(first, Serving)
	tracker.PhaseChanged(second, Handover)
	tracker.FaultBegan("node_reload", []int{second})()
	tracker.PhaseChanged(second, Serving)
	wantPhases(t, tracker.Table, "node_reload", 0, 0, 0, 0, 1)
}

// A request is met by the faults under way while it is in flight, once by each, whichever of the two began first.
func TestFaultMeetsRequestsInFlight(t *testing.T) {
	tracker := NewTracker(2)
	tracker.PhaseChanged(first, Serving)
	tracker.RequestSent(first, "before", policy.NotIdempotent)
	tracker.RequestSent(first, "gone", policy.Idempotent)
	tracker.RequestEnded(first, "gone")
	ended := tracker.FaultBegan("node_crowd", []int{first})
	tracker.RequestSent(first, "during", policy.IdempotentByKey)
	tracker.RequestSent(second, "elsewhere", policy.Idempotent)
	ended()
	tracker.RequestSent(first, "after", policy.Idempotent)
	wantInFlight(t, tracker.Table, "node_crowd", 0, 1, 1)
}

// What was never met is what the next soak has to look for: each such pair is named, in the text and as JSON, also of
// faults that never came.
func TestTableNamesThePairsThatWereNeverMet(t *testing.T) {
	table := NewTable([]Fault{"drain", "add"})
	run := NewTracker(1)
	run.PhaseChanged(first, Serving)
	run.RequestSent(first, "r", policy.Idempotent)
	run.FaultBegan("drain", nil)()
	table.Add(run.Table)
	table.Add(run.Table)
	wantPhases(t, table, "drain", 0, 2, 0, 0, 0)
	wantInFlight(t, table, "drain", 2, 0, 0)
	never := table.NeverMet()
	const pairs = 2 * (5 + 3) // of two faults, with five phases and three effects
	if len(never) != pairs-2 || slices.Contains(never, "drain/serving") || !slices.Contains(never, "add/by key") {
		t.Errorf("never met: %v", never)
	}
	var printed strings.Builder
	table.Print(&printed)
	if lines := strings.Split(printed.String(), "\n"); len(lines) != 4 || strings.Fields(lines[2])[2] != "2" {
		t.Errorf("printed:\n%s", &printed)
	}
	text, err := json.Marshal(table)
	const drainRow = `"fault":"drain","phases":{"draining":0,"handover":0,"serving":2`
	if err != nil || !strings.Contains(string(text), drainRow) {
		t.Errorf("%v: %s", err, text)
	}
}
