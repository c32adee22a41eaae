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
			var es []Entry
			for i := range n {
				es = append(es, Entry{ID: CacheID(fmt.Sprintf("c%d", i)), Weight: 1})
			}
			p := New(1, 1, HouseRules{Grades: []Grade{{SoftLimit: time.Second}}})
			for b.Loop() {
				p.Listed(1, Whole, es)
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
				p.After(Instant(time.Second), r, Outcome{Took: time.Millisecond})
			}
		})
	}
}

// waitingAtTheOrigin is a router with so many reads that wait for room at the origin, and a request that ends elsewhere.
func waitingAtTheOrigin(n int) (*Router, *Request) {
	rules, now := testRules(), Instant(time.Second)
	rules.Aside = true
	p := New(0, 1, rules)
	p.Listed(0, Whole, fleet(50, true))
	p.origin.out = int(p.room)
	for i := range n {
		r := &Request{ID: RequestID(fmt.Sprint(i)), Key: fmt.Sprint("k", i), Grade: GradeID(i % 2), Arrived: now, Deadline: now.Add(time.Second)}
		p.meet(now, r)
		r.Legs = []Leg{{To: "cache-1", Sent: now, Result: Missed}}
		p.toOrigin(now, r)
	}
	r := &Request{ID: "x", Key: "x", Arrived: now, Deadline: now.Add(time.Second), Over: true, Legs: []Leg{{To: "cache-1", Sent: now, Result: Answered}}}
	p.meet(now, r)
	return p, r
}

// How all caches stand is told ten times a second where operators ask.
func BenchmarkStandings(b *testing.B) {
	for _, n := range []int{200, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(0, 1, testRules())
			p.Listed(0, Whole, fleet(n, true))
			for b.Loop() {
				p.Standings(Instant(time.Second), func(CacheID, Standing) {})
			}
		})
	}
}
