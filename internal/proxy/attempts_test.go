package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

func TestMissIsFetchedFromOriginAndWriteGoesToOrigin(t *testing.T) {
	g := newHarness(t, 200, func(line string) string { return "EN " + idFlag(line) + "\r\n" })
	c, r := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\n")
	g.expect(r, "VA 11 Oa", "from-origin")
	fmt.Fprint(c, "mg bare v Oc Pc=read,d=9000\r\n")
	g.expect(r, "VA 4 Oc", "bare")
	fmt.Fprint(c, "mg cut v Od Pc=read,d=9000\r\n")
	if got, _ := r.ReadString('\n'); strings.HasPrefix(got, "VA") {
		t.Errorf("a value cut off is served as whole: %q", got)
	}
	fmt.Fprint(c, "ms k2 3 Ob Pc=put,d=9000,k=77\r\nabc\r\n")
	g.expect(r, "HD Ob cfrom-origin")
	if got := receive(t, g.originRequests); !strings.HasPrefix(got, "GET /k1 a c=read,d=") {
		t.Error(got)
	}
	got := receive(t, g.originRequests)
	for strings.HasPrefix(got, "GET ") {
		got = receive(t, g.originRequests)
	}
	if !strings.HasPrefix(got, "PUT /k2 b c=put,d=") || !strings.HasSuffix(got, ",k=77 abc") {
		t.Error(got)
	}
}

func TestAttemptResultByMetaResponse(t *testing.T) {
	for said, how := range map[string]policy.Result{"EN Oa\r\n": policy.CacheMiss, "SERVER_ERROR failed\r\n": policy.Errored,
		"SERVER_ERROR busy\r\n": policy.Rejected, "ERROR\r\n": policy.Errored, thenClose: policy.ConnectionBroken,
		"VA 5 Oa\r\nhe" + thenClose: policy.ConnectionBroken, "VA 5 Oa\r\nhelloo\r\n": policy.Errored, "HD Oa c1\r\n": policy.Errored,
		"VA 5 Oa\r\nhello\r\n" + thenClose: policy.Answered, "\x8c\xa1 that never ends": policy.Errored,
		"VA 3221225472 Oa\r\nhello": policy.Errored, "VA 5 Oanother\r\nhello\r\n": policy.Errored,
		"VA 5 Oa Lx=\x01\xff,=\r\nhello\r\n\r\nnoise behind": policy.Answered, "EN Oa" + strings.Repeat("x", 5000): policy.Errored} {
		g := newHarness(t, 200, func(line string) string { return said })
		c, r := g.client()
		fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\n")
		if got, err := r.ReadString('\n'); err != nil || strings.HasPrefix(got, "VA 5") != (how == policy.Answered) {
			t.Errorf("after %q: %q %v", said, got, err)
		}
		if n := g.Counters(); n.Outcomes[how] == 0 || n.Attempts > 3 || n.Outcomes[policy.TimedOut] > 0 {
			t.Errorf("after %q: %v of %d legs", said, n.Outcomes, n.Attempts)
		}
		if proper := strings.HasPrefix(said, "EN Oa\r") || strings.HasPrefix(said, "SERVER_"); !proper {
			receive(t, g.cacheConnClosed) // its connection is of no further use
		}
	}
}

// A second copy that came behind an answer was taken for the next one's if that leg went out in between; what the
// origin sends does not name its request.
func TestConnWithUnaskedBytesIsNotReused(t *testing.T) {
	cache := make(chan net.Conn, 9)
	g := newHarness(t, 200, helloValue)
	other := g.listen(func(c net.Conn) { cache <- c })
	g.runInLoop(func() {
		g.endpoints.byID["c"].addr = other
		g.CheckHealth("c")
	})
	c := receive(t, cache)
	io.WriteString(c, "MN\r\n")
	reused := make(chan bool, 1)
	g.waitUntil("the link is idle", func(metrics.Counters) bool {
		g.runInLoop(func() { reused <- len(g.endpoints.byID["c"].idleConns) == 1 })
		return <-reused
	})
	g.runInLoop(func() {
		in := g.endpoints.byID["c"]
		old := in.idleConns[0]
		io.WriteString(c, "MN\r\n") // it can't be taken while this runs
		for w := g.upstream.conns.Get(old).wire; ; {
			if quiet, sure := w.Idle(); sure && !quiet {
				break
			}
		}
		l, err := g.acquireConn(in, purposeHealthCheck, false)
		reused <- err != nil || l.id == old
	})
	if receive(t, reused) {
		t.Error("the link is used again")
	}
}

