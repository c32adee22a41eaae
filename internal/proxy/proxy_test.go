package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"
	"golang.org/x/sys/unix"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

const patience = 10 * time.Second // that a test waits for what must come: a slow machine's, never a measure

const terms = `{"service_grades":[
{"name":"read","benefit":1,"effect":"idempotent","group":"all","soft_limit_s":0.5,"hard_stop_s":1},
{"name":"pay","benefit":8,"effect":"irreversible","group":"all","soft_limit_s":0.5,"hard_stop_s":1},
{"name":"put","benefit":8,"effect":"deduplicated","group":"all","soft_limit_s":0.5,"hard_stop_s":1,"key_ttl_s":5}],
"bounds":{"cancel":true,"conn_idle_s":15,"connect_timeout_s":1,"most_legs":3,"probes":true,"retry_after":true,
"max_retry_after_s":0.6,"second_copies":%v},"family_info":{"mode":"aside","origin_kind":1},"kinds":["box","origin"],
"n_instances":1,"round_s":0.005,"rules":{"cold_from":0.3,"cold_s":1},"zone":"z"}`

const breaksOff = "(and closes)" // at the end of a cache's answer

const tooBusy, confused = "(is refused)", "(fails)" // by a discovery that has too much to do, or does not know a version

// rig is a node with one cache, an origin and discovery, which are the test's own.
type rig struct {
	*Proxy
	t     *testing.T
	addr  string
	lines chan string // what the cache was sent
	ended chan bool   // a connection to the cache has ended
	calls chan string // what the origin was asked
	list  chan string // what discovery answers next
	asked chan string // what it was asked
	over  chan bool
	serve sync.WaitGroup
}

// newRig starts one. The cache answers each line by the function; "" leaves it unanswered.
func newRig(t *testing.T, descriptors int, answer func(line string) string, with ...func(*Config)) *rig {
	g := &rig{t: t, lines: make(chan string, 999), ended: make(chan bool, 999), calls: make(chan string, 99),
		list: make(chan string, 9), asked: make(chan string, 99), over: make(chan bool)}
	cache := g.listen(func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				g.ended <- true
				return
			}
			g.lines <- strings.TrimSpace(line)
			said, breaks := strings.CutSuffix(answer(strings.TrimSpace(line)), breaksOff)
			if io.WriteString(c, said); breaks {
				c.Close()
			}
		}
	})
	web := func(h http.HandlerFunc) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: h}
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		return l.Addr().String()
	}
	origin := web(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		g.calls <- fmt.Sprintf("%s %s %s %s %s", r.Method, r.URL.Path, r.Header.Get("X-Call-Id"), r.Header.Get("X-Call-Info"), body)
		if r.URL.Path == "/bare" || r.URL.Path == "/cut" { // its end is that of the connection
			c, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbare")
			if r.URL.Path == "/cut" {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			return
		}
		io.WriteString(w, "from-origin")
	})
	known := fmt.Sprintf(`{"generation":7,"reset":true,"instances":[
{"instanceId":"c","hostPort":"%s","machineType":"box","lifecycle":"in_service","zone":"z"},
{"instanceId":"o","hostPort":"%s","machineType":"origin","lifecycle":"in_service","zone":"z"}]}`, cache, origin)
	g.list <- known
	list := web(func(w http.ResponseWriter, r *http.Request) {
		g.asked <- r.URL.String()
		select {
		case next := <-g.list:
			if next == breaksOff {
				panic(http.ErrAbortHandler)
			}
			if status, ok := map[string]int{tooBusy: 503, confused: 500}[next]; ok {
				w.WriteHeader(status)
			}
			io.WriteString(w, next)
		case <-r.Context().Done():
		case <-g.over:
		}
	})
	rules, err := settings.Decode(fastjson.MustParse(fmt.Sprintf(terms, false)))
	if err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	up := make(chan bool, 9)
	b := Config{Listen: "127.0.0.1:0", Discovery: list, Descriptors: descriptors, Memory: 64 << 20,
		Settings: rules, Log: quiet, OnPhaseChange: func(p Phase) { up <- p == Serving }}
	for _, add := range with {
		add(&b)
	}
	if g.Proxy, err = New(b); err != nil {
		t.Fatal(err)
	}
	g.addr = g.Addr(0)
	g.serve.Add(1)
	go func() { defer g.serve.Done(); g.Run() }()
	t.Cleanup(func() { close(g.over); g.Shutdown(); g.serve.Wait() })
	if !wait(t, up) {
		t.Fatal("not serving")
	}
	return g
}

