package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkUpdateEndpoints measures an update of the endpoint list at realistic fleet sizes. Each node pays this cost
// for each change.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, n := range []int{12, 190, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var endpoints []Endpoint
			for i := range n {
				endpoints = append(endpoints, Endpoint{ID: EndpointID(fmt.Sprintf("c%d", i)), Weight: 1})
			}
			router := New(1, 1, Settings{Classes: []ServiceClass{{LatencyObjective: time.Second}}})
			for b.Loop() {
				router.UpdateEndpoints(1, CompleteUpdate, endpoints)
			}
		})
	}
}

// BenchmarkOutcomeWhileManyWait measures an outcome while many requests wait for an origin without capacity. There are
// as many outcomes as requests, so the cost of one must not grow much with the number of waiters.
func BenchmarkOutcomeWhileManyWait(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			router, r := newRouterWithWaiters(n)
			for b.Loop() {
				router.OnAttemptDone(Instant(time.Second), r, Outcome{Latency: time.Millisecond})
			}
		})
	}
}

// newRouterWithWaiters returns a router with n reads that wait for capacity at the origin, and a request whose attempt
// at a cache has ended.
func newRouterWithWaiters(n int) (*Router, *Request) {
	settings := testSettings()
	settings.CacheAside = true
	now := Instant(time.Second)
	router := New(0, 1, settings)
	router.UpdateEndpoints(0, CompleteUpdate, testFleet(50, true))
	router.endpoints.origin.load.inFlight = int(router.origin.limit)
	for i := range n {
		waiter := &Request{
			ID:        RequestID(fmt.Sprint(i)),
			Key:       fmt.Sprint("k", i),
			Class:     ClassID(i % 2),
			ArrivedAt: now,
			Deadline:  now.Add(time.Second),
		}
		router.initState(now, waiter)
		waiter.Attempts = []Attempt{{Endpoint: "cache-1", SentAt: now, Result: CacheMiss}}
		router.sendToOrigin(now, waiter)
	}
	r := &Request{
		ID:        "x",
		Key:       "x",
		ArrivedAt: now,
		Deadline:  now.Add(time.Second),
		Finished:  true,
		Attempts:  []Attempt{{Endpoint: "cache-1", SentAt: now, Result: Answered}},
	}
	router.initState(now, r)
	return router, r
}

// BenchmarkEndpointStates measures the notification of observers, which runs over all endpoints ten times a second.
func BenchmarkEndpointStates(b *testing.B) {
	for _, n := range []int{200, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			router := New(0, 1, testSettings())
			router.UpdateEndpoints(0, CompleteUpdate, testFleet(n, true))
			for b.Loop() {
				router.NotifyStateChanges(Instant(time.Second), func(EndpointID, EndpointState) {})
			}
		})
	}
}

// BenchmarkNewPlacement measures building a placement, during which the event loop is blocked when the set of caches
// changes.
func BenchmarkNewPlacement(b *testing.B) {
	for _, n := range []int{12, 200, 800, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			caches := namedCaches(n)
			b.ReportAllocs()
			for b.Loop() {
				newPlacement(caches)
			}
		})
	}
}
