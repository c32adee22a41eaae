package membership_test

import (
	"errors"
	"testing"
	"time"

	"dahliapin/internal/membership"
)

// Guards against two processes with one name. If both start at the same time, every process must see the same one give
// way; if one starts later, the live process that has the name must keep it.
func TestDuplicateNameLeavesOneProcess(t *testing.T) {
	for seed := range seedCount(10) {
		for _, delay := range []time.Duration{0, 8 * sec} {
			s := newSimulation(5, seed, nil)
			s.run(delay)
			duplicate := s.startDuplicate("n2")
			first := s.nodes[1].process
			s.run(12 * sec)
			firstRuns := s.nodes[1].process != nil
			duplicateRuns := duplicate.process != nil
			if firstRuns == duplicateRuns || delay > 0 && !firstRuns {
				t.Errorf("seed %d, %v later: the first runs: %v, the second: %v", seed, delay, firstRuns, duplicateRuns)
			}
			if delay > 0 && s.nodes[1].process != first {
				t.Errorf("seed %d: the first process was replaced", seed)
			}
			expectOneView(t, s, 5)
		}
	}
}

// startDuplicate starts another node, at an address of its own, with the name of an existing one.
func (s *simulation) startDuplicate(name string) *simNode {
	duplicate := &simNode{sim: s, number: len(s.nodes), name: name}
	s.nodes = append(s.nodes, duplicate)
	duplicate.start()
	return duplicate
}

// expectOneView fails the test unless all running processes have the same view with the given number of members.
func expectOneView(t *testing.T, s *simulation, members int) {
	t.Helper()
	var fingerprints []uint64
	for _, n := range s.nodes {
		if n.process == nil {
			continue
		}
		view := n.process.detector.View()
		fingerprints = append(fingerprints, view.Fingerprint)
		if view.Fingerprint != fingerprints[0] || len(view.Nodes) != members {
			t.Errorf("seed %d: %s has %v", s.random.Seed, n.name, view.Nodes)
		}
	}
}

// A process whose name another live process has must get a typed error with the address of that process.
func TestNameConflictErrorNamesTheHolder(t *testing.T) {
	s := newSimulation(5, 1, nil)
	s.run(8 * sec)
	detector := s.startDuplicate("n2").process.detector
	s.run(12 * sec)
	var conflict *membership.NameConflictError
	if !errors.As(detector.NameConflict(), &conflict) {
		t.Fatalf("no conflict: %v", detector.NameConflict())
	}
	if conflict.Node != "n2" || conflict.Addr != addrOf(1) || conflict.Taken {
		t.Errorf("%+v", conflict)
	}
}

// Guards against view changes during a replacement: a process that takes another's place must get its name at once, and
// no view may show a member leaving and joining.
func TestReplacedProcessStaysMember(t *testing.T) {
	for seed := range uint32(5) {
		s := newSimulation(5, seed, nil)
		s.run(6 * sec)
		s.nodes[2].process.detector.Leave(true)
		s.run(sec / 2)
		s.nodes[2].process = nil
		s.nodes[2].start()
		s.run(8 * sec)
		if verdict := s.verdict(); verdict.Wrong() > 0 || verdict.Changes > 0 {
			t.Errorf("seed %d: %+v", seed, verdict)
		}
	}
}
