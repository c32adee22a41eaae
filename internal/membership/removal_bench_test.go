package membership_test

import (
	"strconv"
	"testing"
)

// How long it takes until all know of one that was killed, by the number of nodes: decisions as in service, gossip as
// the library has it.
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
					b.Fatalf("%d heard of it: %+v", len(verdict.Detect), verdict.What)
				}
				b.ReportMetric(verdict.Detect[len(verdict.Detect)/2], "median-s")
				b.ReportMetric(verdict.Detect[len(verdict.Detect)*99/100], "p99-s")
				b.ReportMetric(verdict.Formed, "formed-s")
			}
		})
	}
}
