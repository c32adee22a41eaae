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

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
)

// The node polls the complete list first, then updates since the version that it has, also after a connection broke. An
// endpoint that is removed must get no more requests, and one with a new id at the same address must.
func TestEndpointListIsWatchedAndApplied(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	first, second := receive(t, g.listPolls), receive(t, g.listPolls)
	if first != endpointListPath || !strings.HasPrefix(second, endpointListPath+"?since=7&") {
		t.Errorf("polled %q, then %q", first, second)
	}
	g.listAnswers <- thenClose
	if again := receive(t, g.listPolls); !strings.HasPrefix(again, endpointListPath+"?since=7&") {
		t.Errorf("after a broken poll, polled %q", again)
	}
	addr := make(chan string, 1)
	g.runInLoop(func() { addr <- g.endpoints.byID["c"].addr })
	g.listAnswers <- `{"generation":9,"reset":false,"instances":[{"instanceId":"c","lifecycle":"terminated"}]}`
	if third := receive(t, g.listPolls); !strings.HasPrefix(third, endpointListPath+"?since=9&") {
		t.Errorf("polled %q", third)
	}
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	if got, _ := r.ReadString('\n'); strings.HasPrefix(got, "VA 5") {
		t.Errorf("a removed cache answered %q", got)
	}
	g.listAnswers <- fmt.Sprintf(`{"generation":10,"reset":false,"instances":[
{"instanceId":"d","hostPort":"%s","machineType":"box","lifecycle":"in_service"}]}`, <-addr)
	receive(t, g.listPolls)
	c, r = g.client() // another endpoint may have taken over the address
	fmt.Fprint(c, "mg k v Ob Pc=read,d=9000\r\n")
	if got, _ := r.ReadString('\n'); !strings.HasPrefix(got, "VA 5") {
		t.Errorf("the endpoint at the reused address answered %q", got)
	}
}

// Guards against two faults. When a poll broke and the next one was not answered, that failure was noticed only after
// the timeout of a long poll, and so was the update that both had missed. An update of an older version put a draining
// endpoint back into service.
func TestLostPollIsRetriedAtOnceAndOlderVersionsAreIgnored(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	receive(t, g.listPolls)
	receive(t, g.listPolls)
	g.listAnswers <- thenClose
	const soon = "?since=7&timeout_ms=1"
	if again := receive(t, g.listPolls); again != endpointListPath+soon {
		t.Errorf("after a broken poll, polled %q", again)
	}
	silentSince := time.Now()
	polled := receive(t, g.listPolls)
	if took := time.Since(silentSince); polled != endpointListPath+soon || took > 4*time.Second { // a long poll: 5.5 s
		t.Errorf("after %v without an answer, polled %q", took, polled)
	}
	entry := `{"generation":%d,"reset":false,"instances":[
{"instanceId":"c","hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"%s"}]}`
	for range 2 { // the poll that timed out may still consume one
		g.listAnswers <- fmt.Sprintf(entry, 8, "terminating")
	}
	g.listAnswers <- fmt.Sprintf(entry, 6, "in_service")
	again := receive(t, g.listPolls)
	for strings.HasPrefix(again, endpointListPath+"?since=8&timeout_ms=4") {
		again = receive(t, g.listPolls)
	}
	if again != endpointListPath {
		t.Errorf("after an older version, polled %q", again)
	}
	c, r := g.client()
	fmt.Fprint(c, "mg k v Ox Pc=read,d=9000\r\n")
	g.expect(r, "VA 11 Ox", "from-origin")
}

// Guards against polling the complete list, with a hundred times as many rows, after an overloaded discovery refused a
// poll for updates.
func TestOverloadedDiscoveryIsPolledForUpdatesOnly(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	receive(t, g.listPolls)
	receive(t, g.listPolls)
	g.listAnswers <- discoveryOverloaded
	if again := receive(t, g.listPolls); !strings.HasPrefix(again, endpointListPath+"?since=7&") {
		t.Errorf("after a refusal, polled %q", again)
	}
	g.listAnswers <- discoveryFails // otherwise a version that discovery rejects would be polled forever
	if again := receive(t, g.listPolls); again != endpointListPath {
		t.Errorf("after a failure, polled %q", again)
	}
}

