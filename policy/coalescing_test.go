package policy

import (
	"slices"
	"testing"
	"time"
)

func TestConcurrentMissesAreServedByOneFetch(t *testing.T) {
	h := newCacheAsideHarness(t)
	var requests []*Request
	for range 5 {
		r, _ := h.arrive("k", readClass, false)
		requests = append(requests, r)
	}
	h.now = h.now.Add(5 * ms)
	for _, r := range requests {
		h.end(r, 0, CacheMiss)
	}
	leader := requests[0]
	if len(leader.Attempts) != 2 || leader.Attempts[1].Endpoint != "origin" || len(requests[1].Attempts) != 1 {
		t.Fatalf("attempts after the misses: %v %v", leader.Attempts, requests[1].Attempts)
	}
	h.now = h.now.Add(20 * ms)
	h.end(leader, 1, Answered)
	cachedAt := leader.Attempts[0].Endpoint
	for _, waiter := range requests[1:] {
		if len(waiter.Attempts) != 2 || waiter.Attempts[1].Endpoint != cachedAt {
			t.Errorf("attempts of a waiter are %v, want one at %v, which holds the value", waiter.Attempts, cachedAt)
		}
	}
}

// Guards against sorting the waiters on each outcome of any request, which took 2 ms with 10,000 of them. They must be
// sorted only when the origin has capacity; those with the highest demand are woken first.
func TestWaitersAreNotSortedWhileTheOriginHasNoCapacity(t *testing.T) {
	router, r := newRouterWithWaiters(50)
	before := slices.Clone(router.coalescer.waiters)
	decision := router.OnAttemptDone(Instant(time.Second), r, Outcome{Latency: ms})
	if len(decision.Wake) > 0 || !slices.Equal(before, router.coalescer.waiters) {
		t.Errorf("%d waiters woken, or waiters sorted, while the origin has no capacity", len(decision.Wake))
	}
	router.endpoints.origin.load.inFlight = 0
	decision = router.OnAttemptDone(Instant(time.Second), r, Outcome{Latency: ms})
	if len(decision.Wake) == 0 {
		t.Fatal("no waiter was woken although the origin has capacity")
	}
	waiters := router.coalescer.waiters
	first := slices.IndexFunc(waiters, func(waiter *Request) bool { return waiter.ID == decision.Wake[0] })
	last := waiters[len(waiters)-1]
	if router.popularity.demandFor(waiters[first].state.key) < router.popularity.demandFor(last.state.key) {
		t.Errorf("woken before waiters with higher demand: %v", decision.Wake)
	}
}

// Guards against executing a write twice: a write that waited for capacity at the origin was sent to the cache into
// which another request's fetch had put the value of the same key. The write took effect there, and again at the origin
// when the client retried it (soak, seed 101).
func TestWaitingWriteGoesToTheOriginOnly(t *testing.T) {
	h := newCacheAsideHarness(t)
	h.router.origin.limit = 1
	read, _ := h.arrive("k", readClass, false)
	h.end(read, 0, CacheMiss) // the read fetches the key and uses the capacity
	write, decision := h.arrive("k", keyedClass, true)
	if len(decision.SendTo) > 0 || decision.Answer != NoAnswer {
		t.Fatalf("the write is not waiting: %v", decision)
	}
	h.now = h.now.Add(20 * ms)
	h.end(read, 1, Answered)
	if len(write.Attempts) != 1 || write.Attempts[0].Endpoint != "origin" {
		t.Errorf("attempts of the write are %v, want one at the origin", write.Attempts)
	}
}
