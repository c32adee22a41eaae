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

// wantPhases checks the phase counts of a fault, in the order of Phases.
func wantPhases(t *testing.T, table *Table, fault Fault, want ...uint64) {
	t.Helper()
	var got []uint64
	for _, p := range Phases {
		got = append(got, table.PhaseCount(fault, p))
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s: counts %v of phases %v, want %v", fault, got, Phases, want)
	}
}

// wantInFlight checks the counts of requests in flight during a fault, in the order of Effects.
func wantInFlight(t *testing.T, table *Table, fault Fault, want ...uint64) {
	t.Helper()
	var got []uint64
	for _, e := range Effects {
		got = append(got, table.InFlight(fault, e))
	}
	if !slices.Equal(got, want) {
		t.Errorf("%s: counts %v of requests in flight, want %v", fault, got, want)
	}
}

// A fault counts the phase of a node at its beginning and each phase that the node enters until its end.
func TestFaultCountsPhasesWhileActive(t *testing.T) {
	tracker := NewTracker(2)
	tracker.PhaseChanged(first, Starting)
	tracker.PhaseChanged(first, Serving)
	ended := tracker.FaultBegan("silent", nil) // the second node is down and not counted
	tracker.PhaseChanged(first, Draining)
	tracker.PhaseChanged(first, Draining) // no change
	tracker.PhaseChanged(second, Starting)
	ended()
	tracker.PhaseChanged(second, Serving)
	wantPhases(t, tracker.Table, "silent", 1, 1, 0, 1, 0)
}

// A fault of one node does not count other nodes, and a fault without duration counts only the current phase.
func TestFaultOfOneNodeCountsOnlyThatNode(t *testing.T) {
	tracker := NewTracker(2)
	tracker.PhaseChanged(first, Serving)
	tracker.PhaseChanged(second, Handover)
	tracker.FaultBegan("node_reload", []int{second})()
	tracker.PhaseChanged(second, Serving)
	wantPhases(t, tracker.Table, "node_reload", 0, 0, 0, 0, 1)
}

// A request in flight is counted once by each active fault, whether the request or the fault began first.
func TestFaultCountsRequestsInFlight(t *testing.T) {
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

// Pairs with a count of zero are the cases that the next soak has to cover. They are listed for each fault of the
// table, also for faults that have not occurred.
func TestTableListsPairsNeverMet(t *testing.T) {
	table := NewTable([]Fault{"drain", "add"})
	run := NewTracker(1)
	run.PhaseChanged(first, Serving)
	run.RequestSent(first, "r", policy.Idempotent)
	run.FaultBegan("drain", nil)()
	table.Add(run.Table)
	table.Add(run.Table)
	wantPhases(t, table, "drain", 0, 2, 0, 0, 0)
	wantInFlight(t, table, "drain", 2, 0, 0)
	never := table.Uncovered()
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
