package membership_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runHistory injects random failures one after the other, some of which overlap, ends them all, and gives the nodes
// time to settle.
func runHistory(t *rapid.T) *simulation {
	n := rapid.IntRange(3, 7).Draw(t, "nodes")
	s := newSimulation(n, rapid.Uint32().Draw(t, "seed"), nil)
	s.run(5 * sec)
	for range rapid.IntRange(1, 5).Draw(t, "failures") {
		injectRandomFailure(t, s)
		s.run(drawDuration(t, 60, "then"))
	}
	endFailures(s)
	s.run(16 * sec)
	return s
}

// drawDuration draws a duration in tenths of a second.
func drawDuration(t *rapid.T, maxTenths int, name string) time.Duration {
	return time.Duration(rapid.IntRange(1, maxTenths).Draw(t, name)) * sec / 10
}

// injectRandomFailure starts one failure; most end by themselves later.
func injectRandomFailure(t *rapid.T, s *simulation) {
	n := len(s.nodes)
	node := rapid.IntRange(0, n-1)
	a, b := node.Draw(t, "a"), node.Draw(t, "b")
	switch rapid.IntRange(0, 6).Draw(t, "failure") {
	case 0:
		s.nodes[a].kill()
		s.after(drawDuration(t, 150, "for"), func() {
			if s.nodes[a].process == nil {
				s.nodes[a].start()
			}
		})
	case 1:
		s.nodes[a].setPaused(true)
		s.after(drawDuration(t, 150, "for"), func() { s.nodes[a].setPaused(false) })
	case 2:
		if a != b {
			s.setCut(a, b, true)
			s.after(drawDuration(t, 200, "for"), func() { s.setCut(a, b, false) })
		}
	case 3, 4:
		cutOneWay(t, s, a)
	case 5:
		s.setNoise(float64(rapid.IntRange(0, 30).Draw(t, "lost"))/100, 0.1, drawDuration(t, 3, "late"))
	case 6:
		at := rapid.IntRange(1, n-1).Draw(t, "side")
		s.partitionFor(drawDuration(t, 200, "for"), true, nodesFrom(0, at-1), nodesFrom(at, n-1))
	}
}

// cutOneWay cuts all links from a node or all links to it.
func cutOneWay(t *rapid.T, s *simulation, node int) {
	out := rapid.Bool().Draw(t, "out")
	duration := drawDuration(t, 200, "for")
	for other := range s.nodes {
		from, to := node, other
		if !out {
			from, to = other, node
		}
		if other != node {
			s.setCut(from, to, true)
			s.after(duration, func() { s.setCut(from, to, false) })
		}
	}
}

// endFailures ends all failures that are still in progress.
func endFailures(s *simulation) {
	s.setNoise(0, 0, 0)
	for a, node := range s.nodes {
		for b := range s.nodes {
			if a != b {
				s.setCut(a, b, false)
			}
		}
		if node.process == nil {
			node.start()
		}
		node.setPaused(false)
	}
}

// Checks that after any failures in any order no unaffected node was removed, and that finally all nodes have all
// members.
func TestRandomFailuresEndInOneView(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" { // a fixed seed makes the verdict reproducible
		_ = flag.Set("rapid.seed", "20261201")
	}
	if testing.Short() {
		_ = flag.Set("rapid.checks", "20")
	}
	rapid.Check(t, func(t *rapid.T) {
		s := runHistory(t)
		if verdict := s.verdict(); verdict.Wrong() > 0 {
			t.Fatalf("%+v", verdict)
		}
		for _, n := range s.nodes {
			view := n.process.detector.View()
			if len(view.Nodes) != len(s.nodes) || view.MayBePartitioned {
				t.Fatalf("n%d has the members %v at the end, may be partitioned: %v",
					n.number+1, view.Nodes, view.MayBePartitioned)
			}
		}
	})
}
