package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"
	"golang.org/x/sys/unix"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// testTimeout is how long a test waits for an expected event. It allows for a slow machine and is not a performance
// bound.
const testTimeout = 10 * time.Second

// testSettings is a deployment with a service class of each kind of idempotency. Its parameter is second_copies.
const testSettings = `{"service_grades":[
{"name":"read","benefit":1,"effect":"idempotent","group":"all","soft_limit_s":0.5,"hard_stop_s":1},
{"name":"pay","benefit":8,"effect":"irreversible","group":"all","soft_limit_s":0.5,"hard_stop_s":1},
{"name":"put","benefit":8,"effect":"deduplicated","group":"all","soft_limit_s":0.5,"hard_stop_s":1,"key_ttl_s":5}],
"bounds":{"cancel":true,"conn_idle_s":15,"connect_timeout_s":1,"most_legs":3,"probes":true,"retry_after":true,
"max_retry_after_s":0.6,"second_copies":%v},"family_info":{"mode":"aside","origin_kind":1},"kinds":["box","origin"],
"n_instances":1,"round_s":0.005,"rules":{"cold_from":0.3,"cold_s":1},"zone":"z"}`

// thenClose at the end of a stub's answer makes the stub close the connection.
const thenClose = "(and closes)"

const (
	discoveryOverloaded = "(is refused)" // an answer of discovery: 503
	discoveryFails      = "(fails)"      // an answer of discovery: 500
)

// harness is a node with one cache c, an origin o and discovery, which are stubs of the test.
type harness struct {
	*Proxy
	t               *testing.T
	addr            string
	cacheCommands   chan string // the lines that the cache received
	cacheConnClosed chan bool   // a connection to the cache was closed
	originRequests  chan string // the requests that the origin received
	listAnswers     chan string // the next answers of discovery
	listPolls       chan string // the URLs that discovery received
	stop            chan bool
	loop            sync.WaitGroup
}

// newHarness starts a node and waits until it serves. The cache answers each line with the result of the function; ""
// leaves it unanswered.
func newHarness(t *testing.T, descriptors int, answer func(line string) string, configure ...func(*Config)) *harness {
	t.Helper()
	g := &harness{
		t:               t,
		cacheCommands:   make(chan string, 999),
		cacheConnClosed: make(chan bool, 999),
		originRequests:  make(chan string, 99),
		listAnswers:     make(chan string, 9),
		listPolls:       make(chan string, 99),
		stop:            make(chan bool),
	}
	cache := g.listen(func(c net.Conn) { g.serveCache(c, answer) })
	origin := g.listenHTTP(g.serveOrigin)
	g.listAnswers <- fmt.Sprintf(`{"generation":7,"reset":true,"instances":[
{"instanceId":"c","hostPort":"%s","machineType":"box","lifecycle":"in_service","zone":"z"},
{"instanceId":"o","hostPort":"%s","machineType":"origin","lifecycle":"in_service","zone":"z"}]}`, cache, origin)
	serving := make(chan bool, 9)
	config := Config{
		Listen:          "127.0.0.1:0",
		Discovery:       g.listenHTTP(g.serveList),
		DescriptorLimit: descriptors,
		MemoryLimit:     64 << 20,
		Settings:        decodeTestSettings(t),
		Log:             discardLog(),
		OnPhaseChange:   func(p Phase) { serving <- p == Serving },
	}
	for _, change := range configure {
		change(&config)
	}
	var err error
	g.Proxy, err = New(config)
	if err != nil {
		t.Fatal(err)
	}
	g.addr = g.Addr(0)
	g.loop.Add(1)
	go func() {
		defer g.loop.Done()
		g.Run()
	}()
	t.Cleanup(func() {
		close(g.stop)
		g.Shutdown()
		g.loop.Wait()
		if t.Failed() {
			t.Logf("%+v", g.Counters())
		}
	})
	if !receive(t, serving) {
		t.Fatal("not serving")
	}
	return g
}

func decodeTestSettings(t *testing.T) settings.Settings {
	t.Helper()
	decoded, err := settings.Decode(fastjson.MustParse(fmt.Sprintf(testSettings, false)))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// serveCache serves one connection to the cache.
func (g *harness) serveCache(c net.Conn, answer func(line string) string) {
	lines := bufio.NewReader(c)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			g.cacheConnClosed <- true
			return
		}
		line = strings.TrimSpace(line)
		g.cacheCommands <- line
		response, mustClose := strings.CutSuffix(answer(line), thenClose)
		io.WriteString(c, response)
		if mustClose {
			c.Close()
		}
	}
}