func (g *rig) listen(serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func wait[T any](t *testing.T, from chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return got
}

// client connects to the node.
func (g *rig) client() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	g.t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func (g *rig) expect(r *bufio.Reader, want ...string) {
	g.t.Helper()
	for _, w := range want {
		if got, err := r.ReadString('\n'); strings.TrimSpace(got) != w {
			g.t.Fatalf("got %q (%v), want %q", got, err, w)
		}
	}
}

func (g *rig) until(what string, ok func(metrics.Counters) bool) {
	g.t.Helper()
	for by := time.Now().Add(patience); !ok(g.Counters()); {
		if time.Now().After(by) {
			g.t.Fatalf("never: %s", what)
		}
	}
}

func id(line string) string {
	for _, f := range strings.Fields(line) {
		if f[0] == 'O' {
			return f
		}
	}
	return ""
}

func value(line string) string { return "VA 5 " + id(line) + " h1\r\nhello\r\n" }

// holdingOa answers as value does, but the request a only once it may.
func holdingOa(may chan bool) func(string) string {
	return func(line string) string {
		if strings.Contains(line, "Oa") {
			<-may
		}
		return value(line)
	}
}

func TestAnswersKeepTheOrderOfTheirCommands(t *testing.T) {
	slow := make(chan bool)
	g := newRig(t, 200, holdingOa(slow))
	c, r := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\nmg k2 v Ob Pc=read,d=9000,size=3\r\nget x\r\nmg k3 v\r\nmn\r\n")
	g.until("the second is answered", func(n metrics.Counters) bool { return n.Satisfied == 1 })
	close(slow)
	g.expect(r, "VA 5 Oa", "hello", "VA 5 Ob", "hello", "ERROR", "CLIENT_ERROR bad command line", "MN")
	for range 2 {
		if line := wait(t, g.lines); !strings.HasPrefix(line, "mg k") || strings.Contains(line, "d=9000") {
			t.Errorf("the cache was sent %q", line)
		}
	}
}

func TestMissIsFetchedAndAWriteGoesToTheOrigin(t *testing.T) {
	g := newRig(t, 200, func(line string) string { return "EN " + id(line) + "\r\n" })
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
	if got := wait(t, g.calls); !strings.HasPrefix(got, "GET /k1 a c=read,d=") {
		t.Error(got)
	}
	got := wait(t, g.calls)
	for strings.HasPrefix(got, "GET ") {
		got = wait(t, g.calls)
	}
	if !strings.HasPrefix(got, "PUT /k2 b c=put,d=") || !strings.HasSuffix(got, ",k=77 abc") {
		t.Error(got)
	}
}

// What has not come whole and is not passed on yet is bounded over all connections.
func TestHalfValuesTakeOnlyPartOfTheMemory(t *testing.T) {
	long := strings.Repeat("v", 60<<10)
	g := newRig(t, 200, func(line string) string { return fmt.Sprintf("VA %d %s\r\n%s", len(long), id(line), long) })
	c, _ := g.client()
	g.runInLoop(func() { g.Memory = int64(len(long)) }) // two that do not end are too much
	for n := range 2 {
		fmt.Fprintf(c, "mg k2 v Ob%d Pc=read,d=9000\r\n", n)
	}
	g.until("they are cut off", func(n metrics.Counters) bool {
		return n.Outcomes[policy.ConnectionBroken] >= 2 && n.RejectedForRoom >= 2
	})
	coming := make(chan int, 1)
	if g.runInLoop(func() { coming <- g.incompleteResponseBytes }); <-coming > len(long) {
		t.Error("what is dropped is still counted")
	}
}

func TestOutcomesAreTheProtocols(t *testing.T) {
	for said, how := range map[string]policy.Result{"EN Oa\r\n": policy.CacheMiss, "SERVER_ERROR failed\r\n": policy.Errored,
		"SERVER_ERROR busy\r\n": policy.Rejected, "ERROR\r\n": policy.Errored, breaksOff: policy.ConnectionBroken,
		"VA 5 Oa\r\nhe" + breaksOff: policy.ConnectionBroken, "VA 5 Oa\r\nhelloo\r\n": policy.Errored, "HD Oa c1\r\n": policy.Errored,
		"VA 5 Oa\r\nhello\r\n" + breaksOff: policy.Answered, "\x8c\xa1 that never ends": policy.Errored,
		"VA 3221225472 Oa\r\nhello": policy.Errored, "VA 5 Oanother\r\nhello\r\n": policy.Errored,
		"VA 5 Oa Lx=\x01\xff,=\r\nhello\r\n\r\nnoise behind": policy.Answered, "EN Oa" + strings.Repeat("x", 5000): policy.Errored} {
		g := newRig(t, 200, func(line string) string { return said })
		c, r := g.client()
		fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\n")
		if got, err := r.ReadString('\n'); err != nil || strings.HasPrefix(got, "VA 5") != (how == policy.Answered) {
			t.Errorf("after %q: %q %v", said, got, err)
		}
		if n := g.Counters(); n.Outcomes[how] == 0 || n.Attempts > 3 || n.Outcomes[policy.TimedOut] > 0 {
			t.Errorf("after %q: %v of %d legs", said, n.Outcomes, n.Attempts)
		}
		if proper := strings.HasPrefix(said, "EN Oa\r") || strings.HasPrefix(said, "SERVER_"); !proper {
			wait(t, g.ended) // its connection is of no further use
		}
	}
}

// A second copy that came behind an answer was taken for the next one's if that leg went out in between; what the
// origin sends does not name its request.
func TestALinkThatBringsMoreCarriesNoOtherLeg(t *testing.T) {
	cache := make(chan net.Conn, 9)
	g := newRig(t, 200, value)
	other := g.listen(func(c net.Conn) { cache <- c })
	g.runInLoop(func() {
		g.endpoints["c"].addr = other
		g.CheckHealth("c")
	})
	c := wait(t, cache)
	io.WriteString(c, "MN\r\n")
	reused := make(chan bool, 1)
	g.until("the link is idle", func(metrics.Counters) bool {
		g.runInLoop(func() { reused <- len(g.endpoints["c"].idleConns) == 1 })
		return <-reused
	})
	g.runInLoop(func() {
		in := g.endpoints["c"]
		old := in.idleConns[0]
		io.WriteString(c, "MN\r\n") // it can't be taken while this runs
		for w := g.conns.Get(old).wire; ; {
			if quiet, sure := w.Idle(); sure && !quiet {
				break
			}
		}
		l, err := g.acquireConn(in, purposeHealthCheck, false)
		reused <- err != nil || l.id == old
	})
	if wait(t, reused) {
		t.Error("the link is used again")
	}
}

// A second answer that came late, on a link that carried another leg by then, was taken for that one's where it does not say whose it is:
// the origin's value was served for another key, and a "busy" told that what ran had not.
func TestASecondAnswerIsNotTakenForAnothersWhoeverSendsIt(t *testing.T) {
	page := func(s string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s), s)
	}
	for _, c := range []struct {
		server, grade, first, second, want string
	}{
		{"o", "read", page("1"), page("22"), "VA 2 Ox2"},
		{"c", "pay", "SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n", "SERVER_ERROR failed"},
	} {
		g := newRig(t, 200, func(line string) string { return "EN " + id(line) + "\r\n" })
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
		g.moves(policy.EndpointID(c.server), addr)
		client, r := g.client()
		ask := func(n int) { fmt.Fprintf(client, "mg k%d v Ox%d Pc=%s,d=9000\r\n", n, n, c.grade) }
		ask(1)
		r.ReadString('\n')
		if c.server == "o" {
			r.ReadString('\n')
		}
		g.runInLoop(func() { // the time in which a second would come is not over for this test
			for _, id := range g.endpoints[policy.EndpointID(c.server)].idleConns {
				if l := g.conns.Get(id); l.unattributedAt != 0 {
					l.unattributedAt = g.now().Add(time.Hour)
				}
			}
		})
		g.Counters() // comes after that
		ask(2)
		g.expect(r, c.want)
	}
}

