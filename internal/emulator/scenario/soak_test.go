package scenario

import (
	"math"
	"testing"

	"dahliapin/internal/emulator/coverage"
)

// If schedules are drawn independently, rare phases are left to chance: in ten schedules of a minute, some faults never
// occurred during a handover. Ten schedules drawn in sequence must combine each phase with each fault that does not
// change a node's phase.
func TestSoaksCombineEachPhaseWithEachFault(t *testing.T) {
	const seeds = 10
	covered := newSoakCoverage()
	for seed := int64(1); seed <= seeds; seed++ {
		drawSoak(seed, 60, covered)
	}
	for i := range soakFaults {
		f := &soakFaults[i]
		for _, phase := range coverage.Phases {
			if f.changesPhase && phase != coverage.Serving {
				continue // such a fault begins at a serving node only
			}
			if covered.PhaseCount(f.name, phase) == 0 {
				t.Errorf("fault %s never coincides with the phase %s", f.name, phase)
			}
		}
	}
}

// A node that fails only if a freeze follows a reload was not found in six schedules, as two faults of the same node
// were left to chance. Six schedules of 20 s drawn in sequence must let each fault that reaches the process of a node
// follow each other one, and itself.
func TestSoaksCombineFaultsOfTheSameNode(t *testing.T) {
	const seeds = 6
	covered := newSoakCoverage()
	for seed := int64(1); seed <= seeds; seed++ {
		drawSoak(seed, 20, covered)
	}
	reachProcess := []coverage.Fault{freeze, reload, idleClients, stall}
	for _, first := range reachProcess {
		for _, second := range reachProcess {
			if covered.pairs[faultPair{first, second}] == 0 {
				t.Errorf("%s never follows %s at the same node", second, first)
			}
		}
	}
}

// The fault that has coincided with a phase least often must be the most likely one. An impossible fault must not be
// drawn.
func TestSoakFavoursLeastCoveredFaults(t *testing.T) {
	s := defaults()
	s.Fleet.Nodes = 2
	s.Classes = []Class{{Name: "read", HardMs: 1000}}
	covered := newSoakCoverage()
	plan := newSoakPlan(&s, covered)
	find := func(name coverage.Fault) *soakFault {
		for i := range soakFaults {
			if soakFaults[i].name == name {
				return &soakFaults[i]
			}
		}
		t.Fatalf("there is no fault %s", name)
		return nil
	}
	restart, freezes, slowList := find("node_restart"), find(freeze), find("discovery_slow")
	for range 9 {
		covered.CountPhase(freezes.name, coverage.Serving)
	}
	want := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: weight is %v, want %v", what, got, want)
		}
	}
	want("a freeze that was counted nine times at serving nodes", plan.weight(freezes, 3), 0.1)
	want("a restart that was never counted", plan.weight(restart, 3), 1)
	want("a fault that is not possible in this deployment", plan.weight(slowList, 3), 0)
	plan.add(&Event{AtS: 3, Do: "node_restart", Nodes: []int{2}})
	want("a freeze of the draining node", plan.nodeWeight(freezes, 1, 4), 1)
	want("a freeze of the serving node", plan.nodeWeight(freezes, 0, 4), 0.1)
	want("a freeze of any node", plan.weight(freezes, 4), 1)
	want("a restart of the draining node", plan.nodeWeight(restart, 1, 4), 0)
	want("a restart of the serving node", plan.nodeWeight(restart, 0, 4), 0.5)
	plan.add(&Event{AtS: 5, Do: string(reload), Nodes: []int{1}})
	want("a freeze soon after a first reload", plan.nodeWeight(freezes, 0, 6), 0.1*soakPairFavour)
	want("a freeze long after a reload", plan.nodeWeight(freezes, 0, 5+soakPairTime), 0.1)
	plan.add(&Event{AtS: 6, Do: string(freeze), Nodes: []int{1}, ForS: 0.1})
	plan.add(&Event{AtS: 6.5, Do: string(reload), Nodes: []int{1}})
	want("a freeze soon after a second reload", plan.nodeWeight(freezes, 0, 10.2), 1.0/11*soakPairFavour/2)
}

// A fault with a duration must be counted for the phases that nodes enter during it, whichever of the two was drawn
// first.
func TestSoakPlanCountsPhasesThatBeginDuringAFault(t *testing.T) {
	s := defaults()
	s.Fleet.Nodes = 1
	s.Classes = []Class{{Name: "read", HardMs: 1000}} // makes a node drain for 1.7 s
	covered := newSoakCoverage()
	plan := newSoakPlan(&s, covered)
	plan.add(&Event{AtS: 2, Do: "silent", Part: 0.1, ForS: 2})
	plan.add(&Event{AtS: 3, Do: "node_restart", Nodes: []int{1}})
	plan.add(&Event{AtS: 4, Do: "pause", Part: 0.1, ForS: 1})
	for _, want := range []struct {
		fault coverage.Fault
		phase coverage.Phase
		times uint64
	}{
		{"silent", coverage.Serving, 1}, {"silent", coverage.Draining, 1}, {"silent", coverage.Starting, 0},
		{"node_restart", coverage.Serving, 1}, {"node_restart", coverage.Draining, 0},
		{"pause", coverage.Serving, 0}, {"pause", coverage.Draining, 1}, {"pause", coverage.Starting, 1},
	} {
		if got := covered.PhaseCount(want.fault, want.phase); got != want.times {
			t.Errorf("fault %s coincided with phase %s %d times, want %d", want.fault, want.phase, got, want.times)
		}
	}
}
