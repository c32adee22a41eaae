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

// A read that misses in the cache is fetched from the origin with the client's id and flags, also if the end of the
// connection delimits the response. A truncated response is not served. A write goes to the origin with its value and
// idempotency key.
func TestMissIsFetchedFromOriginAndWriteGoesToOrigin(t *testing.T) {
	g := newHarness(t, 200, func(line string) string { return "EN " + idFlag(line) + "\r\n" })
	c, r := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\n")
	g.expect(r, "VA 11 Oa", "from-origin")
	fmt.Fprint(c, "mg bare v Oc Pc=read,d=9000\r\n")
	g.expect(r, "VA 4 Oc", "bare")
	fmt.Fprint(c, "mg cut v Od Pc=read,d=9000\r\n")
	if got, _ := r.ReadString('\n'); strings.HasPrefix(got, "VA") {
		t.Errorf("a truncated value was served as complete: %q", got)
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

// Each response of a cache maps to one result of its attempt. A response that is malformed, truncated or for another
// request must be served to no client, and its connection must not be reused.
func TestAttemptResultByMetaResponse(t *testing.T) {
	results := map[string]policy.Result{
		"EN Oa\r\n":                         policy.CacheMiss,
		"SERVER_ERROR failed\r\n":           policy.Errored,
		"SERVER_ERROR busy\r\n":             policy.Rejected,
		"ERROR\r\n":                         policy.Errored,
		thenClose:                           policy.ConnectionBroken,
		"VA 5 Oa\r\nhe" + thenClose:         policy.ConnectionBroken,
		"VA 5 Oa\r\nhelloo\r\n":             policy.Errored,
		"HD Oa c1\r\n":                      policy.Errored,
		"VA 5 Oa\r\nhello\r\n" + thenClose:  policy.Answered,
		"\x8c\xa1 that never ends":          policy.Errored,
		"VA 3221225472 Oa\r\nhello":         policy.Errored,
		"VA 5 Oanother\r\nhello\r\n":        policy.Errored,
		"EN Oa" + strings.Repeat("x", 5000): policy.Errored,
		"VA 5 Oa Lx=\x01\xff,=\r\nhello\r\n\r\nnoise behind": policy.Answered,
	}
	for response, want := range results {
		g := newHarness(t, 200, func(string) string { return response })
		c, r := g.client()
		fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\n")
		if got, err := r.ReadString('\n'); err != nil || strings.HasPrefix(got, "VA 5") != (want == policy.Answered) {
			t.Errorf("after %q: %q %v", response, got, err)
		}
		if n := g.Counters(); n.Outcomes[want] == 0 || n.Attempts > 3 || n.Outcomes[policy.TimedOut] > 0 {
			t.Errorf("after %q: %v of %d attempts", response, n.Outcomes, n.Attempts)
		}
		if proper := strings.HasPrefix(response, "EN Oa\r") || strings.HasPrefix(response, "SERVER_"); !proper {
			receive(t, g.cacheConnClosed) // its connection must not be reused
		}
	}
}

// Guards against a second answer of an endpoint that arrives while the connection is idle and is taken for the response
// to the next request. The origin's responses do not say which request they answer. Such a connection must not be
// reused, and counts as a protocol error.
func TestConnWithUnrequestedDataIsNotReused(t *testing.T) {
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
	g.waitUntil("the connection is idle", func(metrics.Counters) bool {
		g.runInLoop(func() { reused <- len(g.endpoints.byID["c"].idleConns) == 1 })
		return <-reused
	})
	g.runInLoop(func() {
		endpoint := g.endpoints.byID["c"]
		old := endpoint.idleConns[0]
		io.WriteString(c, "MN\r\n") // the loop can't read it while this runs
		for socket := g.upstream.conns.Get(old).socket; ; {
			if idle, sure := socket.Idle(); sure && !idle {
				break
			}
		}
		conn, err := g.acquireConn(endpoint, purposeHealthCheck, false)
		reused <- err != nil || conn.id == old
	})
	if receive(t, reused) {
		t.Error("the connection is reused")
	}
	if n := g.Counters().ProtocolErrors; n != 1 {
		t.Errorf("%d protocol errors, want 1", n)
	}
}

// Guards against a second answer of an endpoint that arrives only after the connection has been reused for another
// attempt. If the answer did not name its request, it was taken for that attempt's response: the origin's value was
// served for another key, and a "busy", which means not executed, for a request that had been executed.
func TestDuplicateResponseIsNotServedForNextRequest(t *testing.T) {
	page := func(s string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s), s)
	}
	for _, c := range []struct {
		server, class, first, second, want string
	}{
		{"o", "read", page("1"), page("22"), "VA 2 Ox2"},
		{"c", "pay", "SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n", "SERVER_ERROR failed"},
	} {
		g := newHarness(t, 200, func(line string) string { return "EN " + idFlag(line) + "\r\n" })
		addr := g.listen(func(s net.Conn) {
			for r, before := bufio.NewReader(s), ""; ; {
				line, err := r.ReadString('\n')
				isHTTP := c.server == "o"
				for head := line; isHTTP && err == nil && strings.TrimSpace(head) != ""; {
					head, err = r.ReadString('\n')
				}
				if err != nil {
					return
				}
				io.WriteString(s, before) // the duplicate, as late as possible
				if before = c.first; strings.Contains(line, "k2") {
					before = c.second
				}
				io.WriteString(s, before)
			}
		})
		g.moveEndpoint(policy.EndpointID(c.server), addr)
		client, r := g.client()
		ask := func(n int) { fmt.Fprintf(client, "mg k%d v Ox%d Pc=%s,d=9000\r\n", n, n, c.class) }
		ask(1)
		r.ReadString('\n')
		if c.server == "o" {
			r.ReadString('\n')
		}
		g.runInLoop(func() { // the window for duplicates does not end during this test
			for _, id := range g.endpoints.byID[policy.EndpointID(c.server)].idleConns {
				if conn := g.upstream.conns.Get(id); conn.unattributedAt != 0 {
					conn.unattributedAt = g.now().Add(time.Hour)
				}
			}
		})
		g.Counters() // waits until the loop has done that
		ask(2)
		g.expect(r, c.want)
	}
}

