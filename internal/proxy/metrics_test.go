package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// Operators compare the numbers in snapshots, so these must be exact. Each request must count once, by its outcome and
// class, and an unresponsive or unreachable endpoint must count as unavailable.
func TestMetricsCountEachRequestOnce(t *testing.T) {
	proceed := make(chan bool)
	g := newHarness(t, 200, func(line string) string {
		switch {
		case strings.Contains(line, "Oblocked"):
			<-proceed
		case strings.Contains(line, "Omiss"):
			return "EN " + idFlag(line) + "\r\n"
		}
		return helloValue(line)
	}, withMetrics)
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n", "mg k v Omiss Pc=read,d=9000\r\n",
		"ms cut 1 Ocut Pc=pay,d=9000\r\nx\r\n", "mg k v Oblocked Pc=read,d=9000\r\n")
	g.expect(r, "VA 5 Oa", "hello", "VA 11 Omiss", "from-origin", "SERVER_ERROR failed")
	gone, _ := g.client()
	fmt.Fprint(gone, "mg k v Oblocked2 Pc=read,d=9000\r\n")
	g.waitUntil("both are blocked", func(n metrics.Counters) bool { return n.Requests == 5 && n.Attempts == 6 })
	gone.(*net.TCPConn).SetLinger(0)
	gone.Close()
	g.waitUntil("one client is gone", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
	snapshots := make(chan *metrics.Snapshot, 1)
	publish := func() *metrics.Snapshot {
		g.runInLoop(func() {
			g.publishMetrics()
			snapshots <- g.Metrics()
		})
		return receive(t, snapshots)
	}
	s := publish()
	byName := map[string]metrics.ClassSnapshot{}
	for _, class := range s.Classes {
		byName[class.Name] = class
	}
	wantRead := metrics.ClassSnapshot{Name: "read", Satisfied: 2}
	wantPay := metrics.ClassSnapshot{Name: "pay", Failed: 1}
	if byName["read"] != wantRead || byName["pay"] != wantPay {
		t.Errorf("%+v", s)
	}
	if s.Attempts != 6 || s.Pending != 1 || s.Members != 1 || s.Unavailable != 0 || !s.Serving {
		t.Errorf("%+v", s)
	}
	testUnavailable(t, g, publish)
	close(proceed)
	g.expect(r, "VA 5 Oblocked", "hello")
	if s := publish(); s.Pending != 0 {
		t.Errorf("%+v", s)
	}
}

// testUnavailable checks which states of the cache c count as unavailable. An unresponsive cache does not while it
// still gets its share of attempts, and does once it gets only occasional trials.
func testUnavailable(t *testing.T, g *harness, publish func() *metrics.Snapshot) {
	t.Helper()
	g.runInLoop(func() {
		g.metrics.endpoints.EndpointStateChanged(g.now(), "c", policy.StateUnreachable)
		g.metrics.endpoints.EndpointStateChanged(g.now(), "long gone", policy.StateUnresponsive)
	})
	if s := publish(); s.Unavailable != 1 {
		t.Errorf("%+v", s)
	}
	g.runInLoop(func() {
		g.metrics.endpoints.EndpointStateChanged(g.now(), "c", policy.StateUnresponsive)
		for range 2 {
			g.metrics.endpoints.AttemptSent(g.now(), "c")
		}
	})
	if s := publish(); s.Unavailable != 0 {
		t.Errorf("%+v", s)
	}
	g.runInLoop(func() {
		g.metrics.endpoints.lastAttempts["c"] = [2]policy.Instant{g.now().Add(-trialInterval), g.now()}
	})
	if s := publish(); s.Unavailable != 1 {
		t.Errorf("%+v", s)
	}
}
