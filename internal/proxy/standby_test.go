package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"

	"dahliapin/internal/proxy/admin"
)

// Guards against a load balancer that keeps sending clients to a node which operators took out of service, for as long
// as it runs. In standby, the node must fail readiness checks at once, serve the requests it has and those that still
// arrive, close clients as they become idle, and keep its connections to endpoints. After Activate it must serve again.
func TestStandbyAndActiveLoseNoRequests(t *testing.T) {
	proceed := make(chan bool)
	g := newHarness(t, 200, blockRequestA(proceed), withMetrics)
	busy, busyAnswers := g.client()
	fmt.Fprint(busy, "mg k v Oa Pc=read,d=9000\r\n")
	receive(t, g.cacheCommands)
	idle, idleAnswers := g.client()
	fmt.Fprint(idle, "mg k v Ob Pc=read,d=9000\r\n")
	g.expect(idleAnswers, "VA 5 Ob", "hello")
	for range 2 {
		expectCommand(t, g.Standby, nil)
	}
	late, lateAnswers := g.client()
	fmt.Fprint(late, "mn\r\nmg k v Oc Pc=read,d=9000\r\n")
	g.expect(lateAnswers, "SERVER_ERROR standby", "VA 5 Oc", "hello")
	expectReset(t, idleAnswers)
	expectReset(t, lateAnswers)
	g.runInLoop(func() {
		g.lifecycle.standbyStartedAt = g.lifecycle.standbyStartedAt.Add(-standbyAcceptTime - standbyServeTime)
	})
	g.Counters() // waits until the loop has done that; otherwise it might read the next request before
	close(proceed)
	fmt.Fprint(busy, "mg k v Od Pc=read,d=9000\r\n") // must be rejected: a busy client would be served forever
	g.expect(busyAnswers, "VA 5 Oa", "hello", "SERVER_ERROR busy")
	expectReset(t, busyAnswers)
	if s := g.Metrics(); s.Serving || s.Phase != "standby" {
		t.Errorf("%+v", s)
	}
	dials := g.Counters().Dials
	for range 2 {
		expectCommand(t, g.Activate, nil)
	}
	back, backAnswers := g.client()
	fmt.Fprint(back, "mn\r\nmg k v Oe Pc=read,d=9000\r\n")
	g.expect(backAnswers, "MN", "VA 5 Oe", "hello")
	n := g.Counters()
	if n.Dials != dials || n.Satisfied != 4 || n.Rejected != 1 || n.ClientsGone+n.Failed != 0 {
		t.Errorf("%+v", n)
	}
	expectCommand(t, g.Standby, nil)
	expectCommand(t, g.Activate, nil)
	g.runInLoop(func() { g.startDrain() })
	expectCommand(t, g.Standby, admin.ErrShuttingDown)
	expectCommand(t, g.Activate, admin.ErrShuttingDown)
}

// expectCommand runs an operator's command and compares its result.
func expectCommand(t *testing.T, command func(context.Context) error, want error) {
	t.Helper()
	if err := command(context.Background()); !errors.Is(err, want) {
		t.Errorf("%v, want %v", err, want)
	}
}

// expectReset expects a connection to end by a reset, after which clients resend what they had sent.
func expectReset(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if _, err := r.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection ended with %v, want a reset", err)
	}
}
