package realtime

import (
	"fmt"
	"testing"

	"dahliapin/internal/emulator/checker"
)

// Counters that are off by two percent or more are detected. A counter may lag, or be ahead by answers that are still
// on their way to clients.
func TestMetricsOffByTwoPercentAreDetected(t *testing.T) {
	var from, to clientCounts
	for n := range 2000 {
		to.pending++
		to.requestFinished("read", checker.Satisfied)
		if n < 1900 { // seen half a second before
			from.pending++
			from.requestFinished("read", checker.Satisfied)
		}
	}
	to.pending = 5
	for said, wrong := range map[int]bool{2000: false, 1900: false, 2020: false, 2045: true, 1860: true} {
		text := fmt.Sprintf("svc.downstream_requests.read.completed:%d|c\nsvc.downstream_requests.read.failed:0|c\nsvc.pending:9|g\n", said)
		if got := wrongCounts(text, from, to); len(got) > 0 != wrong {
			t.Errorf("%d: %v", said, got)
		}
	}
	if got := wrongCounts("svc.downstream_requests.read.completed:many|c\n", from, to); len(got) != 1 {
		t.Error(got)
	}
}
