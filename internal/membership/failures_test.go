package membership_test

import (
	"testing"
	"time"

	"dahliapin/internal/membership"
)

const sec = time.Second

// nodesFrom returns the numbers of nodes from first to last.
func nodesFrom(first, last int) []int {
	var nodes []int
	for n := first; n <= last; n++ {
		nodes = append(nodes, n)
	}
	return nodes
}

// seedCount returns n, or 1 in short mode, which is used under the race detector.
func seedCount(n uint32) uint32 {
	if testing.Short() {
		return 1
	}
	return n
}

// failure is a failure scenario for twelve nodes.
type failure struct {
	name string
	// maxChanges is how often the view of an unaffected node may change. Nodes that fail together are removed once and
	// return once; each new process joins once.
	maxChanges int
	inject     func(*simulation)
}

var failures = []failure{
	{name: "30% lost, doubled and late, one killed", maxChanges: 2, inject: injectNoise},
	{name: "half of all lost", inject: func(s *simulation) {
		s.setNoise(0.5, 0, 100*time.Millisecond)
		s.run(60 * sec)
		s.setNoise(0, 0, 0)
	}},
	{name: "stopped for less than is borne", inject: func(s *simulation) {
		for n := range 10 {
			s.pauseFor(sec/2, n)
			s.run(sec)
			s.pauseFor(maxPause, 11-n)
			s.run(2 * sec)
		}
	}},
	{name: "stopped for more", maxChanges: 20, inject: func(s *simulation) {
		for n := range 5 {
			s.pauseFor(5*sec, n)
			s.run(5 * sec)
			s.pauseFor(15*sec, 11-n)
			s.run(5 * sec)
		}
	}},
	{name: "a third stopped at once", maxChanges: 2, inject: func(s *simulation) { s.pauseFor(8*sec, 1, 4, 7, 10) }},
	{name: "heard by nobody", maxChanges: 2, inject: func(s *simulation) {
		s.partitionFor(20*sec, false, []int{2}, nodesFrom(0, 11))
	}},
	{name: "hears nobody", maxChanges: 2, inject: func(s *simulation) {
		s.partitionFor(20*sec, false, nodesFrom(0, 11), []int{2})
	}},
	{name: "two do not hear each other", inject: func(s *simulation) {
		s.partitionFor(20*sec, true, []int{2}, []int{5})
	}},
	{name: "one does not hear another", inject: func(s *simulation) {
		s.partitionFor(20*sec, false, []int{2}, []int{5})
	}},
	{name: "a ring that does not hear the next", inject: injectOneWayRing},
	{name: "a link that comes and goes", inject: func(s *simulation) {
		for range 30 {
			s.partitionFor(sec, true, []int{7}, nodesFrom(0, 11))
			s.run(sec)
		}
	}},
	{name: "halves", inject: func(s *simulation) { s.partitionFor(60*sec, true, nodesFrom(0, 5), nodesFrom(6, 11)) }},
	{name: "three islands, all seeds on one", inject: injectThreeWayPartition},
	{name: "all seeds dead, and another", maxChanges: 5, inject: injectDeadSeeds},
	{name: "eight and four", maxChanges: 2, inject: func(s *simulation) {
		s.partitionFor(40*sec, true, nodesFrom(0, 7), nodesFrom(8, 11))
	}},
	{name: "the network down for everyone", inject: func(s *simulation) {
		s.partitionFor(10*sec, false, nodesFrom(0, 11), nodesFrom(0, 11))
	}},
	{name: "restarted one after the other", maxChanges: 24, inject: func(s *simulation) {
		for n := range 12 {
			s.nodes[n].kill()
			s.run(2 * sec)
			s.nodes[n].start()
		}
	}},
	{name: "nearly all killed at once and back", inject: func(s *simulation) {
		for n := range 11 {
			s.nodes[n].kill()
		}
		s.run(2 * sec)
		for n := range 11 {
			s.nodes[n].start()
		}
	}},
	{name: "the loop hangs", maxChanges: 2, inject: func(s *simulation) {
		s.nodes[3].loopStalled = true
		s.views.RecordProcess(s.now, "n4", false, false)
		s.run(15 * sec)
		s.nodes[3].loopStalled = false
		s.views.RecordProcess(s.now, "n4", true, false)
	}},
}

