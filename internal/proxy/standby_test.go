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

// The front was told that the node takes clients for as long as it ran. Standing by, it says no at once, loses nothing that it has
// or that still comes, gives back whoever is idle, keeps its caches, and comes back as it was.
func TestStandbyAndActiveLoseNothing(t *testing.T) {
	hold := make(chan bool)
	g := newHarness(t, 200, blockRequestA(hold), withMetrics)
	told := func(do func(context.Context) error, want error) {
		t.Helper()
		if err := do(context.Background()); !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	closed := func(r *bufio.Reader) {
		t.Helper()
		if _, err := r.ReadByte(); !errors.Is(err, syscall.ECONNRESET) { // so that what crosses it is sent again
			t.Errorf("ended by %v", err)
		}
	}
	slow, answers := g.client()
	fmt.Fprint(slow, "mg k v Oa Pc=read,d=9000\r\n")
	receive(t, g.cacheCommands)
	idle, idles := g.client()
	fmt.Fprint(idle, "mg k v Ob Pc=read,d=9000\r\n")
	g.expect(idles, "VA 5 Ob", "hello")
	for range 2 {
		told(g.Standby, nil)
	}
	came, comes := g.client()
	fmt.Fprint(came, "mn\r\nmg k v Oc Pc=read,d=9000\r\n")
	g.expect(comes, "SERVER_ERROR standby", "VA 5 Oc", "hello")
	closed(idles)
	closed(comes)
	late := func(id string, want ...string) {
		t.Helper()
		fmt.Fprintf(slow, "mg k v O%s Pc=read,d=9000\r\n", id)
		g.Counters()
		g.expect(answers, want...)
	}
	g.runInLoop(func() {
		g.lifecycle.standbyStartedAt = g.lifecycle.standbyStartedAt.Add(-standbyAcceptTime - standbyServeTime)
	})
	close(hold)
	late("d", "VA 5 Oa", "hello", "SERVER_ERROR busy") // who asks without end would be held for ever
	closed(answers)
	if s := g.Metrics(); s.Serving || s.Phase != "standby" {
		t.Errorf("%+v", s)
	}
	dials := g.Counters().Dials
	for range 2 {
		told(g.Active, nil)
	}
	back, again := g.client()
	fmt.Fprint(back, "mn\r\nmg k v Oe Pc=read,d=9000\r\n")
	g.expect(again, "MN", "VA 5 Oe", "hello")
	if n := g.Counters(); n.Dials != dials || n.Satisfied != 4 || n.Rejected != 1 || n.ClientsGone+n.Failed != 0 {
		t.Errorf("%+v", n)
	}
	told(g.Standby, nil)
	told(g.Active, nil)
	g.runInLoop(func() { g.startDrain() })
	told(g.Standby, admin.ErrEnding)
	told(g.Active, admin.ErrEnding)
}
