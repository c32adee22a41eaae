//go:build linux && (amd64 || arm64)

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dahliapin/internal/syscallfault"
)

const (
	faultWait       = 400 * time.Millisecond // deadline of a client request
	lateAnswerGrace = 2 * time.Second        // after the deadline, by which a final answer arrives on any machine
	faultLoad       = 100 * time.Millisecond // for which clients send requests during a fault
	maxLoad         = 15 * time.Second       // longest wait for the call that is to fail
	thinkTime       = 2 * time.Millisecond   // of a client, between two requests
	recoverWithin   = 8 * time.Second        // after a fault
	longValueBytes  = 300 << 10
)

// faultSettings is the configuration of the traced node.
const faultSettings = `"seed":"1","ops":"127.0.0.1:0","limits":{"memory_mb":192,"sockets":256},"settings":{
"service_grades":[
{"name":"read","effect":"idempotent","group":"all","benefit":1,"soft_limit_s":0.4,"hard_stop_s":1.2},
{"name":"pay","benefit":8,"effect":"irreversible","group":"all","soft_limit_s":0.5,"hard_stop_s":1},
{"name":"put","benefit":8,"effect":"deduplicated","group":"all","soft_limit_s":0.5,"hard_stop_s":1,"key_ttl_s":5}],
"zone":"z","n_instances":1,"kinds":["box","origin"],"round_s":0.005,
"bounds":{"most_legs":3,"conn_idle_s":0.1,"connect_timeout_s":0.2,"cancel":true,"probes":true},
"family_info":{"mode":"aside","origin_kind":1}}`

// faultNode is a traced node with two caches, an origin and discovery.
type faultNode struct {
	*nodeProcess
	*tracedProcess
	faultServers
	faultNodeOptions
	requests atomic.Int64

	mu   sync.Mutex
	runs map[string]int // how often a cache or the origin received a write, by key
}

// faultNodeOptions is what a traced node does beside serving clients.
type faultNodeOptions struct {
	fleet     string                         // file of the fleet that it joins; empty for none
	ports     map[site]int                   // of its sites
	alongside []func(goesOn func() bool)     // run while clients send requests, during a fault
	expected  func(*faultNode) []expectation // after a fault, beside those of each node; may be nil
}

func portOf(t testing.TB, addr string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// startFaultNode starts a node and traces it. It skips the test only if the kernel does not permit tracing.
func startFaultNode(t testing.TB, options faultNodeOptions) *faultNode {
	n := &faultNode{faultNodeOptions: options, runs: map[string]int{}}
	if n.ports == nil {
		n.ports = map[site]int{}
	}
	if n.expected == nil {
		n.expected = func(*faultNode) []expectation { return nil }
	}
	cache := startCache(t, n.cacheAnswer)
	origin := httptest.NewServer(http.HandlerFunc(n.serveOrigin))
	discovery := httptest.NewServer(n.discoveryHandler(cache, origin.Listener.Addr().String()))
	t.Cleanup(origin.CloseClientConnections)
	t.Cleanup(discovery.CloseClientConnections)
	n.nodeProcess = startFleetNode(t, t.TempDir(), n.fleet, discovery.Listener.Addr().String(), faultSettings)
	for s, addr := range map[site]string{
		client: n.waitForListen(t), opsConn: n.ops, cacheConn: cache, originConn: origin.Listener.Addr().String(),
		discoveryConn: discovery.Listener.Addr().String(),
	} {
		n.ports[s] = portOf(t, addr)
	}
	if !eventually(recoverWithin, func() bool { return isReady(n.listen) }) {
		t.Fatalf("the node is not ready; its log:\n%s", n.logTail())
	}
	n.tracedProcess = traceProcess(t, n.Process.Pid)
	n.load(faultLoad, 0, nil)
	if failures := n.recoversTo(n.expected(n)...); len(failures) > 0 {
		t.Fatalf("before any fault: %q; the node's log:\n%s", failures, n.logTail())
	}
	n.countIdleDescriptors(t)
	return n
}

func (n *faultNode) end() { _ = n.Process.Kill() }

// eventually polls a condition until it holds or the time has passed, and reports whether it held.
func eventually(d time.Duration, happens func() bool) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if happens() {
			return true
		}
	}
	return false
}