// An attempt waits for its connection while a list update makes its endpoint drain. The attempt must not be sent, and
// must end as NotSent.
func TestAttemptIsNotSentToEndpointThatStartedToDrain(t *testing.T) {
	for _, state := range []string{"terminating", "terminated"} {
		g := newHarness(t, 200, helloValue, func(config *Config) {
			config.Settings.ConnectTimeout = testTimeout
			config.Settings.Policy.CancelAllowed = false
		})
		l, addr := listenScripted(t)
		acceptOne := fillBacklog(t, l)
		g.moveEndpoint("c", addr)
		c, r := g.client()
		fmt.Fprint(c, "mg k v Ox Pc=read,d=9000\r\n")
		g.waitUntil("the attempt waits for its connection", func(n metrics.Counters) bool { return n.Dials == 1 })
		g.listAnswers <- fmt.Sprintf(`{"generation":8,"reset":false,"instances":[
{"instanceId":"c","hostPort":"%s","machineType":"box","lifecycle":"%s"}]}`, addr, state)
		g.waitUntil("the update is applied", func(n metrics.Counters) bool { return n.EndpointUpdates == 2 })
		acceptOne()
		up, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() { // serves an attempt sent by mistake, so that the client's answer reveals it
			if line, err := bufio.NewReader(up).ReadString('\n'); err == nil {
				io.WriteString(up, helloValue(line))
			}
		}()
		got, _ := r.ReadString('\n')
		outcomes := g.Counters().Outcomes
		if strings.TrimSpace(got) == "VA 5 Ox" || outcomes[policy.NotSent] != 1 {
			t.Errorf("%s: client got %q, outcomes %v", state, got, outcomes)
		}
	}
}

// withDedupWindow sets the deduplication window of writes with an idempotency key.
func withDedupWindow(window time.Duration) func(*Config) {
	return func(config *Config) {
		classes := slices.Clone(config.Settings.Policy.Classes)
		classes[config.Settings.Names.Class([]byte("put"))].DedupWindow = window
		config.Settings.Policy.Classes = classes
	}
}

// Guards against executing a write with an idempotency key twice: its retry waited for a connection until the
// deduplication window had passed, and was then sent.
func TestRetryIsNotSentAfterDedupWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	g := newHarness(t, 200, helloValue, withDedupWindow(window), func(config *Config) {
		config.Settings.ConnectTimeout = testTimeout
	})
	l, addr := listenScripted(t)
	g.moveEndpoint("o", addr)
	c, r := g.client()
	for n := range 30 { // each adds to the retry budget
		fmt.Fprintf(c, "mg k v Oa%d Pc=read,d=9000\r\n", n)
		g.expect(r, fmt.Sprintf("VA 5 Oa%d", n), "hello")
	}
	dials := g.Counters().Dials
	fmt.Fprint(c, "ms k 1 Ox Pc=put,d=9000,k=7\r\nx\r\n")
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	firstAttempt, _ := bufio.NewReader(first).ReadString('\n')
	sent, acceptOne := time.Now(), fillBacklog(t, l)
	io.WriteString(first, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	g.waitUntil("the retry waits for its connection", func(n metrics.Counters) bool { return n.Dials >= dials+2 })
	for time.Since(sent) < window {
	}
	acceptOne()
	second, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	retries := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(second).ReadString('\n')
		retries <- line
		io.WriteString(second, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
	}()
	got, _ := r.ReadString('\n')
	select {
	case line := <-retries:
		t.Errorf("after %q, %q was sent after the deduplication window; client got %q", firstAttempt, line, got)
	default:
	}
}

