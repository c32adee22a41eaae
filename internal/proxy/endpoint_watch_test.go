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

	"dahliapin/internal/config/settings"
	"dahliapin/policy"
)

func TestEndpointListIsWatchedAndApplied(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	if first, second := receive(t, g.listPolls), receive(t, g.listPolls); first != endpointListPath || !strings.HasPrefix(second, endpointListPath+"?since=7&") {
		t.Errorf("asked %q, then %q", first, second)
	}
	g.listAnswers <- thenClose
	if again := receive(t, g.listPolls); !strings.HasPrefix(again, endpointListPath+"?since=7&") {
		t.Errorf("after a call that broke off, asked %q", again)
	}
	addr := make(chan string, 1)
	g.runInLoop(func() { addr <- g.endpoints.byID["c"].addr })
	g.listAnswers <- `{"generation":9,"reset":false,"instances":[{"instanceId":"c","lifecycle":"terminated"}]}`
	if third := receive(t, g.listPolls); !strings.HasPrefix(third, endpointListPath+"?since=9&") {
		t.Errorf("asked %q", third)
	}
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	if got, _ := r.ReadString('\n'); strings.HasPrefix(got, "VA 5") {
		t.Errorf("a cache that is gone answered %q", got)
	}
	g.listAnswers <- fmt.Sprintf(`{"generation":10,"reset":false,"instances":[{"instanceId":"d","hostPort":"%s","machineType":"box","lifecycle":"in_service"}]}`, <-addr)
	receive(t, g.listPolls)
	c, r = g.client() // a server under a new id may have taken over its address
	fmt.Fprint(c, "mg k v Ob Pc=read,d=9000\r\n")
	if got, _ := r.ReadString('\n'); !strings.HasPrefix(got, "VA 5") {
		t.Errorf("whoever took over its address answered %q", got)
	}
}

// A second watch that fell silent was known as late as the first, and with it the news that both had missed. Changes of an older version
// put a cache into service again that drains.
func TestAfterALostWatchUpdatesArePolledAtOnceAndOlderVersionsIgnored(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	receive(t, g.listPolls)
	receive(t, g.listPolls)
	g.listAnswers <- thenClose
	const soon = "?since=7&timeout_ms=1"
	if again := receive(t, g.listPolls); again != endpointListPath+soon {
		t.Errorf("after a watch that broke off, asked %q", again)
	}
	silent := time.Now()
	if again := receive(t, g.listPolls); again != endpointListPath+soon || time.Since(silent) > 4*time.Second { // a watch's 5.5 s
		t.Errorf("after %v in which nothing came, asked %q", time.Since(silent), again)
	}
	entry := `{"generation":%d,"reset":false,"instances":[{"instanceId":"c","hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"%s"}]}`
	for range 2 { // the call that was given up may take one yet
		g.listAnswers <- fmt.Sprintf(entry, 8, "terminating")
	}
	g.listAnswers <- fmt.Sprintf(entry, 6, "in_service")
	again := receive(t, g.listPolls)
	for strings.HasPrefix(again, endpointListPath+"?since=8&timeout_ms=4") {
		again = receive(t, g.listPolls)
	}
	if again != endpointListPath {
		t.Errorf("after an older version, asked %q", again)
	}
	c, r := g.client()
	fmt.Fprint(c, "mg k v Ox Pc=read,d=9000\r\n")
	g.expect(r, "VA 11 Ox", "from-origin")
}

// A discovery with too much to do was asked for the whole list instead of what is new: a hundred lines for none.
func TestOverloadedDiscoveryIsPolledForUpdatesOnly(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	receive(t, g.listPolls)
	receive(t, g.listPolls)
	g.listAnswers <- discoveryOverloaded
	if again := receive(t, g.listPolls); !strings.HasPrefix(again, endpointListPath+"?since=7&") {
		t.Errorf("after a refusal, asked %q", again)
	}
	g.listAnswers <- discoveryFails // else a version that it takes for a fault would be asked for without end
	if again := receive(t, g.listPolls); again != endpointListPath {
		t.Errorf("after a failure, asked %q", again)
	}
}

// While legs held all of the links' share, a list that had moved was not called for.
func TestChangedDiscoveryIsPolledThoughConnsAreUsedUp(t *testing.T) {
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
		t.Errorf("asked %q there", got)
	}
}

const updateTimeLimit = 6 * time.Second // after discovery had news and could be reached

// agent is discovery as one node sees it: it has a list, fails in one manner after another, and then has news.
type discoveryStub struct {
	mu           sync.Mutex
	behaviour    string        // "" for answering
	changed      chan struct{} // closed as it begins to do something else
	hasUpdate    bool
	updateSentAt chan time.Time // when news was first written to the node
	updateSent   bool
	stop         chan bool
}

