package proxy

import (
	"fmt"
	"testing"

	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
)

// healthCheckRecorder records the results of health checks.
type healthCheckRecorder struct {
	dispatch.Decider
	results chan policy.Result
}

func (r *healthCheckRecorder) OnHealthCheck(_ policy.Instant, _ policy.EndpointID, result policy.Result) {
	r.results <- result
}

// A health check whose connection cannot be opened for a reason on this machine must not count against its endpoint,
// whether no descriptor is free or the dial fails. Neither does such a dial indicate a full endpoint, also if the
// attempt that it was started for has been abandoned meanwhile.
func TestLocalFailureIsNotTheEndpointsFault(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	g.expect(r, "VA 5 Oa", "hello") // its connection is up and has served
	results := make(chan policy.Result, 9)
	serverFull := make(chan uint64, 1)
	g.runInLoop(func() {
		decider := &healthCheckRecorder{Decider: g.newDecider(nil), results: results}
		g.dispatcher = dispatch.NewWithDecider(g.now(), decider, g.Proxy, nil)
		for _, purpose := range []connPurpose{purposeHealthCheck, purposeIdle} {
			conn := &upstreamConn{endpoint: g.endpoints.byID["c"], purpose: purpose}
			conn.id = g.upstream.conns.Add(conn)
			g.onDialFailed(conn, true)
		}
		serverFull <- g.metrics.counters.ServerFull
	})
	if got := receive(t, results); got != policy.NotSent {
		t.Errorf("a health check whose dial failed locally has the result %v, want NotSent", got)
	}
	if count := receive(t, serverFull); count > 0 {
		t.Errorf("%d endpoints count as full after dials that failed locally", count)
	}
	g.runInLoop(func() {
		for g.closeLongestIdleConn() {
		}
		var inUse []upstreamConnID
		for g.upstream.conns.Len() <= g.maxUpstreamConns() {
			inUse = append(inUse, g.upstream.conns.Add(&upstreamConn{purpose: purposeAttempt}))
		}
		g.CheckHealth("c")
		for _, id := range inUse {
			g.upstream.conns.Remove(id)
		}
	})
	if got := receive(t, results); got != policy.NotSent {
		t.Errorf("a health check without a descriptor has the result %v, want NotSent", got)
	}
}