func TestAClientThatLeavesTakesItsLegsAlong(t *testing.T) {
	g := newRig(t, 200, func(line string) string { return "" })
	c, _ := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\n")
	wait(t, g.lines)
	c.Close()
	wait(t, g.ended)
	g.until("it has left", func(n metrics.Counters) bool {
		return n.ClientsGone == 1 && n.Outcomes[policy.Cancelled] == 1 && n.Satisfied+n.Rejected+n.Failed == 0
	})
}

func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	g := newRig(t, 200, func(line string) string { return "" })
	c, r := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=1000\r\nmg k1 v Ob Pc=put,d=1000\r\n")
	g.expect(r, "SERVER_ERROR busy 250", "SERVER_ERROR busy 250")
}

func TestWhatCantBeReadOnEndsTheConnection(t *testing.T) {
	g := newRig(t, 200, value)
	for _, bad := range []string{strings.Repeat("x", 5000), "ms k 70000 Oa Pc=put,d=9\r\n", "ms k 2 Oa Pc=put,d=9\r\nabcd\r\n"} {
		c, r := g.client()
		fmt.Fprint(c, "mg k v Ox Pc=read,d=9000\r\n", bad)
		g.expect(r, "VA 5 Ox", "hello")
		rest, _ := io.ReadAll(r)
		if !strings.Contains(string(rest), "_ERROR ") {
			t.Errorf("after %.20q: %q", bad, rest)
		}
	}
	g.until("all are gone", func(n metrics.Counters) bool { return n.Malformed == 3 && n.Attempts == 3 })
}

// What no cache could use went on to one, and an id in use made two requests one there.
func TestWhatNoCacheCouldUseIsToldAndReachesNone(t *testing.T) {
	hold := make(chan bool)
	g := newRig(t, 200, holdingOa(hold))
	own, first := g.client()
	fmt.Fprint(own, "mg k v Oa Pc=read,d=9000\r\n")
	wait(t, g.lines)
	c, r := g.client()
	for _, bad := range []string{"Oa Pc=read,d=9000", "Ob Pc=nobody,d=9000", "Ob d=9000", "Ob Pc=read", "Ob Pc=read,d=0", "Ob Pc=read,d=-9",
		"Ob Pc=read,d=NaN", "Ob Pc=read,d=+Inf", "Ob Pc=read,d=0x9", "Ob Pc=read,d=9e3", "Ob Pc=read,d=1.2.3"} {
		fmt.Fprintf(c, "mg k v %s\r\n", bad)
		if got, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(got, "CLIENT_ERROR ") {
			t.Errorf("%q: %q %v", bad, got, err)
		}
	}
	close(hold)
	g.expect(first, "VA 5 Oa", "hello")
	g.until("it is forgotten", func(metrics.Counters) bool {
		left := make(chan int, 1)
		g.runInLoop(func() { left <- len(g.inflightIDs) + g.inflight.Len() })
		return <-left == 0
	})
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000.5\r\n")
	if g.expect(r, "VA 5 Oa", "hello"); g.Counters().Attempts != 2 {
		t.Errorf("%d legs for two", g.Counters().Attempts)
	}
}