// serveOrigin serves the origin. The response to /bare ends with its connection, that to /cut with a reset.
func (g *harness) serveOrigin(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id, info := r.Header.Get("X-Call-Id"), r.Header.Get("X-Call-Info")
	g.originRequests <- fmt.Sprintf("%s %s %s %s %s", r.Method, r.URL.Path, id, info, body)
	if r.URL.Path != "/bare" && r.URL.Path != "/cut" {
		io.WriteString(w, "from-origin")
		return
	}
	c, _, _ := w.(http.Hijacker).Hijack()
	io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbare")
	if r.URL.Path == "/cut" {
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// serveList serves discovery: it answers each poll with the next of listAnswers, once there is one.
func (g *harness) serveList(w http.ResponseWriter, r *http.Request) {
	g.listPolls <- r.URL.String()
	select {
	case next := <-g.listAnswers:
		switch next {
		case thenClose:
			panic(http.ErrAbortHandler)
		case discoveryOverloaded:
			w.WriteHeader(http.StatusServiceUnavailable)
		case discoveryFails:
			w.WriteHeader(http.StatusInternalServerError)
		}
		io.WriteString(w, next)
	case <-r.Context().Done():
	case <-g.stop:
	}
}

// listenHTTP starts an HTTP server and returns its address.
func (g *harness) listenHTTP(handler http.HandlerFunc) string {
	g.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	g.t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// listen serves each connection to a new address, which it returns.
func (g *harness) listen(serve func(net.Conn)) string {
	g.t.Helper()
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

// receive returns the next value of a channel, and fails the test if none arrives.
func receive[T any](t *testing.T, from chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(testTimeout):
		t.Fatal("nothing received")
	}
	return got
}

// client connects to the node to send meta commands.
func (g *harness) client() (net.Conn, *bufio.Reader) {
	g.t.Helper()
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	g.t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// expect reads lines and compares them.
func (g *harness) expect(r *bufio.Reader, want ...string) {
	g.t.Helper()
	for _, w := range want {
		if got, err := r.ReadString('\n'); strings.TrimSpace(got) != w {
			g.t.Fatalf("got %q (%v), want %q", got, err, w)
		}
	}
}

// waitUntil waits until a condition on the counters, or on other state, holds.
func (g *harness) waitUntil(what string, ok func(metrics.Counters) bool) {
	g.t.Helper()
	for by := time.Now().Add(testTimeout); !ok(g.Counters()); {
		if time.Now().After(by) {
			g.t.Fatalf("timed out waiting until %s: %+v", what, g.Counters())
		}
	}
}

// idFlag returns the id flag of a meta command, including the O.
func idFlag(line string) string {
	for _, f := range strings.Fields(line) {
		if f[0] == 'O' {
			return f
		}
	}
	return ""
}

// helloValue returns a cache's answer with the value hello.
func helloValue(line string) string { return "VA 5 " + idFlag(line) + " h1\r\nhello\r\n" }

// blockAll answers like helloValue, but only once a value can be received from the channel.
func blockAll(proceed chan bool) func(string) string {
	return func(line string) string {
		<-proceed
		return helloValue(line)
	}
}

// blockRequestA answers like helloValue, but requests whose id begins with a only once a value can be received from the
// channel.
func blockRequestA(proceed chan bool) func(string) string {
	return func(line string) string {
		if strings.Contains(line, "Oa") {
			<-proceed
		}
		return helloValue(line)
	}
}

// fillBacklog keeps connections to a listener from being established until acceptOne is called: the kernel's queue
// holds only one.
func fillBacklog(t *testing.T, l net.Listener) (acceptOne func()) {
	t.Helper()
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

// moveEndpoint changes the address of an endpoint for everything sent to it from now on.
func (g *harness) moveEndpoint(id policy.EndpointID, addr string) {
	g.runInLoop(func() { g.endpoints.byID[id].addr = addr })
	g.Counters() // waits until the loop has done that
}

// listenScripted listens for connections that the test serves step by step.
func listenScripted(t *testing.T) (net.Listener, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { l.Close() })
	return l, l.Addr().String()
}

var testListener = listeners.Listener{
	Listen:         "127.0.0.1:0",
	Protocol:       listeners.ProtocolHTTP,
	ReadyPath:      "/up",
	SortQuery:      true,
	ClassHeader:    "X-Grade",
	IDHeader:       "X-Id",
	DeadlineHeader: "X-Wait",
	TenantHeader:   "X-Tenant",
	Routes: []listeners.Route{
		{Path: "/p/", Methods: []string{"GET", "HEAD"}, Class: "read", DeadlineMs: 9000},
		{Path: "/p/", Methods: []string{"PUT"}, Class: "put"},
		{Path: "/pay/", Methods: []string{"POST"}, Class: "pay"},
	},
}

// withHTTPListeners gives the node two HTTP listeners, 1 and 2.
func withHTTPListeners(config *Config) {
	config.Listeners.Listeners = []listeners.Listener{testListener, testListener}
}

// requestHead returns the head of an HTTP request.
func requestHead(line string, headers ...string) string {
	return line + " HTTP/1.1\r\nHost: n\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// httpClient connects to the node by HTTP. The function that it returns sends a text and reads one response for each of
// the methods. It returns each response as "status body length", followed by " close" if the connection ends with it,
// or "ended" if there is none.
func (g *harness) httpClient(listener int) (ask func(text string, methods ...string) (responses []string)) {
	g.t.Helper()
	c, err := net.Dial("tcp", g.Addr(listener))
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(c)
	return func(text string, methods ...string) (responses []string) {
		io.WriteString(c, text)
		for _, m := range methods {
			a, err := http.ReadResponse(r, &http.Request{Method: m})
			if err != nil {
				responses = append(responses, "ended")
				continue
			}
			body, _ := io.ReadAll(a.Body)
			if a.Header.Get("Date") == "" && a.StatusCode != 100 {
				g.t.Errorf("no date with %d", a.StatusCode)
			}
			response := fmt.Sprintf("%d %s %d", a.StatusCode, strings.TrimSpace(string(body)), a.ContentLength)
			if a.Close {
				response += " close"
			}
			responses = append(responses, response)
		}
		return responses
	}
}

// expectResponses compares the responses read by a client of httpClient.
func (g *harness) expectResponses(got []string, want ...string) {
	g.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		g.t.Errorf("got %q, want %q", got, want)
	}
}

// pauseLoop calls do, lets the event loop run until reached returns true (not at all if it is nil), and pauses the loop
// as soon as another event is pending. It then calls meanwhile, whose effects the loop sees only when it resumes.
func (g *harness) pauseLoop(do func(), reached func() bool, meanwhile func()) {
	g.t.Helper()
	stopped := make(chan bool, 1)
	handled := make(chan bool, 1)
	resume := make(chan bool)
	g.runInLoop(func() {
		select {
		case <-g.engine.Wake():
		default:
		}
		stopped <- true
		for <-g.engine.Wake(); reached != nil && !reached(); <-g.engine.Wake() {
			for _, ev := range g.engine.TakeEvents() {
				g.handleEvent(&ev)
			}
		}
		handled <- true
		<-resume
		<-g.engine.Wake() // the events of meanwhile have arrived
	})
	receive(g.t, stopped)
	do()
	receive(g.t, handled)
	meanwhile()
	close(resume)
}

// shrinkSendBuffer minimizes the send buffers of the connections from this process to an address.
func shrinkSendBuffer(t *testing.T, addr string) {
	t.Helper()
	for fd := range 1024 {
		if to, err := unix.Getpeername(fd); err == nil {
			if in, ok := to.(*unix.SockaddrInet4); ok && fmt.Sprintf("127.0.0.1:%d", in.Port) == addr {
				if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 1); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

func withMetrics(config *Config) { config.PublishMetrics = true }

// closeMethods are the ways in which a peer ends a connection: it closes it, resets it, or closes only its sending
// side, which looks like a close.
var closeMethods = map[string]func(c *net.TCPConn){
	"close": func(c *net.TCPConn) { c.Close() },
	"reset": func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	},
	"half-close": func(c *net.TCPConn) { c.CloseWrite() },
}

// advanceReading makes all clients look as if they had read nothing for some more time. It must be called in the event
// loop.
func (g *harness) advanceReading(by time.Duration) {
	g.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		if client.reading.progressAt != 0 {
			client.reading.progressAt = client.reading.progressAt.Add(-by)
		}
	})
}

// expireReading makes all clients look as if they had read nothing for slowReaderTimeout.
func (g *harness) expireReading() { g.advanceReading(slowReaderTimeout) }