// An endpoint was told the time until the deadline for a write whose idempotency key is remembered for less. After a
// pause it could execute the write when a repeat had been executed elsewhere, and its key was forgotten.
func TestEndpointIsToldNoLongerThanTheDedupWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	g := newHarness(t, 200, helloValue, withDedupWindow(window))
	c, r := g.client()
	fmt.Fprint(c, "ms k 1 Ox Pc=put,d=900,k=7\r\nx\r\n")
	g.expect(r, "HD Ox cfrom-origin")
	var toldMs int64
	request := receive(t, g.originRequests)
	if _, err := fmt.Sscanf(request, "PUT /k x c=put,d=%d,k=7 x", &toldMs); err != nil {
		t.Fatalf("%q: %v", request, err)
	}
	if toldMs <= 0 || toldMs > window.Milliseconds() {
		t.Errorf("the origin was told %d ms, want at most %v", toldMs, window)
	}
}

// If attempts may not be cancelled, the connection of one may be established after its request has been answered. The
// attempt must not be sent.
func TestAttemptIsNotSentAfterFinalAnswer(t *testing.T) {
	p := &Proxy{clock: clock{startedAt: time.Now()}}
	req := &inflightRequest{answered: true, attempts: []attempt{{inFlight: true}}}
	req.id = p.inflight.requests.Add(req)
	conn := &upstreamConn{
		purpose:  purposeAttempt,
		attempt:  attemptRef{request: req.id},
		endpoint: &knownEndpoint{},
	}
	conn.id = p.upstream.conns.Add(conn)
	p.startPurpose(conn)
	outcomes := p.metrics.counters.Outcomes
	if outcomes[policy.NotSent] != 1 || req.attempts[0].inFlight || conn.purpose != purposeIdle {
		t.Errorf("%v, still in flight: %v", outcomes, req.attempts[0].inFlight)
	}
	if conn.hasServed {
		t.Error("the connection counts as proof that its endpoint serves, although nothing was sent on it")
	}
}

// An endpoint closes or resets an idle connection while the node sends an attempt on it. If it does so before the
// write, and the event loop has not handled the event yet, the only cost must be a new connection, which is no protocol
// error: an endpoint may close idle connections. After the last byte has been written, the request may have been
// executed: one that is not idempotent must fail and must not be retried.
func TestConnClosedBeforeWriteIsReplacedAndAfterWriteFails(t *testing.T) {
	for _, c := range []struct {
		end, class, want string
		after            bool   // closed after the write
		sent             uint64 // total attempts
	}{
		{"close", "pay", "VA 5 Ox", false, 2}, {"reset", "pay", "VA 5 Ox", false, 2},
		{"close", "pay", "SERVER_ERROR failed", true, 2}, {"reset", "pay", "SERVER_ERROR failed", true, 2},
	} {
		g := newHarness(t, 200, helloValue)
		l, addr := listenScripted(t)
		g.moveEndpoint("c", addr)
		client, r := g.client()
		fmt.Fprint(client, "mg k v Owarm Pc=read,d=9000\r\n")
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewReader(conn)
		line, _ := lines.ReadString('\n')
		io.WriteString(conn, helloValue(line))
		g.expect(r, "VA 5 Owarm", "hello")
		ask := func() { fmt.Fprintf(client, "mg k v Ox Pc=%s,d=9000\r\n", c.class) }
		if c.after {
			ask()
			lines.ReadString('\n')
			closeMethods[c.end](conn.(*net.TCPConn))
		} else {
			g.pauseLoop(ask, nil, func() { closeMethods[c.end](conn.(*net.TCPConn)) })
			fresh, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			line, _ := bufio.NewReader(fresh).ReadString('\n')
			io.WriteString(fresh, helloValue(line))
		}
		g.expect(r, c.want)
		n := g.Counters()
		if n.Attempts != c.sent || n.Outcomes[policy.ConnectionBroken] != 0 != c.after || n.ProtocolErrors != 0 {
			t.Errorf("%s, after the write: %v: %d attempts, outcomes %v, %d protocol errors", c.end, c.after, n.Attempts,
				n.Outcomes, n.ProtocolErrors)
		}
	}
}