// Connections that never spoke, and half commands, stayed for good.
func TestWhoSaysNothingWholeInTimeIsClosed(t *testing.T) {
	g := newRig(t, 200, value, withFront)
	_, silent := g.client()
	web, late := g.web(1), make(chan []string, 1)
	go func() { late <- web("GET /p/k HTTP/1.1\r\nHost: n\r\nX: ", "GET", "GET") }()
	half, told := g.client()
	fmt.Fprint(half, "ms k 5 Ob Pc=put,d=9000\r\nhe")
	g.expect(told, strings.TrimSpace(metaRefusalLines[refusedTooLate]))
	for _, r := range []*bufio.Reader{told, silent} {
		if _, err := r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("not closed: %v", err)
		}
	}
	g.same(wait(t, late), "408 not whole in time 18 close", "ended")
	if n := g.Counters(); n.Overdue != 3 {
		t.Errorf("%d were overdue", n.Overdue)
	}
}

// Clients that ask once and keep their connection left the others none: 128 stood idle, and half of all was refused.
func TestOfIdleClientsThoseStayThatComeBack(t *testing.T) {
	g := newRig(t, 200, value)
	often, r := g.client()
	for n := range 3 {
		fmt.Fprintf(often, "mg k v Oa%d Pc=read,d=9000\r\n", n)
		g.expect(r, fmt.Sprintf("VA 5 Oa%d", n), "hello")
	}
	var once []*bufio.Reader
	for n := range 30 {
		c, r := g.client()
		fmt.Fprintf(c, "mg k v Ob%d Pc=read,d=9000\r\n", n)
		g.expect(r, fmt.Sprintf("VA 5 Ob%d", n), "hello")
		once = append(once, r)
	}
	g.until("few are left", func(n metrics.Counters) bool { return int(n.IdleClosed) >= 31-g.engine.MaxClients()/idleClientShare })
	if _, err := once[0].ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("closed with: %v", err)
	}
	fmt.Fprint(often, "mn\r\n")
	if g.expect(r, "MN"); int(g.Counters().IdleClosed) == 31 {
		t.Error("all are closed")
	}
	if _, err := r.ReadByte(); !errors.Is(err, syscall.ECONNRESET) { // after two seconds
		t.Errorf("closed with: %v", err)
	}
}

func TestWhatPilesUpBehindOneRequestIsBounded(t *testing.T) {
	hold := make(chan bool)
	g := newRig(t, 200, func(line string) string { <-hold; return value(line) })
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	wait(t, g.lines)
	go fmt.Fprint(c, strings.Repeat("mn\r\n", 2*maxPendingResponses))
	g.until("it is no more read", func(metrics.Counters) bool {
		closing := make(chan bool, 1)
		g.runInLoop(func() { g.clients.Each(func(_ clientConnID, c *clientConn) { closing <- c.closing }) })
		return <-closing
	})
	close(hold)
	g.expect(r, "VA 5 Oa", "hello")
	rest, _ := io.ReadAll(r)
	if n := strings.Count(string(rest), "MN"); n != maxPendingResponses-1 || !strings.HasSuffix(string(rest), metaRefusalLines[refusedTooMany]) {
		t.Errorf("%d answers, then %q", n, rest[max(0, len(rest)-50):])
	}
}

func TestASlowReaderIsCutOffBeforeItCostsMemory(t *testing.T) {
	big := strings.Repeat("v", 64<<10)
	g := newRig(t, 200, func(line string) string { return "VA 65536 " + id(line) + "\r\n" + big + "\r\n" })
	c, _ := g.client()
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(c, "mg k%[1]d v Oa%[1]d Pc=read,d=9000\r\n", n); err != nil {
			break
		}
		if n%50 == 0 && g.engine.Unsent() > g.Memory/4 {
			t.Fatalf("%d bytes wait for a slow reader", g.engine.Unsent())
		}
	}
}

