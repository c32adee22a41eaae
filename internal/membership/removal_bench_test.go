package membership_test

import (
	"strconv"
	"testing"
)

// BenchmarkKilledProcessIsRemoved measures, by number of nodes, how long it takes until all know that a process was
// killed. Decisions are those of production, and gossip is modelled on the library's.
func BenchmarkKilledProcessIsRemoved(b *testing.B) {
	for _, nodes := range []int{12, 100, 400} {
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			for i := range b.N {
				s := newSimulation(nodes, uint32(i+1), nil)
				s.run(15 * sec)
				s.nodes[nodes/2].kill()
				s.run(12 * sec)
				verdict := s.verdict()
				if verdict.Wrong() > 0 || len(verdict.Detect) != nodes-1 {
					b.Fatalf("%d nodes detected it: %+v", len(verdict.Detect), verdict.Findings)
				}
				b.ReportMetric(verdict.Detect[len(verdict.Detect)/2], "median-s")
				b.ReportMetric(verdict.Detect[len(verdict.Detect)*99/100], "p99-s")
				b.ReportMetric(verdict.Formed, "formed-s")
			}
		})
	}
}