func injectNoise(s *simulation) {
	s.setNoise(0.3, 0.2, 300*time.Millisecond)
	s.run(20 * sec)
	s.nodes[4].kill()
	s.run(20 * sec)
	s.setNoise(0, 0, 0)
	s.nodes[4].start()
}

func injectOneWayRing(s *simulation) {
	for a := range 6 {
		s.setCut(a, (a+1)%6, true)
	}
	s.run(20 * sec)
	for a := range 6 {
		s.setCut(a, (a+1)%6, false)
	}
}

func injectThreeWayPartition(s *simulation) {
	setPartitions := func(cut bool) {
		for a := range 12 {
			for b := range 12 {
				if a/4 != b/4 {
					s.setCut(a, b, cut)
				}
			}
		}
	}
	setPartitions(true)
	s.run(20 * sec)
	setPartitions(false)
}

func injectDeadSeeds(s *simulation) {
	dead := []int{0, 1, 2, 8}
	for _, n := range dead {
		s.nodes[n].kill()
	}
	s.run(12 * sec)
	for _, n := range dead {
		s.nodes[n].start()
	}
}

// simulateFailure injects a failure among twelve nodes that know one another, and gives them time to settle.
func simulateFailure(seed uint32, configure func(*membership.Detector), f failure) *simulation {
	s := newSimulation(12, seed, configure)
	s.run(6 * sec)
	f.inject(s)
	s.run(15 * sec)
	return s
}

// Checks in virtual time that no unaffected node is removed, that all nodes converge to one view, and that it does not
// change more often than the failure starts and ends.
func TestFailuresConvergeToOneView(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			for seed := range seedCount(3) {
				verdict := simulateFailure(seed, nil, f).verdict()
				if verdict.Wrong() > 0 || verdict.Formed < 0 || verdict.Changes > f.maxChanges {
					t.Errorf("seed %d: %+v", seed, verdict)
				}
			}
		})
	}
}

// Guards against a checker that detects nothing: each detector with some rules disabled must break the verdict in a
// failure that the production rules pass.
func TestCheckerDetectsDisabledRules(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure string
		rules   membership.Rules
	}{
		// Disables the rules that at least two observers miss a process, and more than those that hear it. Either rule
		// alone would protect the member that one other process does not hear.
		{"one observer is enough", "one does not hear another", membership.Rules{
			MinObservers:      1,
			DetectIsolation:   true,
			FreezeRemovals:    true,
			MeasureRunTime:    true,
			StopOnStalledLoop: true,
		}},
		// Disables the detection of isolation and the freeze of removals. In this failure, the detection of isolation
		// alone would be sufficient.
		{"neither isolation nor freeze", "halves", membership.Rules{
			MinObservers:      2,
			RequireMajority:   true,
			MeasureRunTime:    true,
			StopOnStalledLoop: true,
		}},
		// Disables the detection of isolation and the freeze of removals. MinObservers is 1 as well: while no statement
		// arrives, a process has only its own, so that requiring two observers would already prevent each removal.
		{"considers all others dead", "the network down for everyone", membership.Rules{
			MinObservers:      1,
			RequireMajority:   true,
			MeasureRunTime:    true,
			StopOnStalledLoop: true,
		}},
		// Disables the measurement of run time, and all other rules except that of the event loop. Requiring two
		// observers would hide the fault, as only the one process that was stopped misses the others.
		{"measures by the clock", "stopped for more", membership.Rules{
			MinObservers:      1,
			StopOnStalledLoop: true,
		}},
		// Disables only the rule that a process whose event loop is stalled sends no heartbeats.
		{"sends heartbeats while its loop is stalled", "the loop hangs", membership.Rules{
			MinObservers:    2,
			RequireMajority: true,
			DetectIsolation: true,
			FreezeRemovals:  true,
			MeasureRunTime:  true,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := failureNamed(t, c.failure)
			configure := func(d *membership.Detector) { membership.SetRules(d, c.rules) }
			verdict := simulateFailure(1, configure, f).verdict()
			if verdict.Wrong() == 0 && verdict.Changes <= f.maxChanges {
				t.Errorf("fault not detected: %+v", verdict)
			}
		})
	}
}

func failureNamed(t *testing.T, name string) failure {
	t.Helper()
	for _, f := range failures {
		if f.name == name {
			return f
		}
	}
	t.Fatalf("no failure is named %q", name)
	return failure{}
}