func TestTheListIsWatchedAndFollowed(t *testing.T) {
	g := newRig(t, 200, value)
	if first, second := wait(t, g.asked), wait(t, g.asked); first != endpointListPath || !strings.HasPrefix(second, endpointListPath+"?since=7&") {
		t.Errorf("asked %q, then %q", first, second)
	}
	g.list <- breaksOff
	if again := wait(t, g.asked); !strings.HasPrefix(again, endpointListPath+"?since=7&") {
		t.Errorf("after a call that broke off, asked %q", again)
	}
	addr := make(chan string, 1)
	g.runInLoop(func() { addr <- g.endpoints["c"].addr })
	g.list <- `{"generation":9,"reset":false,"instances":[{"instanceId":"c","lifecycle":"terminated"}]}`
	if third := wait(t, g.asked); !strings.HasPrefix(third, endpointListPath+"?since=9&") {
		t.Errorf("asked %q", third)
	}
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	if got, _ := r.ReadString('\n'); strings.HasPrefix(got, "VA 5") {
		t.Errorf("a cache that is gone answered %q", got)
	}
	g.list <- fmt.Sprintf(`{"generation":10,"reset":false,"instances":[{"instanceId":"d","hostPort":"%s","machineType":"box","lifecycle":"in_service"}]}`, <-addr)
	wait(t, g.asked)
	c, r = g.client() // a server under a new id may have taken over its address
	fmt.Fprint(c, "mg k v Ob Pc=read,d=9000\r\n")
	if got, _ := r.ReadString('\n'); !strings.HasPrefix(got, "VA 5") {
		t.Errorf("whoever took over its address answered %q", got)
	}
}

// A second watch that fell silent was known as late as the first, and with it the news that both had missed. Changes of an older version
// put a cache into service again that drains.
func TestAfterALostWatchNewsIsAskedForAtOnceAndNoOlderOneIsTaken(t *testing.T) {
	g := newRig(t, 200, value)
	wait(t, g.asked)
	wait(t, g.asked)
	g.list <- breaksOff
	const soon = "?since=7&timeout_ms=1"
	if again := wait(t, g.asked); again != endpointListPath+soon {
		t.Errorf("after a watch that broke off, asked %q", again)
	}
	silent := time.Now()
	if again := wait(t, g.asked); again != endpointListPath+soon || time.Since(silent) > 4*time.Second { // a watch's 5.5 s
		t.Errorf("after %v in which nothing came, asked %q", time.Since(silent), again)
	}
	entry := `{"generation":%d,"reset":false,"instances":[{"instanceId":"c","hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"%s"}]}`
	for range 2 { // the call that was given up may take one yet
		g.list <- fmt.Sprintf(entry, 8, "terminating")
	}
	g.list <- fmt.Sprintf(entry, 6, "in_service")
	again := wait(t, g.asked)
	for strings.HasPrefix(again, endpointListPath+"?since=8&timeout_ms=4") {
		again = wait(t, g.asked)
	}
	if again != endpointListPath {
		t.Errorf("after an older version, asked %q", again)
	}
	c, r := g.client()
	fmt.Fprint(c, "mg k v Ox Pc=read,d=9000\r\n")
	g.expect(r, "VA 11 Ox", "from-origin")
}

// After a release that ended most nodes at once, each of them asked for the whole list, of which it held most.
func TestANodeThatHoldsALastListAsksForWhatIsNew(t *testing.T) {
	g := newRig(t, 200, value)
	wait(t, g.asked)
	wait(t, g.asked)
	up := make(chan bool, 9)
	again := g.Config
	again.Listen, again.OnPhaseChange = "127.0.0.1:0", func(p Phase) { up <- p == Serving }
	again.LastEndpoints = []byte(`{"generation":41,"reset":true,"instances":[
{"instanceId":"c","hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"in_service","zone":"z"}]}`)
	r, err := New(again)
	if err != nil {
		t.Fatal(err)
	}
	g.serve.Add(1)
	go func() { defer g.serve.Done(); r.Run() }()
	t.Cleanup(r.Shutdown)
	if got := wait(t, g.asked); !strings.HasPrefix(got, endpointListPath+"?since=41&") {
		t.Errorf("asked %q", got)
	}
	if !wait(t, up) {
		t.Error("it does not serve by its last list while nothing is new")
	}
}

// A discovery with too much to do was asked for the whole list instead of what is new: a hundred lines for none.
func TestARefusedWatchIsNotMadeAWholeList(t *testing.T) {
	g := newRig(t, 200, value)
	wait(t, g.asked)
	wait(t, g.asked)
	g.list <- tooBusy
	if again := wait(t, g.asked); !strings.HasPrefix(again, endpointListPath+"?since=7&") {
		t.Errorf("after a refusal, asked %q", again)
	}
	g.list <- confused // else a version that it takes for a fault would be asked for without end
	if again := wait(t, g.asked); again != endpointListPath {
		t.Errorf("after a failure, asked %q", again)
	}
}

// Half a list read as one without caches, and an entry without a name as if its cache had gone: either emptied the node.
func TestAListThatCannotBeReadWholeDropsNoCache(t *testing.T) {
	for _, bad := range []string{`{"generation":9,"reset":true}`, `{"generation":9,"reset":true,"inst`, `[]`,
		`{"generation":9,"reset":true,"instances":[{"hostPort":"127.0.0.1:1","lifecycle":"in_service"}]}`} {
		g, lines := newRig(t, 200, value), make(chan int, 1)
		var said bytes.Buffer
		g.runInLoop(func() { g.Log.SetOutput(&said) })
		for i := range 5 {
			if i > 1 {
				g.list <- bad
			}
			wait(t, g.asked)
		}
		g.runInLoop(func() { lines <- 10*len(g.endpoints) + strings.Count(said.String(), "\n") })
		if got := <-lines; got != 21 {
			t.Errorf("after three times %s: %d (ten for each cache, one for a line in the log)", bad, got)
		}
	}
}