// A second answer that came late, on a link that carried another leg by then, was taken for that one's where it does not say whose it is:
// the origin's value was served for another key, and a "busy" told that what ran had not.
func TestDuplicateResponseIsNotTakenForAnotherRequests(t *testing.T) {
	page := func(s string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s), s)
	}
	for _, c := range []struct {
		server, grade, first, second, want string
	}{
		{"o", "read", page("1"), page("22"), "VA 2 Ox2"},
		{"c", "pay", "SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n", "SERVER_ERROR failed"},
	} {
		g := newHarness(t, 200, func(line string) string { return "EN " + idFlag(line) + "\r\n" })
		addr := g.listen(func(s net.Conn) {
			for r, before := bufio.NewReader(s), ""; ; {
				line, err := r.ReadString('\n')
				for head := line; c.server == "o" && err == nil && strings.TrimSpace(head) != ""; head, err = r.ReadString('\n') {
				}
				if err != nil {
					return
				}
				io.WriteString(s, before) // again, as late as can be
				if before = c.first; strings.Contains(line, "k2") {
					before = c.second
				}
				io.WriteString(s, before)
			}
		})
		g.moveEndpoint(policy.EndpointID(c.server), addr)
		client, r := g.client()
		ask := func(n int) { fmt.Fprintf(client, "mg k%d v Ox%d Pc=%s,d=9000\r\n", n, n, c.grade) }
		ask(1)
		r.ReadString('\n')
		if c.server == "o" {
			r.ReadString('\n')
		}
		g.runInLoop(func() { // the time in which a second would come is not over for this test
			for _, id := range g.endpoints.byID[policy.EndpointID(c.server)].idleConns {
				if l := g.upstream.conns.Get(id); l.unattributedAt != 0 {
					l.unattributedAt = g.now().Add(time.Hour)
				}
			}
		})
		g.Counters() // comes after that
		ask(2)
		g.expect(r, c.want)
	}
}

// A leg that waited for its connection went to a cache that was told to drain meanwhile.
func TestAttemptIsNotSentToEndpointThatDrainsByNow(t *testing.T) {
	for _, state := range []string{"terminating", "terminated"} {
		g := newHarness(t, 200, helloValue, func(b *Config) { b.Settings.ConnectTimeout, b.Settings.Policy.CancelAllowed = testTimeout, false })
		l, addr := listenScripted(t)
		let := fillBacklog(t, l)
		g.moveEndpoint("c", addr)
		c, r := g.client()
		fmt.Fprint(c, "mg k v Ox Pc=read,d=9000\r\n")
		g.waitUntil("it waits for its link", func(n metrics.Counters) bool { return n.Dials == 1 })
		g.listAnswers <- fmt.Sprintf(`{"generation":8,"reset":false,"instances":[{"instanceId":"c","hostPort":"%s","machineType":"box","lifecycle":"%s"}]}`, addr, state)
		g.waitUntil("the news is heard", func(n metrics.Counters) bool { return n.EndpointUpdates == 2 })
		let()
		up, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() { // so that a leg that does come is served, and seen at the client
			if line, err := bufio.NewReader(up).ReadString('\n'); err == nil {
				io.WriteString(up, helloValue(line))
			}
		}()
		if got, _ := r.ReadString('\n'); strings.TrimSpace(got) == "VA 5 Ox" || g.Counters().Outcomes[policy.NotSent] != 1 {
			t.Errorf("%s: served %q by it, %v", state, got, g.Counters().Outcomes)
		}
	}
}

