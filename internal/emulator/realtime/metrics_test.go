package realtime

import (
	"fmt"
	"testing"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/client"
	"dahliapin/internal/emulator/world"
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

// A request that the node never received used to stay pending for good. Each one raised the number of requests that the
// node may have counted in excess of its clients, until no excess was detected.
func TestRequestThatWasNotSentIsNotPending(t *testing.T) {
	s := parse(t, baseScenario)
	settings, err := s.DecodedSettings(s.Fleet.Zones[0])
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(s, settings, nil, nil)
	m := &member{rig: r, inFlight: map[string]bool{}, excused: map[string]bool{}}
	for _, test := range []struct {
		name     string
		response client.Response
		pending  int
	}{
		{"not sent", client.Response{Final: checker.Cut, NotSent: true}, 0},
		{"answered", client.Response{Final: checker.Failed}, 0},
		{"closed without an answer: the node may have counted it", client.Response{Final: checker.Cut}, 1},
	} {
		m.counts.pending = 1
		r.onResponse(m, 0, world.Request{ID: test.name, Try: 1}, epoch, test.response)
		if m.counts.pending != test.pending {
			t.Errorf("%s: %d requests are pending, want %d", test.name, m.counts.pending, test.pending)
		}
	}
}