// A node kept idle connections as long as it might while a cache that lived had room for no more. An old link's end, or a
// refusal by a cache to which nothing is up, is no sign of that, and one that changes nothing must not look at all links.
func TestIdleLinksAreGivenBackSoonerWhereACacheIsFull(t *testing.T) {
	g, spans := newRig(t, 200, value), make(chan time.Duration, 2)
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	r.ReadString('\n')
	g.runInLoop(func() {
		for _, l := range []*upstreamConn{{endpoint: &knownEndpoint{id: "c"}}, {endpoint: g.endpoints["o"]}, {endpoint: g.endpoints["c"], proven: true}} {
			g.onConnectRefused(l)
		}
		spans <- g.idleTimeout()
		for range 9 {
			g.onConnectRefused(&upstreamConn{endpoint: g.endpoints["c"]})
		}
		spans <- g.idleTimeout()
	})
	if before, after := <-spans, <-spans; before != 12*time.Second || after != time.Second {
		t.Errorf("idle links are kept %v, then %v", before, after)
	}
	kept, began := make(chan int, 1), time.Now()
	for g.runInLoop(func() { kept <- len(g.endpoints["c"].idleConns) }); <-kept > 0; g.runInLoop(func() { kept <- len(g.endpoints["c"].idleConns) }) {
		if time.Sleep(10 * time.Millisecond); time.Since(began) > patience/2 {
			t.Fatal("the one that was idle is kept all the same")
		}
	}
}

// While legs held all of the links' share, a list that had moved was not called for.
func TestAListThatMovesIsCalledForWhateverLinksAreOut(t *testing.T) {
	g := newRig(t, 64, value)
	g.runInLoop(func() {
		for g.conns.Len() <= g.maxUpstreamConns() {
			g.conns.Add(&upstreamConn{purpose: purposeAttempt})
		}
	})
	asked := make(chan string, 9)
	g.SetDiscovery(g.listen(func(c net.Conn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		asked <- line
	}))
	if got := wait(t, asked); !strings.HasPrefix(got, "GET "+endpointListPath+" HTTP") {
		t.Errorf("asked %q there", got)
	}
}

func TestDrainingServesWhatStillComesAndEnds(t *testing.T) {
	hold := make(chan bool)
	g := newRig(t, 200, holdingOa(hold), withFront)
	before, slow := g.client()
	fmt.Fprint(before, "mg k v Oa Pc=read,d=900\r\n")
	web := g.web(1)
	web(req("GET /p/k", "X-Id: a2", "X-Wait: 900") + req("GET /p/k", "X-Wait: 900"))
	for range 3 {
		wait(t, g.lines)
	}
	g.Shutdown()
	g.Shutdown()
	g.Counters() // comes after what was asked before: else the next command may, too
	after, r := g.client()
	fmt.Fprint(after, "mn\r\nmg k2 v Ob Pc=read,d=900\r\nmg k3 v Oc Pc=pay,d=9000\r\n")
	g.expect(r, "SERVER_ERROR draining", "VA 5 Ob", "hello", "SERVER_ERROR busy") // the last would outlast the node
	close(hold)
	g.expect(slow, "VA 5 Oa", "hello")
	g.same(web("", "GET", "GET", "GET"), "200 hello 5", "200 hello 5 close", "ended") // else what is sent on it meanwhile is lost
	g.serve.Wait()
	if _, err := slow.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("closed with: %v", err)
	}
}

// All that would outlast a draining node was turned away, where its deadline is longer than the node's own end: for the whole drain, at a
// deployment whose clients wait for long. What may be repeated is taken while its soft limit is left, with the node's end for a deadline.
func TestADrainingNodeTakesWhatIsServedBeforeItEnds(t *testing.T) {
	const endsIn, long = 1400 * time.Millisecond, "d=9000" // longest deadline of the grades 1 s, 0.5 s over it, 0.1 s for last words
	for _, c := range []struct {
		name, asks, want string
		after            time.Duration // of the drain's beginning; the connection has something in hand until then
		attempts         uint64
	}{
		{"a read", "mg k v Oa Pc=read," + long, "VA 5 Oa", 0, 2},
		{"a read that nobody answers", "mg hangs v Oa Pc=read," + long, "SERVER_ERROR busy", 0, 2},
		{"a read with less left than its soft limit", "mg k v Oa Pc=read," + long, "SERVER_ERROR busy", endsIn / 3, 1},
		{"what may not be repeated", "mg k v Oa Pc=pay," + long, "SERVER_ERROR busy", 0, 1},
		{"what may be for some time", "ms k 1 Oa Pc=put,k=7," + long + "\r\nx", "SERVER_ERROR busy", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 200, func(line string) string {
				if strings.HasPrefix(line, "mg hangs") {
					return ""
				}
				return value(line)
			}, func(b *Config) {
				if c.after > 0 {
					b.Settings.Policy.Classes[0].LatencyObjective = endsIn * 9 / 10
				}
			})
			to, r := g.client()
			fmt.Fprintf(to, "mg hangs v Oz Pc=read,%s\r\n", long)
			wait(t, g.lines)
			g.Shutdown()
			g.Counters()
			began := time.Now()
			time.Sleep(c.after)
			fmt.Fprint(to, c.asks+"\r\n")
			g.until("it is taken", func(n metrics.Counters) bool { return n.Requests == 2 })
			if c.attempts > 1 {
				line, left := wait(t, g.lines), 0
				_, told, _ := strings.Cut(line, "d=")
				if fmt.Sscan(told, &left); left <= 0 || left > int(endsIn/time.Millisecond) {
					t.Errorf("a cache is told %d ms in %q", left, line)
				}
			}
			for _, want := range []string{"SERVER_ERROR busy", c.want} {
				if got, err := r.ReadString('\n'); !strings.HasPrefix(got, want) || time.Since(began) > endsIn+patience/10 {
					t.Errorf("%q (%v) after %v, want %q", got, err, time.Since(began), want)
				}
			}
			if n := g.Counters().Attempts; n != c.attempts {
				t.Errorf("%d attempts, %d wanted", n, c.attempts)
			}
		})
	}
}

