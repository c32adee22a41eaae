package membership_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runHistory draws failures one after the other, some of them at the same time, ends them all, and gives the nodes
// time to come to rest.
func runHistory(t *rapid.T) *simulation {
	n := rapid.IntRange(3, 7).Draw(t, "nodes")
	s := newSimulation(n, rapid.Uint32().Draw(t, "seed"), nil)
	s.run(5 * sec)
	for range rapid.IntRange(1, 5).Draw(t, "troubles") {
		injectRandomFailure(t, s)
		s.run(drawDuration(t, 60, "then"))
	}
	endFailures(s)
	s.run(16 * sec)
	return s
}

// drawDuration draws a time in tenths of a second.
func drawDuration(t *rapid.T, most int, name string) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(t, name)) * sec / 10
}

// injectRandomFailure begins one failure; most end by themselves later.
func injectRandomFailure(t *rapid.T, s *simulation) {
	n := len(s.nodes)
	node := rapid.IntRange(0, n-1)
	a, b := node.Draw(t, "a"), node.Draw(t, "b")
	switch rapid.IntRange(0, 6).Draw(t, "what") {
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

// cutOneWay has a node be heard by nobody, or hear nobody.
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

// endFailures ends all that is still under way.
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

// Whatever befalls whom in whatever order: nobody is taken out whom nothing befell, and in the end all have all.
func TestRandomFailuresEndInOneView(t *testing.T) {
	if flag.Lookup("rapid.seed").Value.String() == "0" { // the same verdict each time, unless others are asked for
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
				t.Fatalf("n%d has %v in the end, cut off: %v", n.number+1, view.Nodes, view.MayBePartitioned)
			}
		}
	})
}
