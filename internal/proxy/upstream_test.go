package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// Endpoints send responses that never end. All that has come of them together must stay a part of the memory; those
// that exceed it are dropped, and are not counted any more.
func TestIncompleteResponsesTakeOnlyPartOfMemory(t *testing.T) {
	long := strings.Repeat("v", 60<<10)
	g := newHarness(t, 200, func(line string) string {
		return fmt.Sprintf("VA %d %s\r\n%s", len(long), idFlag(line), long)
	})
	c, _ := g.client()
	g.runInLoop(func() { g.config.MemoryLimit = int64(len(long)) }) // two that do not end are too much
	for n := range 2 {
		fmt.Fprintf(c, "mg k2 v Ob%d Pc=read,d=9000\r\n", n)
	}
	g.waitUntil("they are cut off", func(n metrics.Counters) bool {
		return n.Outcomes[policy.ConnectionBroken] >= 2 && n.NotAccepted >= 2
	})
	incomplete := make(chan int, 1)
	g.runInLoop(func() { incomplete <- g.upstream.incompleteBytes })
	if <-incomplete > len(long) {
		t.Error("what is dropped is still counted")
	}
}

// A node kept its idle connections for as long as it may while an endpoint that was alive had no room for more: other
// nodes' dials were refused for seconds. The idle timeout must fall to its least. The end of an old connection, or a
// refusal by an endpoint to which no other connection is up, is no sign of a full endpoint, and a refusal that
// changes nothing must not look at all connections.
func TestFullEndpointShortensIdleTimeout(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	timeouts := make(chan time.Duration, 2)
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	r.ReadString('\n')
	g.runInLoop(func() {
		for _, noSign := range []*upstreamConn{
			{endpoint: &knownEndpoint{id: "c"}},
			{endpoint: g.endpoints.byID["o"]},
			{endpoint: g.endpoints.byID["c"], proven: true},
		} {
			g.onConnectRefused(noSign)
		}
		timeouts <- g.idleTimeout()
		for range 9 {
			g.onConnectRefused(&upstreamConn{endpoint: g.endpoints.byID["c"]})
		}
		timeouts <- g.idleTimeout()
	})
	if before, after := <-timeouts, <-timeouts; before != 12*time.Second || after != time.Second {
		t.Errorf("idle connections are kept %v, then %v", before, after)
	}
	countIdle := func() int {
		count := make(chan int, 1)
		g.runInLoop(func() { count <- len(g.endpoints.byID["c"].idleConns) })
		return <-count
	}
	for began := time.Now(); countIdle() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > testTimeout/2 {
			t.Fatal("the one that was idle is kept all the same")
		}
	}
}

// A connection that was taken up just before its idle check was checked again at once until its attempt ended, and no
// event was handled meanwhile: eight requests were lost. The next check must be a whole idle timeout away.
func TestConnInUseAtItsIdleCheckIsCheckedLater(t *testing.T) {
	p := &Proxy{clock: clock{startedAt: time.Now()}}
	p.config.Settings.Policy.IdleTimeout = 10 * time.Second
	conn := &upstreamConn{
		purpose:     purposeAttempt,
		lastUsedAt:  policy.Instant(-time.Hour),
		idleCheckAt: clockEpoch,
	}
	conn.id = p.upstream.conns.Add(conn)
	p.onConnTimer(conn.id)
	at, ok := p.timers.Next()
	if !ok || at.Since(p.now()) < time.Second || p.upstream.conns.Get(conn.id) == nil {
		t.Errorf("checked again %v from now", at.Since(p.now()))
	}
}