// A node that was held up while it drained ended as it went on: who had come meanwhile stood in the kernel's queue and was cut off.
func TestANodeHeldUpWhileItDrainsLetsInWhoCameMeanwhile(t *testing.T) {
	g := newRig(t, 200, value, func(b *Config) { b.Settings.LongestDeadline = maxShutdownWait })
	g.engine.Accept(false) // as if the whole process stood still
	c, r := g.client()
	fmt.Fprint(c, "mg k v Ox Pc=read,d=2000\r\n")
	g.Shutdown()
	g.runInLoop(func() {
		for g.now().Since(g.drainStartedAt) < drainAcceptTime+drainQuietTime {
		}
		g.engine.Accept(true)
	})
	if got, err := r.ReadString('\n'); strings.TrimSpace(got) != "VA 5 Ox" {
		t.Errorf("got %q (%v), %+v", got, err, g.Counters())
	}
}

// Deadlines that lay beyond the node's own end, or beyond what who ends it waits for, were cut off without a word: on a rough day with a
// deadline of 5.3 s a node was still at work when it was killed. Each is answered, as its grade and its legs allow.
func TestWhatOutlastsADrainingNodeIsAnsweredBeforeItEnds(t *testing.T) {
	for _, longest := range []time.Duration{0, 500 * time.Millisecond, time.Minute} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 200, func(string) string { return "" }, func(b *Config) { b.Settings.LongestDeadline = longest })
			l, addr := scripted(t) // an origin that says nothing, and one leg at a time
			g.moves("o", addr)
			wants := map[string]string{"mg k1 v Oa Pc=read,d=60000": "SERVER_ERROR busy 250", "ms k2 1 Ob Pc=pay,d=60000\r\nx": "SERVER_ERROR failed",
				"ms k3 1 Oc Pc=put,d=60000,k=7\r\nx": "SERVER_ERROR busy 250", "mg k4 v Od Pc=pay,d=60000": "SERVER_ERROR failed"}
			told := map[string]*bufio.Reader{}
			for command := range wants {
				c, r := g.client()
				fmt.Fprint(c, command+"\r\n")
				told[command] = r
			}
			g.until("all are taken", func(n metrics.Counters) bool { return n.Requests == 4 && n.Attempts >= 4 })
			defer l.Close()
			began := time.Now()
			g.Shutdown()
			for command, r := range told {
				g.expect(r, wants[command])
				if _, err := r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%q: %v after its answer", command, err)
				}
			}
			if g.serve.Wait(); time.Since(began) > maxShutdownWait+shutdownMargin+patience/10 {
				t.Errorf("ended after %v", time.Since(began))
			}
		})
	}
}

func TestRoomIsMadeByClosingWhatIsIdle(t *testing.T) {
	g := newRig(t, 64, value)
	for n := range 100 {
		c, r := g.client()
		fmt.Fprintf(c, "mg k%d v Oa Pc=read,d=9000\r\n", n)
		g.expect(r, "VA 5 Oa", "hello")
	}
	if n := g.Counters(); n.ClosedForRoom == 0 || n.ClosedForRoom+n.IdleClosed < 50 || n.RejectedForRoom > 0 { // a slow machine's are idle for long, too
		t.Errorf("%d closed to make room, %d when idle, %d rejected for want of it", n.ClosedForRoom, n.IdleClosed, n.RejectedForRoom)
	}
}