func contains(text, part string) bool { return strings.Contains(text, part) }

func (n *faultNode) countRun(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[key]++
}

// cacheAnswer answers a line from the node as a cache.
func (n *faultNode) cacheAnswer(to net.Conn, line string) error {
	f := strings.Fields(line)
	if len(f) == 1 && f[0] == "mn" {
		_, err := io.WriteString(to, "MN\r\n")
		return err
	}
	if len(f) < 4 { // the value of a write
		return nil
	}
	var err error
	switch {
	case f[0] == "ms":
		n.countRun(f[1])
		_, err = fmt.Fprintf(to, "HD %s cdone\r\n", idOf(f))
	case f[1][0] == 'm':
		_, err = fmt.Fprintf(to, "EN %s\r\n", idOf(f))
	case f[1][0] == 'l':
		_, err = fmt.Fprintf(to, "VA %d %s\r\n%s\r\n", longValueBytes, idOf(f), strings.Repeat("x", longValueBytes))
	default:
		_, err = fmt.Fprintf(to, "VA 5 %s\r\nhello\r\n", idOf(f))
	}
	if err == nil && n.shouldClose() {
		err = io.EOF
	}
	return err
}

// idOf returns the flag with the id of a command.
func idOf(fields []string) string {
	for _, f := range fields[2:] {
		if f[0] == 'O' {
			return f
		}
	}
	return "O"
}

func (n *faultNode) serveOrigin(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		n.countRun(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	}
	_, _ = io.Copy(io.Discard, r.Body)
	n.closeSome(w)
	_, _ = io.WriteString(w, "hello")
}

// faultLog collects the outcomes of requests during a fault.
type faultLog struct {
	mu       sync.Mutex
	ended    []string // requests whose connection closed without an answer
	wrong    []string // broken rules
	rejected []string // keys of writes that may be carried out once, and were answered as rejected
	cut      int      // long values that ended early
	pays     []string // keys of writes that may be carried out once
}

// load runs clients for the given time, or longer until a call has failed. Their timeout is extended by span, in which
// no connection may be accepted.
func (n *faultNode) load(length, span time.Duration, injection *syscallfault.Injection) *faultLog {
	var all sync.WaitGroup
	log := &faultLog{}
	goesOn := loadLasts(length, injection)
	for i := range 4 {
		all.Go(func() {
			c := faultClient{node: n, log: log, timeout: faultWait + lateAnswerGrace + span, keepsConn: i > 0}
			defer c.close()
			for turn := i; goesOn(); turn++ {
				c.ask(turn)
				time.Sleep(thinkTime)
			}
		})
	}
	all.Go(func() {
		for goesOn() {
			n.callOps()
			time.Sleep(4 * thinkTime)
		}
	})
	for _, run := range n.alongside {
		all.Go(func() { run(goesOn) })
	}
	all.Wait()
	return log
}

// callOps reports whether the admin port answers.
func (n *faultNode) callOps() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + n.ops + "/status")
	if err != nil {
		return false
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.StatusCode == http.StatusOK
}

// faultClient sends requests one after the other, on a single connection if stays is set.
type faultClient struct {
	node      *faultNode
	log       *faultLog
	timeout   time.Duration
	keepsConn bool
	conn      net.Conn
	reader    *bufio.Reader
}

func (c *faultClient) close() {
	if c.conn == nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(thinkTime))
	if next, err := c.reader.ReadByte(); err == nil {
		c.log.fail("bytes follow a final answer: %q", next)
	}
	_ = c.conn.Close()
	c.conn = nil
}

func (l *faultLog) fail(format string, about ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, fmt.Sprintf(format, about...))
}

