package realtime

import (
	"fmt"
	"testing"

	"dahliapin/internal/emulator/checker"
)

// Counters that differ by two percent or more from the clients' counts are detected. A counter may lag behind, or be
// ahead by the answers that clients have not received yet.
func TestMetricsOffByTwoPercentAreDetected(t *testing.T) {
	var from, to clientCounts
	for n := range 2000 {
		to.pending++
		to.requestFinished("read", checker.Satisfied)
		if n < 1900 { // counted before the earlier snapshot
			from.pending++
			from.requestFinished("read", checker.Satisfied)
		}
	}
	to.pending = 5
	for counter, contradicts := range map[int]bool{2000: false, 1900: false, 2020: false, 2045: true, 1860: true} {
		text := fmt.Sprintf("svc.downstream_requests.read.completed:%d|c\n"+
			"svc.downstream_requests.read.failed:0|c\nsvc.pending:9|g\n", counter)
		if got := contradictingCounters(text, from, to); len(got) > 0 != contradicts {
			t.Errorf("counter of %d: contradictions %v, want some: %v", counter, got, contradicts)
		}
	}
	if got := contradictingCounters("svc.downstream_requests.read.completed:many|c\n", from, to); len(got) != 1 {
		t.Errorf("counter that is not a number: contradictions %v, want one", got)
	}
}