func TestWithoutRoomRequestsAreRejectedNotCutOff(t *testing.T) {
	hold := make(chan bool)
	g := newRig(t, 64, func(line string) string { <-hold; return value(line) })
	var rs []*bufio.Reader
	for n := range 38 { // sixteen connections may be clients' before legs want for theirs
		c, r := g.client()
		fmt.Fprintf(c, "mg k%[1]d v Oa%[1]d Pc=read,d=9000\r\n", n)
		rs = append(rs, r)
		g.until("it is taken", func(c metrics.Counters) bool { return c.Requests == uint64(n+1) })
	}
	close(hold)
	served, busy := 0, 0
	for _, r := range rs {
		got, err := r.ReadString('\n')
		switch {
		case err != nil:
			t.Fatal(err)
		case strings.HasPrefix(got, "VA"):
			served++
		case strings.HasPrefix(got, "SERVER_ERROR busy"):
			busy++
		}
	}
	if served == 0 || busy == 0 || served+busy != len(rs) {
		t.Errorf("%d served, %d rejected, of %d", served, busy, len(rs))
	}
}

// A link that is taken up just before its idle time was looked after again at once until its leg ended, and no
// event was handled meanwhile: eight requests were lost on a rough day.
func TestLinkInUseAtItsIdleTimeIsLeftForLater(t *testing.T) {
	r := &Proxy{startedAt: time.Now()}
	r.Settings.Policy.IdleTimeout = 10 * time.Second
	l := &upstreamConn{purpose: purposeAttempt, lastUsedAt: policy.Instant(-time.Hour), idleCheckAt: clockEpoch}
	l.id = r.conns.Add(l)
	r.onConnTimer(l.id)
	if at, ok := r.timers.Next(); !ok || at.Since(r.now()) < time.Second || r.conns.Get(l.id) == nil {
		t.Errorf("to be looked after %v from now", at.Since(r.now()))
	}
}

// gated has no connection to a listener come up until let is called: the kernel holds one that waits, and leaves all others out.
func gated(t *testing.T, l net.Listener) (let func()) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return func() {
		if _, err := l.Accept(); err != nil {
			t.Error(err)
		}
	}
}

// moves has a server be elsewhere, for whatever comes after.
func (g *rig) moves(id policy.EndpointID, addr string) {
	g.runInLoop(func() { g.endpoints[id].addr = addr })
	g.Counters() // else the next command may come before
}

// scripted is a server that the test steps itself.
func scripted(t *testing.T) (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { l.Close() })
	return l, l.Addr().String()
}

// A leg that waited for its connection went to a cache that was told to drain meanwhile.
func TestALinkThatComesUpAfterTheNewsCarriesNoLegToACacheThatDrains(t *testing.T) {
	for _, state := range []string{"terminating", "terminated"} {
		g := newRig(t, 200, value, func(b *Config) { b.Settings.ConnectTimeout, b.Settings.Policy.CancelAllowed = patience, false })
		l, addr := scripted(t)
		let := gated(t, l)
		g.moves("c", addr)
		c, r := g.client()
		fmt.Fprint(c, "mg k v Ox Pc=read,d=9000\r\n")
		g.until("it waits for its link", func(n metrics.Counters) bool { return n.Dials == 1 })
		g.list <- fmt.Sprintf(`{"generation":8,"reset":false,"instances":[{"instanceId":"c","hostPort":"%s","machineType":"box","lifecycle":"%s"}]}`, addr, state)
		g.until("the news is heard", func(n metrics.Counters) bool { return n.EndpointUpdates == 2 })
		let()
		up, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() { // so that a leg that does come is served, and seen at the client
			if line, err := bufio.NewReader(up).ReadString('\n'); err == nil {
				io.WriteString(up, value(line))
			}
		}()
		if got, _ := r.ReadString('\n'); strings.TrimSpace(got) == "VA 5 Ox" || g.Counters().Outcomes[policy.NotSent] != 1 {
			t.Errorf("%s: served %q by it, %v", state, got, g.Counters().Outcomes)
		}
	}
}

// The repeat of a labelled write waited for its connection until its window was over, and began then: its effect could happen twice.
func TestALinkThatComesUpAfterTheWindowCarriesNoRepeat(t *testing.T) {
	const window = 400 * time.Millisecond
	g := newRig(t, 200, value, func(b *Config) {
		b.Settings.ConnectTimeout, b.Settings.Policy.Classes = patience, slices.Clone(b.Settings.Policy.Classes)
		b.Settings.Policy.Classes[b.Settings.Names.Class([]byte("put"))].DedupWindow = window
	})
	l, addr := scripted(t)
	g.moves("o", addr)
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
	sent, let := time.Now(), gated(t, l)
	io.WriteString(first, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	g.until("the repeat waits for its link", func(n metrics.Counters) bool { return n.Dials >= dials+2 })
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
func TestNothingGoesOutAfterTheAnswer(t *testing.T) {
	r := &Proxy{startedAt: time.Now()}
	v := &inflightRequest{answered: true, attempts: []attempt{{inFlight: true}}}
	v.id = r.inflight.Add(v)
	l := &upstreamConn{purpose: purposeAttempt, attempt: attemptRef{request: v.id}, endpoint: &knownEndpoint{}}
	l.id = r.conns.Add(l)
	if r.startPurpose(l); r.counters.Outcomes[policy.NotSent] != 1 || v.attempts[0].inFlight || l.purpose != purposeIdle {
		t.Errorf("%v, still out: %v", r.counters.Outcomes, v.attempts[0].inFlight)
	}
}