// ask sends a request, whose kind depends on turn, and waits for its answer.
func (c *faultClient) ask(turn int) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node.listen, c.timeout)
		if err != nil {
			c.log.fail("cannot connect: %v", err)
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	number := c.node.requests.Add(1)
	kind := [...]string{"v", "m", "pay", "l", "put", "m"}[turn%6]
	key := fmt.Sprint(kind, number)
	_ = c.conn.SetDeadline(time.Now().Add(c.timeout))
	line := fmt.Sprintf("mg %s v O%d Pc=read,d=%d\r\n", key, number, faultWait.Milliseconds())
	if kind[0] == 'p' {
		line = fmt.Sprintf("ms %s 5 O%d Pc=%s,d=%d,k=%016x\r\nhello\r\n",
			key, number, kind, faultWait.Milliseconds(), number)
	}
	answer, err := "", error(nil)
	if _, err = io.WriteString(c.conn, line); err == nil {
		answer, err = c.reader.ReadString('\n')
	}
	if err == nil {
		err = c.check(answer, number)
	}
	c.log.add(kind, key, answer, err)
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
	} else if !c.keepsConn {
		c.close()
	}
}

// check reads the rest of an answer, and checks that it belongs to the request.
func (c *faultClient) check(answer string, number int64) error {
	f := strings.Fields(answer)
	if len(f) == 0 || f[0] == "SERVER_ERROR" {
		return nil
	}
	if !contains(answer, fmt.Sprintf(" O%d", number)) {
		c.log.fail("request %d is answered by %q", number, answer)
	}
	if f[0] != "VA" {
		return nil
	}
	size, err := strconv.Atoi(f[1])
	if err != nil {
		return err
	}
	_, err = io.CopyN(io.Discard, c.reader, int64(size)+2)
	return err
}

// add records an answer, or that none arrived.
func (l *faultLog) add(kind, key, answer string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == "pay" {
		l.pays = append(l.pays, key)
	}
	var late net.Error
	switch {
	case errors.As(err, &late) && late.Timeout():
		l.wrong = append(l.wrong, key+" has no answer in time")
	case err != nil && kind == "l" && strings.HasPrefix(answer, "VA"):
		l.cut++ // once a value has begun, the node can only close the connection
	case err != nil:
		l.ended = append(l.ended, fmt.Sprintf("%s: %v", key, err))
	case kind == "pay" && strings.HasPrefix(answer, "SERVER_ERROR busy"):
		l.rejected = append(l.rejected, key)
	}
}

// runWithFault injects a fault while clients send requests, and returns how many calls failed and what broke.
func (n *faultNode) runWithFault(f *fault) (injected int, failures []string) {
	length := f.load()
	injection, asked := n.tracer.Inject(f.rule(n.isOf)), n.requests.Load()
	log := n.load(length, span(), injection)
	n.tracer.Clear()
	injected = injection.Injected()
	failures = log.wrong
	if log.cut > 0 && f.site != cacheConn && f.site != client {
		failures = append(failures, fmt.Sprintf("%d values were cut short", log.cut))
	}
	if len(log.ended) > 0 && !f.mayEndClients() {
		failures = append(failures, fmt.Sprintf("connections closed without an answer: %q", log.ended))
	}
	failures = append(failures, f.checkRepeats(injected, n.requests.Load()-asked)...)
	failures = append(failures, n.recovers()...)
	return injected, append(failures, n.checkEffects(log)...)
}

// recovers returns what is not as it was before the fault.
func (n *faultNode) recovers() []string {
	polls := n.polls.Load()
	return n.recoversTo(append([]expectation{
		{"clients are no longer served", n.serves},
		{"the admin port no longer answers", n.callOps},
		{"discovery is no longer polled", func() bool { return n.polls.Load() > polls }},
	}, n.expected(n)...)...)
}

// serves reports whether a read is answered with its value.
func (n *faultNode) serves() bool {
	conn, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "mg v v O1 Pc=read,d=%d\r\n", faultWait.Milliseconds())
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.HasPrefix(answer, "VA")
}

// checkEffects returns the writes that were carried out although the answer was that they are rejected, and those that
// were carried out twice.
func (n *faultNode) checkEffects(log *faultLog) (failures []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, key := range log.rejected {
		if n.runs[key] > 0 {
			failures = append(failures, key+" was answered as rejected, and was carried out")
		}
	}
	for _, key := range log.pays {
		if n.runs[key] > 1 {
			failures = append(failures, key+" was carried out twice")
		}
	}
	return failures
}
