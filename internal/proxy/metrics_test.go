package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// Figures that miss by more than a few are as good as none: each kind of end counts once, where it belongs, and a cache that says
// nothing or drains is told as avoided.
func TestMetricsCountEachRequestOnce(t *testing.T) {
	hold := make(chan bool)
	g := newHarness(t, 200, func(line string) string {
		switch {
		case strings.Contains(line, "Oheld"):
			<-hold
		case strings.Contains(line, "Omiss"):
			return "EN " + idFlag(line) + "\r\n"
		}
		return helloValue(line)
	}, withMetrics)
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\nmg k v Omiss Pc=read,d=9000\r\nms cut 1 Ocut Pc=pay,d=9000\r\nx\r\nmg k v Oheld Pc=read,d=9000\r\n")
	g.expect(r, "VA 5 Oa", "hello", "VA 11 Omiss", "from-origin", "SERVER_ERROR failed")
	gone, _ := g.client()
	fmt.Fprint(gone, "mg k v Oheld2 Pc=read,d=9000\r\n")
	g.waitUntil("both are held", func(n metrics.Counters) bool { return n.Requests == 5 && n.Attempts == 6 })
	gone.(*net.TCPConn).SetLinger(0)
	gone.Close()
	g.waitUntil("one has left", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
	said := make(chan *metrics.Snapshot, 1)
	look := func() *metrics.Snapshot {
		g.runInLoop(func() { g.publishMetrics(); said <- g.Metrics() })
		return receive(t, said)
	}
	s := look()
	of := map[string]metrics.ClassSnapshot{}
	for _, grade := range s.Classes {
		of[grade.Name] = grade
	}
	if of["read"] != (metrics.ClassSnapshot{Name: "read", Satisfied: 2}) || of["pay"] != (metrics.ClassSnapshot{Name: "pay", Failed: 1}) ||
		s.Attempts != 6 || s.Pending != 1 || s.Members != 1 || s.Unavailable != 0 || !s.Serving {
		t.Errorf("%+v", s)
	}
	g.runInLoop(func() {
		g.metrics.endpoints.EndpointStateChanged(g.now(), "c", policy.StateUnreachable)
		g.metrics.endpoints.EndpointStateChanged(g.now(), "long gone", policy.StateUnresponsive)
	})
	if s := look(); s.Unavailable != 1 {
		t.Errorf("%+v", s)
	}
	g.runInLoop(func() { // silent, and still with its share of legs: not avoided; with a trial now and then: avoided
		g.metrics.endpoints.EndpointStateChanged(g.now(), "c", policy.StateUnresponsive)
		for range 2 {
			g.metrics.endpoints.AttemptSent(g.now(), "c")
		}
	})
	if s := look(); s.Unavailable != 0 {
		t.Errorf("%+v", s)
	}
	g.runInLoop(func() {
		g.metrics.endpoints.lastAttempts["c"] = [2]policy.Instant{g.now().Add(-trialInterval), g.now()}
	})
	if s := look(); s.Unavailable != 1 {
		t.Errorf("%+v", s)
	}
	close(hold)
	g.expect(r, "VA 5 Oheld", "hello")
	if s := look(); s.Pending != 0 {
		t.Errorf("%+v", s)
	}
}
