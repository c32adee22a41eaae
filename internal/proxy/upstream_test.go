package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// What has not come whole and is not passed on yet is bounded over all connections.
func TestIncompleteResponsesTakeOnlyPartOfMemory(t *testing.T) {
	long := strings.Repeat("v", 60<<10)
	g := newHarness(t, 200, func(line string) string { return fmt.Sprintf("VA %d %s\r\n%s", len(long), idFlag(line), long) })
	c, _ := g.client()
	g.runInLoop(func() { g.config.Memory = int64(len(long)) }) // two that do not end are too much
	for n := range 2 {
		fmt.Fprintf(c, "mg k2 v Ob%d Pc=read,d=9000\r\n", n)
	}
	g.waitUntil("they are cut off", func(n metrics.Counters) bool {
		return n.Outcomes[policy.ConnectionBroken] >= 2 && n.RejectedForRoom >= 2
	})
	coming := make(chan int, 1)
	if g.runInLoop(func() { coming <- g.upstream.incompleteBytes }); <-coming > len(long) {
		t.Error("what is dropped is still counted")
	}
}

// A node kept idle connections as long as it might while a cache that lived had room for no more. An old link's end, or a
// refusal by a cache to which nothing is up, is no sign of that, and one that changes nothing must not look at all links.
func TestFullEndpointShortensIdleTimeout(t *testing.T) {
	g, spans := newHarness(t, 200, helloValue), make(chan time.Duration, 2)
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	r.ReadString('\n')
	g.runInLoop(func() {
		for _, l := range []*upstreamConn{{endpoint: &knownEndpoint{id: "c"}}, {endpoint: g.endpoints.byID["o"]}, {endpoint: g.endpoints.byID["c"], proven: true}} {
			g.onConnectRefused(l)
		}
		spans <- g.idleTimeout()
		for range 9 {
			g.onConnectRefused(&upstreamConn{endpoint: g.endpoints.byID["c"]})
		}
		spans <- g.idleTimeout()
	})
	if before, after := <-spans, <-spans; before != 12*time.Second || after != time.Second {
		t.Errorf("idle links are kept %v, then %v", before, after)
	}
	kept, began := make(chan int, 1), time.Now()
	for g.runInLoop(func() { kept <- len(g.endpoints.byID["c"].idleConns) }); <-kept > 0; g.runInLoop(func() { kept <- len(g.endpoints.byID["c"].idleConns) }) {
		if time.Sleep(10 * time.Millisecond); time.Since(began) > testTimeout/2 {
			t.Fatal("the one that was idle is kept all the same")
		}
	}
}

// A link that is taken up just before its idle time was looked after again at once until its leg ended, and no
// event was handled meanwhile: eight requests were lost on a rough day.
func TestConnInUseAtItsIdleCheckIsCheckedLater(t *testing.T) {
	r := &Proxy{clock: clock{startedAt: time.Now()}}
	r.config.Settings.Policy.IdleTimeout = 10 * time.Second
	l := &upstreamConn{purpose: purposeAttempt, lastUsedAt: policy.Instant(-time.Hour), idleCheckAt: clockEpoch}
	l.id = r.upstream.conns.Add(l)
	r.onConnTimer(l.id)
	if at, ok := r.timers.Next(); !ok || at.Since(r.now()) < time.Second || r.upstream.conns.Get(l.id) == nil {
		t.Errorf("to be looked after %v from now", at.Since(r.now()))
	}
}
