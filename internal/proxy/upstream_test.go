package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/idletimeout"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// Endpoints send responses that never end. Together, the data received of them must stay a part of the memory.
// Responses above that are dropped and no longer counted.
func TestIncompleteResponsesTakeOnlyPartOfMemory(t *testing.T) {
	long := strings.Repeat("v", 60<<10)
	g := newHarness(t, 200, func(line string) string {
		return fmt.Sprintf("VA %d %s\r\n%s", len(long), idFlag(line), long)
	})
	c, _ := g.client()
	g.runInLoop(func() { g.config.MemoryLimit = int64(len(long)) }) // two incomplete responses exceed the limit
	for n := range 2 {
		fmt.Fprintf(c, "mg k2 v Ob%d Pc=read,d=9000\r\n", n)
	}
	g.waitUntil("the responses are dropped", func(n metrics.Counters) bool {
		return n.Outcomes[policy.ConnectionBroken] >= 2 && n.NotAccepted >= 2
	})
	incomplete := make(chan int, 1)
	g.runInLoop(func() { incomplete <- g.upstream.incompleteBytes })
	if <-incomplete > len(long) {
		t.Error("dropped responses are still counted")
	}
}

// Guards against a node that keeps its idle connections while a live endpoint has reached its connection limit: dials
// of other nodes were refused for seconds. The idle timeout must fall to its minimum. The end of an old connection, or
// a refusal by an endpoint without any other connection, does not indicate a full endpoint, and a refusal that changes
// nothing must not scan all connections.
func TestFullEndpointShortensIdleTimeout(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	timeouts := make(chan time.Duration, 2)
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	r.ReadString('\n')
	g.runInLoop(func() {
		for _, conn := range []*upstreamConn{
			{endpoint: &knownEndpoint{id: "c"}},
			{endpoint: g.endpoints.byID["o"]},
			{endpoint: g.endpoints.byID["c"], hasServed: true},
		} {
			g.onConnectRefused(conn)
		}
		timeouts <- g.idleTimeout()
		for range 9 {
			g.onConnectRefused(&upstreamConn{endpoint: g.endpoints.byID["c"]})
		}
		timeouts <- g.idleTimeout()
	})
	if before, after := <-timeouts, <-timeouts; before != 12*time.Second || after != time.Second {
		t.Errorf("idle timeout is %v, then %v", before, after)
	}
	countIdle := func() int {
		count := make(chan int, 1)
		g.runInLoop(func() { count <- len(g.endpoints.byID["c"].idleConns) })
		return <-count
	}
	for began := time.Now(); countIdle() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > testTimeout/2 {
			t.Fatal("the idle connection is not closed")
		}
	}
}

// Guards against a busy loop: the idle check of a connection in use was repeated immediately until its attempt ended,
// no event was handled meanwhile, and eight requests were lost. The next check must be a whole idle timeout away.
func TestConnInUseAtItsIdleCheckIsCheckedLater(t *testing.T) {
	p := &Proxy{clock: clock{startedAt: time.Now()}}
	p.upstream.idleTimeout = idletimeout.New(10 * time.Second)
	conn := &upstreamConn{
		purpose:     purposeAttempt,
		lastUsedAt:  policy.Instant(-time.Hour),
		idleCheckAt: clockEpoch,
	}
	conn.id = p.upstream.conns.Add(conn)
	p.onConnTimer(conn.id)
	at, ok := p.timers.Next()
	if !ok || at.Since(p.now()) < time.Second || p.upstream.conns.Get(conn.id) == nil {
		t.Errorf("next idle check in %v", at.Since(p.now()))
	}
}
