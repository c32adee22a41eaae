package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/policy"
)

// Guards against refused polls that keep discovery overloaded: 80 nodes polled 1,200 times a second, synchronously, and
// discovery never recovered. No node may back off for longer than an update can wait, so the rate grows with the number
// of nodes, but the polls are spread from the first refusal on.
func TestRefusedPollRateIsBounded(t *testing.T) {
	for _, test := range []struct{ nodes, mostPerSecond int }{{1, 10}, {80, 45}, {800, 400}} {
		t.Run(fmt.Sprintf("%d nodes", test.nodes), func(t *testing.T) {
			perSecond := make([]int, 60)
			for n := range test.nodes {
				countRefusedPolls(t, test.nodes, n, perSecond)
			}
			first, later := slices.Max(perSecond[:30]), slices.Max(perSecond[30:])
			if first > test.mostPerSecond || later > test.mostPerSecond {
				t.Errorf("%d polls in a second at first and %d later", first, later)
			}
		})
	}
}

// countRefusedPolls adds to perSecond the polls of one node of a fleet, all of which are refused.
func countRefusedPolls(t *testing.T, nodes, n int, perSecond []int) {
	t.Helper()
	p := New(nodes)
	random := keyhash.Source{Seed: uint32(n)}
	end := time.Duration(len(perSecond)) * time.Second
	for at := time.Duration(0); ; {
		backoff, _ := p.OnFailure(Refused, 0, random.Float64())
		if backoff > maxRefusedLimit {
			t.Fatalf("backs off for %v", backoff)
		}
		at += backoff
		if at >= end {
			return
		}
		perSecond[at/time.Second]++
	}
}

func TestBrokenLongPollIsRenewedAtOnce(t *testing.T) {
	p := New(80)
	if backoff, _ := p.OnFailure(ConnectionLost, 0, 0.99); backoff > 150*time.Millisecond {
		t.Errorf("broken long poll is renewed after %v, more than 200 ms", backoff)
	}
}

// Guards against a node that keeps requesting the same changes after an answer that cannot be read.
func TestUnreadableAnswerMakesTheNextPollComplete(t *testing.T) {
	p := New(80)
	p.SetVersion(7)
	for i, failure := range []Failure{ConnectionLost, Refused, Unreadable} {
		_, first := p.OnFailure(failure, 0, 0.5)
		next := p.NextPoll()
		if first != (i == 0) || next.Complete != (failure == Unreadable) || !next.Complete && next.SinceVersion != 7 {
			t.Errorf("after failure %v, first %v: %+v", failure, first, next)
		}
	}
}

// Guards against a node that polls a discovery again only half a minute after it was down for some seconds, and against
// a past failure that still makes backoffs longer.
func TestBackoffIsBoundedAndResetByUpdate(t *testing.T) {
	p := New(80)
	p.SetVersion(7)
	for _, failure := range []Failure{ConnectionLost, Refused, Unreadable} {
		p.OnFailure(failure, 0, 0.5)
	}
	for range 20 {
		if backoff, _ := p.OnFailure(ConnectionLost, 0, 1); backoff > maxLostLimit {
			t.Errorf("after lost connections it backs off for %v", backoff)
		}
	}
	kind, recovered := p.OnUpdate(9, false)
	if kind != policy.CompleteUpdate || !recovered {
		t.Errorf("the complete list is taken as %v, recovered: %v", kind, recovered)
	}
	backoff, first := p.OnFailure(ConnectionLost, 0, 1)
	if !first || backoff > initialLimit || p.NextPoll().SinceVersion != 9 {
		t.Errorf("after the update: backoff %v, first: %v, next poll %+v", backoff, first, p.NextPoll())
	}
}
