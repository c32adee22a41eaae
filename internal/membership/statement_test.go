package membership_test

import (
	"testing"

	"dahliapin/internal/membership"
)

// A process that leaves gracefully must be removed at once, and must be a member again as the same process when it
// rejoins.
func TestLeavingProcessIsRemovedAtOnceAndCanRejoin(t *testing.T) {
	s := newSimulation(5, 1, nil)
	s.run(6 * sec)
	detector := s.nodes[2].process.detector
	leave := func() { detector.Leave(false) }
	for _, step := range []struct {
		name    string
		do      func()
		members int
	}{
		{"leaves", leave, 4},
		{"returns", detector.Rejoin, 5},
		{"leaves again", leave, 4},
	} {
		step.do()
		s.run(sec)
		for _, n := range []int{0, 1, 3, 4} {
			view := s.nodes[n].process.detector.View()
			if len(view.Nodes) != step.members {
				t.Errorf("%s: n%d has %v, want %d", step.name, n+1, view.Nodes, step.members)
			}
		}
		s.run(6 * sec)
	}
}

// Guards against statements that no correct process makes.
func TestMergeRejectsInvalidStatements(t *testing.T) {
	detector := membership.New(config, 7, "n1", "10.0.0.1:1", nil)
	good := membership.Statement{Process: 9, Node: "n2", Addr: "10.0.0.2:1", Revision: 3}
	for name, change := range map[string]func(*membership.Statement){
		"no process": func(s *membership.Statement) { s.Process = 0 },
		"no name":    func(s *membership.Statement) { s.Node = "" },
		"no address": func(s *membership.Statement) { s.Addr = "" },
		"long name": func(s *membership.Statement) {
			s.Node = membership.NodeName(make([]byte, membership.MaxNameBytes+1))
		},
		"many neighbours": func(s *membership.Statement) {
			s.Hears = make([]membership.ProcessID, membership.MaxStatementNeighbours+1)
		},
		"misses itself": func(s *membership.Statement) { s.Misses = []membership.ProcessID{9} },
	} {
		bad := good
		change(&bad)
		if detector.Merge(bad) {
			t.Errorf("%s: merged: %+v", name, bad)
		}
	}
	if !detector.Merge(good) || detector.Merge(good) {
		t.Error("a valid statement is not merged exactly once")
	}
	renamed := good
	renamed.Node = "n3"
	renamed.Revision = 4
	if detector.Merge(renamed) {
		t.Error("a statement with another name is merged")
	}
}