// Guards against a discovery with a changed address that is not polled because attempts use all descriptors of upstream
// connections. The connection to discovery is reserved.
func TestChangedDiscoveryIsPolledWithoutFreeUpstreamConns(t *testing.T) {
	g := newHarness(t, 64, helloValue)
	g.runInLoop(func() {
		for g.upstream.conns.Len() <= g.maxUpstreamConns() {
			g.upstream.conns.Add(&upstreamConn{purpose: purposeAttempt})
		}
	})
	asked := make(chan string, 9)
	g.SetDiscovery(g.listen(func(c net.Conn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		asked <- line
	}))
	if got := receive(t, asked); !strings.HasPrefix(got, "GET "+endpointListPath+" HTTP") {
		t.Errorf("polled %q at the new address", got)
	}
}

// updateTimeLimit is how long a node may take to get an update once discovery has it and can be polled.
const updateTimeLimit = 6 * time.Second

// discoveryStub is the discovery of one node. It has a list, fails in a sequence of ways, and then has an update.
type discoveryStub struct {
	mu           sync.Mutex
	behaviour    string        // "" if it answers
	changed      chan struct{} // closed when the behaviour changes
	hasUpdate    bool
	updateSentAt chan time.Time // when the update was first written to the node
	updateSent   bool
	stop         chan bool
}

// change sets the behaviour.
func (d *discoveryStub) change(behaviour string, hasUpdate bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.behaviour = behaviour
	d.hasUpdate = hasUpdate
	close(d.changed)
	d.changed = make(chan struct{})
}

