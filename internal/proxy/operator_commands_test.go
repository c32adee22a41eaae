package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"dahliapin/internal/proxy/admin"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

func withFigures(b *Config) { b.PublishMetrics = true }

// The front was told that the node takes clients for as long as it ran. Standing by, it says no at once, loses nothing that it has
// or that still comes, gives back whoever is idle, keeps its caches, and comes back as it was.
func TestANodeStandsByAndComesBackWithoutALoss(t *testing.T) {
	hold := make(chan bool)
	g := newRig(t, 200, holdingOa(hold), withFigures)
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
	wait(t, g.lines)
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
	g.runInLoop(func() { g.standbyStartedAt = g.standbyStartedAt.Add(-standbyAcceptTime - standbyServeTime) })
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

// Figures that miss by more than a few are as good as none: each kind of end counts once, where it belongs, and a cache that says
// nothing or drains is told as avoided.
func TestFiguresTellWhatBecameOfEachRequest(t *testing.T) {
	hold := make(chan bool)
	g := newRig(t, 200, func(line string) string {
		switch {
		case strings.Contains(line, "Oheld"):
			<-hold
		case strings.Contains(line, "Omiss"):
			return "EN " + id(line) + "\r\n"
		}
		return value(line)
	}, withFigures)
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\nmg k v Omiss Pc=read,d=9000\r\nms cut 1 Ocut Pc=pay,d=9000\r\nx\r\nmg k v Oheld Pc=read,d=9000\r\n")
	g.expect(r, "VA 5 Oa", "hello", "VA 11 Omiss", "from-origin", "SERVER_ERROR failed")
	gone, _ := g.client()
	fmt.Fprint(gone, "mg k v Oheld2 Pc=read,d=9000\r\n")
	g.until("both are held", func(n metrics.Counters) bool { return n.Requests == 5 && n.Attempts == 6 })
	gone.(*net.TCPConn).SetLinger(0)
	gone.Close()
	g.until("one has left", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
	said := make(chan *metrics.Snapshot, 1)
	look := func() *metrics.Snapshot {
		g.runInLoop(func() { g.publishMetrics(); said <- g.Metrics() })
		return wait(t, said)
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
		g.endpointStats.EndpointStateChanged(g.now(), "c", policy.StateUnreachable)
		g.endpointStats.EndpointStateChanged(g.now(), "long gone", policy.StateUnresponsive)
	})
	if s := look(); s.Unavailable != 1 {
		t.Errorf("%+v", s)
	}
	g.runInLoop(func() { // silent, and still with its share of legs: not avoided; with a trial now and then: avoided
		g.endpointStats.EndpointStateChanged(g.now(), "c", policy.StateUnresponsive)
		for range 2 {
			g.endpointStats.AttemptSent(g.now(), "c")
		}
	})
	if s := look(); s.Unavailable != 0 {
		t.Errorf("%+v", s)
	}
	g.runInLoop(func() { g.endpointStats.lastAttempts["c"] = [2]policy.Instant{g.now().Add(-trialInterval), g.now()} })
	if s := look(); s.Unavailable != 1 {
		t.Errorf("%+v", s)
	}
	close(hold)
	g.expect(r, "VA 5 Oheld", "hello")
	if s := look(); s.Pending != 0 {
		t.Errorf("%+v", s)
	}
}

// A process given back to its predecessor ended in the turn in which no client was known. Whom the kernel had let in by then and the
// loop had not heard of was cut off: one in some thousand, while the newcomer of an upgrade is ended under load.
func TestAProcessThatIsGivenBackEndsOnlyOnceNobodyCanBeOnTheWay(t *testing.T) {
	g := newRig(t, 200, holdingOa(nil))
	g.runInLoop(func() { g.replaced = true })
	g.Shutdown()
	g.serve.Wait()
	if took := g.now().Since(g.drainStartedAt); took < drainQuietTime {
		t.Errorf("ended %v after it was told to", took)
	}
}