func (a *discoveryStub) change(does string, news bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.behaviour, a.hasUpdate = does, news
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *discoveryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const row = `{"instanceId":%q,"hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"in_service","zone":"z"}`
	a.mu.Lock()
	does, turned, news := a.behaviour, a.changed, a.hasUpdate
	a.mu.Unlock()
	since := r.URL.Query().Get("since")
	if does == "" && since != "" && !(news && since == "7") { // a watch
		wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
		select {
		case <-time.After(wait):
		case <-turned:
			a.mu.Lock()
			does, news = a.behaviour, a.hasUpdate
			a.mu.Unlock()
		case <-r.Context().Done():
			return
		}
	}
	switch does {
	case "refuses":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "breaks":
		panic(http.ErrAbortHandler)
	case "halves":
		io.WriteString(w, `{"generation":8,"reset":true`)
	case "silent":
		select { // nor once it is well again
		case <-r.Context().Done():
		case <-a.stop:
		}
	default:
		switch {
		case !news && since != "":
			fmt.Fprint(w, `{"generation":7,"reset":false,"instances":[]}`)
		case !news:
			fmt.Fprintf(w, `{"generation":7,"reset":true,"instances":[`+row+`]}`, "c")
		case since == "7":
			fmt.Fprintf(w, `{"generation":8,"reset":false,"instances":[`+row+`]}`, "d")
		case since == "8":
			fmt.Fprint(w, `{"generation":8,"reset":false,"instances":[]}`)
		default:
			fmt.Fprintf(w, `{"generation":8,"reset":true,"instances":[`+row+`,`+row+`]}`, "c", "d")
		}
		a.mu.Lock()
		if news && !a.updateSent {
			a.updateSent = true
			a.updateSentAt <- time.Now()
		}
		a.mu.Unlock()
	}
}

// followers are nodes of a fleet of so many, each with its agent.
func runNodes(t *testing.T, nodes, stated int, at func(a *discoveryStub)) {
	rules, err := settings.Decode(fastjson.MustParse(strings.Replace(fmt.Sprintf(testSettings, false), `"n_instances":1`, fmt.Sprintf(`"n_instances":%d`, stated), 1)))
	if err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	var all sync.WaitGroup
	for n := range nodes {
		a := &discoveryStub{changed: make(chan struct{}), updateSentAt: make(chan time.Time, 1), stop: make(chan bool)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		web := &http.Server{Handler: a}
		go web.Serve(l)
		up := make(chan bool, 9)
		r, err := New(Config{Listen: "127.0.0.1:0", Discovery: l.Addr().String(), Descriptors: 64, Memory: 16 << 20, Seed: int64(n + 1), Settings: rules,
			Log: quiet, OnPhaseChange: func(p Phase) { up <- p == Serving }})
		if err != nil {
			t.Fatal(err)
		}
		var loop sync.WaitGroup
		loop.Add(1)
		go func() { defer loop.Done(); r.Run() }()
		t.Cleanup(func() { close(a.stop); r.Shutdown(); loop.Wait(); web.Close() })
		if !receive(t, up) {
			t.Fatal("not serving")
		}
		all.Add(1)
		go func() {
			defer all.Done()
			at(a)
			began := time.Now()
			a.change("", true)
			select {
			case when := <-a.updateSentAt:
				if took := when.Sub(began); took > updateTimeLimit {
					t.Errorf("node %d was told after %v", n, took)
				}
			case <-time.After(2 * updateTimeLimit):
				t.Errorf("node %d was not told within %v", n, 2*updateTimeLimit)
				return
			}
			for has, by := make(chan bool, 1), time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
				r.runInLoop(func() { has <- r.endpoints.byID[policy.EndpointID("d")] != nil })
				if <-has {
					return
				}
				if time.Now().After(by) {
					t.Errorf("node %d does not take the news", n)
					return
				}
			}
		}()
	}
	all.Wait()
}

// Nodes of a large fleet rested up to 30 s after refusals, and made a watch then: of eight, those told latest heard 15.5 and 19.9 s after
// discovery had the news. An unreadable answer had them rest as long.
func TestUpdateArrivesInTimeAfterDiscoveryFailures(t *testing.T) {
	for _, how := range []string{"refuses", "silent", "breaks", "halves", "refuses silent", "silent refuses", "breaks refuses silent", "halves breaks halves"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			runNodes(t, 4, 480, func(a *discoveryStub) {
				for _, does := range strings.Fields(how) {
					a.change(does, false)
					time.Sleep(4 * time.Second / time.Duration(len(strings.Fields(how))))
				}
			})
		})
	}
}
