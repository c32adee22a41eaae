package policy

import (
	"fmt"
	"testing"
	"time"
)

// A change of the list, at the sizes that fleets grow to: each node pays it for each change.
func BenchmarkListed(b *testing.B) {
	for _, n := range []int{12, 190, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var es []Endpoint
			for i := range n {
				es = append(es, Endpoint{ID: EndpointID(fmt.Sprintf("c%d", i)), Weight: 1})
			}
			p := New(1, 1, Settings{Classes: []ServiceClass{{LatencyObjective: time.Second}}})
			for b.Loop() {
				p.UpdateEndpoints(1, CompleteUpdate, es)
			}
		})
	}
}

// An outcome while many requests wait for an origin that has no room: there are as many outcomes as requests, so what each costs must not
// grow much with those that wait.
func BenchmarkOutcomeWhileManyWait(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, r := waitingAtTheOrigin(n)
			for b.Loop() {
				p.OnAttemptDone(Instant(time.Second), r, Outcome{Latency: time.Millisecond})
			}
		})
	}
}

// waitingAtTheOrigin is a router with so many reads that wait for room at the origin, and a request that ends elsewhere.
func waitingAtTheOrigin(n int) (*Router, *Request) {
	rules, now := testRules(), Instant(time.Second)
	rules.CacheAside = true
	p := New(0, 1, rules)
	p.UpdateEndpoints(0, CompleteUpdate, fleet(50, true))
	p.origin.out = int(p.room)
	for i := range n {
		r := &Request{ID: RequestID(fmt.Sprint(i)), Key: fmt.Sprint("k", i), Class: ClassID(i % 2), ArrivedAt: now, Deadline: now.Add(time.Second)}
		p.meet(now, r)
		r.Attempts = []Attempt{{Endpoint: "cache-1", SentAt: now, Result: CacheMiss}}
		p.toOrigin(now, r)
	}
	r := &Request{ID: "x", Key: "x", ArrivedAt: now, Deadline: now.Add(time.Second), Finished: true, Attempts: []Attempt{{Endpoint: "cache-1", SentAt: now, Result: Answered}}}
	p.meet(now, r)
	return p, r
}

// How all caches stand is told ten times a second where operators ask.
func BenchmarkStandings(b *testing.B) {
	for _, n := range []int{200, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(0, 1, testRules())
			p.UpdateEndpoints(0, CompleteUpdate, fleet(n, true))
			for b.Loop() {
				p.EndpointStates(Instant(time.Second), func(EndpointID, EndpointState) {})
			}
		})
	}
}