// The repeat of a labelled write waited for its connection until its window was over, and began then: its effect could happen twice.
func TestRetryIsNotSentAfterDedupWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	g := newHarness(t, 200, helloValue, func(b *Config) {
		b.Settings.ConnectTimeout, b.Settings.Policy.Classes = testTimeout, slices.Clone(b.Settings.Policy.Classes)
		b.Settings.Policy.Classes[b.Settings.Names.Class([]byte("put"))].DedupWindow = window
	})
	l, addr := listenScripted(t)
	g.moveEndpoint("o", addr)
	c, r := g.client()
	for n := range 30 { // each saves up some part of a repeat
		fmt.Fprintf(c, "mg k v Oa%d Pc=read,d=9000\r\n", n)
		g.expect(r, fmt.Sprintf("VA 5 Oa%d", n), "hello")
	}
	dials := g.Counters().Dials
	fmt.Fprint(c, "ms k 1 Ox Pc=put,d=9000,k=7\r\nx\r\n")
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	asked, _ := bufio.NewReader(first).ReadString('\n')
	sent, let := time.Now(), fillBacklog(t, l)
	io.WriteString(first, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	g.waitUntil("the repeat waits for its link", func(n metrics.Counters) bool { return n.Dials >= dials+2 })
	for time.Since(sent) < window {
	}
	let()
	second, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	again := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(second).ReadString('\n')
		again <- line
		io.WriteString(second, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
	}()
	got, _ := r.ReadString('\n')
	select {
	case line := <-again:
		t.Errorf("after %q, %q went out when its window was over; answered %q", asked, line, got)
	default:
	}
}

// Where legs may not be called off, a link that comes up late must not carry a leg of what is answered by then.
func TestAttemptIsNotSentAfterFinalAnswer(t *testing.T) {
	r := &Proxy{clock: clock{startedAt: time.Now()}}
	v := &inflightRequest{answered: true, attempts: []attempt{{inFlight: true}}}
	v.id = r.inflight.requests.Add(v)
	l := &upstreamConn{purpose: purposeAttempt, attempt: attemptRef{request: v.id}, endpoint: &knownEndpoint{}}
	l.id = r.upstream.conns.Add(l)
	if r.startPurpose(l); r.metrics.counters.Outcomes[policy.NotSent] != 1 || v.attempts[0].inFlight || l.purpose != purposeIdle {
		t.Errorf("%v, still out: %v", r.metrics.counters.Outcomes, v.attempts[0].inFlight)
	}
}

// What its server's end of an idle link means for a leg, by where it comes: before the write, so that the loop has not heard of it yet,
// it costs a new link and nothing else; after the last byte the leg may have run, and what can't be undone is not sent again.
func TestIdleConnClosedAroundAWrite(t *testing.T) {
	for _, c := range []struct {
		end, grade, want string
		after            bool
		sent             uint64 // legs in all
	}{
		{"end", "pay", "VA 5 Ox", false, 2}, {"reset", "pay", "VA 5 Ox", false, 2},
		{"end", "pay", "SERVER_ERROR failed", true, 2}, {"reset", "pay", "SERVER_ERROR failed", true, 2},
	} {
		g := newHarness(t, 200, helloValue)
		l, addr := listenScripted(t)
		g.moveEndpoint("c", addr)
		client, r := g.client()
		fmt.Fprint(client, "mg k v Owarm Pc=read,d=9000\r\n")
		link, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewReader(link)
		line, _ := lines.ReadString('\n')
		io.WriteString(link, helloValue(line))
		g.expect(r, "VA 5 Owarm", "hello")
		ask := func() { fmt.Fprintf(client, "mg k v Ox Pc=%s,d=9000\r\n", c.grade) }
		if c.after {
			ask()
			lines.ReadString('\n')
			waysToLeave[c.end](link.(*net.TCPConn))
		} else {
			g.pauseLoop(ask, nil, func() { waysToLeave[c.end](link.(*net.TCPConn)) })
			fresh, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			line, _ := bufio.NewReader(fresh).ReadString('\n')
			io.WriteString(fresh, helloValue(line))
		}
		g.expect(r, c.want)
		if n := g.Counters(); n.Attempts != c.sent || n.Outcomes[policy.ConnectionBroken] != 0 != c.after {
			t.Errorf("%s, after the write: %v: %d legs, %v", c.end, c.after, n.Attempts, n.Outcomes)
		}
	}
}