// holdBack delays a poll for updates until the behaviour changes or the time of the poll is over, unless an update for
// it is available. It returns the behaviour at that time, and false if the node has closed the connection.
func (d *discoveryStub) holdBack(r *http.Request) (behaviour string, hasUpdate, ok bool) {
	d.mu.Lock()
	behaviour, hasUpdate = d.behaviour, d.hasUpdate
	changed := d.changed
	d.mu.Unlock()
	since := r.URL.Query().Get("since")
	if behaviour != "" || since == "" || hasUpdate && since == "7" {
		return behaviour, hasUpdate, true
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
	select {
	case <-time.After(wait):
	case <-changed:
		d.mu.Lock()
		behaviour, hasUpdate = d.behaviour, d.hasUpdate
		d.mu.Unlock()
	case <-r.Context().Done():
		return "", false, false
	}
	return behaviour, hasUpdate, true
}

func (d *discoveryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	behaviour, hasUpdate, ok := d.holdBack(r)
	if !ok {
		return
	}
	switch behaviour {
	case "refuses":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "breaks":
		panic(http.ErrAbortHandler)
	case "halves":
		io.WriteString(w, `{"generation":8,"reset":true`)
	case "silent":
		select { // stays unanswered even after the failure has ended
		case <-r.Context().Done():
		case <-d.stop:
		}
	default:
		d.answer(w, r.URL.Query().Get("since"), hasUpdate)
	}
}

// answer answers a poll for updates since a version: version 7 is the list with c, and 8 the one with c and d.
func (d *discoveryStub) answer(w http.ResponseWriter, since string, hasUpdate bool) {
	const row = `{"instanceId":%q,"hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"in_service","zone":"z"}`
	switch {
	case !hasUpdate && since != "":
		fmt.Fprint(w, `{"generation":7,"reset":false,"instances":[]}`)
	case !hasUpdate:
		fmt.Fprintf(w, `{"generation":7,"reset":true,"instances":[`+row+`]}`, "c")
	case since == "7":
		fmt.Fprintf(w, `{"generation":8,"reset":false,"instances":[`+row+`]}`, "d")
	case since == "8":
		fmt.Fprint(w, `{"generation":8,"reset":false,"instances":[]}`)
	default:
		fmt.Fprintf(w, `{"generation":8,"reset":true,"instances":[`+row+`,`+row+`]}`, "c", "d")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if hasUpdate && !d.updateSent {
		d.updateSent = true
		d.updateSentAt <- time.Now()
	}
}

// runNodes runs nodes of a fleet of the stated size, each with its own discovery. For each it calls fail, then lets
// discovery answer with an update, and checks that the node gets the update in time and applies it.
func runNodes(t *testing.T, nodes, fleetSize int, fail func(*discoveryStub)) {
	t.Helper()
	stated := fmt.Sprintf(`"n_instances":%d`, fleetSize)
	ofFleet := strings.Replace(fmt.Sprintf(testSettings, false), `"n_instances":1`, stated, 1)
	decoded, err := settings.Decode(fastjson.MustParse(ofFleet))
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for n := range nodes {
		discovery, p := startWatchingNode(t, decoded, int64(n+1))
		all.Add(1)
		go func() {
			defer all.Done()
			fail(discovery)
			discovery.change("", true)
			checkUpdateArrives(t, n, discovery, p)
		}()
	}
	all.Wait()
}

// startWatchingNode starts a node with its discovery, and waits until it serves.
func startWatchingNode(t *testing.T, decoded settings.Settings, seed int64) (*discoveryStub, *Proxy) {
	t.Helper()
	discovery := &discoveryStub{
		changed:      make(chan struct{}),
		updateSentAt: make(chan time.Time, 1),
		stop:         make(chan bool),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: discovery}
	go server.Serve(l)
	serving := make(chan bool, 9)
	p, err := New(Config{
		Listen:          "127.0.0.1:0",
		Discovery:       l.Addr().String(),
		DescriptorLimit: 64,
		MemoryLimit:     16 << 20,
		Seed:            seed,
		Settings:        decoded,
		Log:             discardLog(),
		OnPhaseChange:   func(p Phase) { serving <- p == Serving },
	})
	if err != nil {
		t.Fatal(err)
	}
	var loop sync.WaitGroup
	loop.Add(1)
	go func() {
		defer loop.Done()
		p.Run()
	}()
	t.Cleanup(func() {
		close(discovery.stop)
		p.Shutdown()
		loop.Wait()
		server.Close()
	})
	if !receive(t, serving) {
		t.Fatal("not serving")
	}
	return discovery, p
}

// checkUpdateArrives checks that the node gets its update in time and applies it.
func checkUpdateArrives(t *testing.T, n int, discovery *discoveryStub, p *Proxy) {
	t.Helper()
	began := time.Now()
	select {
	case sentAt := <-discovery.updateSentAt:
		if took := sentAt.Sub(began); took > updateTimeLimit {
			t.Errorf("node %d got the update after %v", n, took)
		}
	case <-time.After(2 * updateTimeLimit):
		t.Errorf("node %d did not get the update within %v", n, 2*updateTimeLimit)
		return
	}
	isApplied := make(chan bool, 1)
	for by := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		p.runInLoop(func() { isApplied <- p.endpoints.byID["d"] != nil })
		if <-isApplied {
			return
		}
		if time.Now().After(by) {
			t.Errorf("node %d does not apply the update", n)
			return
		}
	}
}

// Guards against nodes of a large fleet that back off for up to 30 s after refusals and then send a long poll: of eight
// nodes, the last ones got an update 15.5 s and 19.9 s after discovery had it. An unreadable answer had the same
// effect. After any failure has ended, an update must arrive within updateTimeLimit.
func TestUpdateArrivesInTimeAfterDiscoveryFailures(t *testing.T) {
	for _, failures := range []string{
		"refuses", "silent", "breaks", "halves",
		"refuses silent", "silent refuses", "breaks refuses silent", "halves breaks halves",
	} {
		t.Run(failures, func(t *testing.T) {
			t.Parallel()
			runNodes(t, 4, 480, func(d *discoveryStub) {
				for _, behaviour := range strings.Fields(failures) {
					d.change(behaviour, false)
					time.Sleep(4 * time.Second / time.Duration(len(strings.Fields(failures))))
				}
			})
		})
	}
}
