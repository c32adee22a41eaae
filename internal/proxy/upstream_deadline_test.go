package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// testConnectTimeout is short, so that a stall may exceed it.
const testConnectTimeout = 50 * time.Millisecond

func withShortConnects(config *Config) { config.Settings.ConnectTimeout = testConnectTimeout }

// stallAfter runs f in the event loop, and then delays the loop beyond the connect timeout before its timers are
// checked, as in an iteration with many events.
func (g *harness) stallAfter(f func()) {
	g.runInLoop(func() {
		f()
		g.runDeferred()
		time.Sleep(2 * testConnectTimeout)
		g.fireTimers()
	})
}

// Guards against attempts that fail although their connection is established: after a stall of the event loop, the
// connect's deadline was checked before the events that had waited, and the requests were rejected.
func TestConnectIsNotOverdueBecauseOfAStall(t *testing.T) {
	g := newHarness(t, 200, helloValue, withShortConnects)
	request := []byte("mg k v Oa Pc=read,d=9000\r\n")
	c, r := g.client()
	io.WriteString(c, "mn\r\n")
	g.expect(r, "MN")
	g.stallAfter(func() {
		g.downstream.conns.Each(func(id clientConnID, _ *clientConn) { g.onClientData(id, request, g.now()) })
	})
	g.expect(r, "VA 5 Oa", "hello")
	if n := g.Counters(); n.Outcomes[policy.ConnectFailed] != 0 || n.Dials != 1 {
		t.Errorf("%+v", n)
	}
}

// Guards against health checks that fail although they are answered in time: a stall may delay the event loop while the
// connection is opened, or while the endpoint answers.
func TestHealthCheckIsNotOverdueBecauseOfAStall(t *testing.T) {
	g := newHarness(t, 200, helloValue, withShortConnects)
	answered := make(chan bool, 9)
	g.moveEndpoint("o", g.listenHTTP(func(w http.ResponseWriter, _ *http.Request) { answered <- true }))
	countIdle := func() int {
		count := make(chan int, 1)
		g.runInLoop(func() { count <- len(g.endpoints.byID["o"].idleConns) })
		return receive(t, count)
	}
	returned := func(metrics.Counters) bool { return countIdle() == 1 }
	g.stallAfter(func() { g.CheckHealth("o") })
	g.waitUntil("the connection is idle", returned)
	receive(t, answered)
	g.stallAfter(func() { g.CheckHealth("o") })
	receive(t, answered)
	g.waitUntil("the connection is idle again", returned)
	if n := g.Counters(); n.Dials != 1 || n.Reused != 1 {
		t.Errorf("%+v", n)
	}
}

// A connect that is not established still fails at its deadline, also after a stall.
func TestConnectWithoutAnswerFailsAfterAStall(t *testing.T) {
	g := newHarness(t, 200, helloValue, withShortConnects)
	l, addr := listenScripted(t)
	fillBacklog(t, l)
	g.moveEndpoint("o", addr)
	g.stallAfter(func() { g.CheckHealth("o") })
	g.waitUntil("the connect has failed", func(metrics.Counters) bool {
		open := make(chan bool, 1)
		g.runInLoop(func() {
			found := false
			g.upstream.conns.Each(func(_ upstreamConnID, conn *upstreamConn) {
				found = found || conn.purpose == purposeHealthCheck
			})
			open <- found
		})
		return !receive(t, open)
	})
}
