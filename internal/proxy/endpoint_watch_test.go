package proxy

import (
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

const countsAsTold = 6 * time.Second // after discovery had news and could be reached

// agent is discovery as one node sees it: it has a list, fails in one manner after another, and then has news.
type agent struct {
	mu     sync.Mutex
	does   string        // "" for answering
	turned chan struct{} // closed as it begins to do something else
	news   bool
	told   chan time.Time // when news was first written to the node
	heard  bool
	over   chan bool
}

func (a *agent) turn(does string, news bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.does, a.news = does, news
	close(a.turned)
	a.turned = make(chan struct{})
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const row = `{"instanceId":%q,"hostPort":"127.0.0.1:1","machineType":"box","lifecycle":"in_service","zone":"z"}`
	a.mu.Lock()
	does, turned, news := a.does, a.turned, a.news
	a.mu.Unlock()
	since := r.URL.Query().Get("since")
	if does == "" && since != "" && !(news && since == "7") { // a watch
		wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
		select {
		case <-time.After(wait):
		case <-turned:
			a.mu.Lock()
			does, news = a.does, a.news
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
		case <-a.over:
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
		if news && !a.heard {
			a.heard = true
			a.told <- time.Now()
		}
		a.mu.Unlock()
	}
}

// followers are nodes of a fleet of so many, each with its agent.
func followers(t *testing.T, nodes, stated int, at func(a *agent)) {
	rules, err := settings.Decode(fastjson.MustParse(strings.Replace(fmt.Sprintf(terms, false), `"n_instances":1`, fmt.Sprintf(`"n_instances":%d`, stated), 1)))
	if err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	var all sync.WaitGroup
	for n := range nodes {
		a := &agent{turned: make(chan struct{}), told: make(chan time.Time, 1), over: make(chan bool)}
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
		t.Cleanup(func() { close(a.over); r.Shutdown(); loop.Wait(); web.Close() })
		if !wait(t, up) {
			t.Fatal("not serving")
		}
		all.Add(1)
		go func() {
			defer all.Done()
			at(a)
			began := time.Now()
			a.turn("", true)
			select {
			case when := <-a.told:
				if took := when.Sub(began); took > countsAsTold {
					t.Errorf("node %d was told after %v", n, took)
				}
			case <-time.After(2 * countsAsTold):
				t.Errorf("node %d was not told within %v", n, 2*countsAsTold)
				return
			}
			for has, by := make(chan bool, 1), time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				r.runInLoop(func() { has <- r.endpoints[policy.EndpointID("d")] != nil })
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
func TestNewsIsToldInTimeAfterDiscoveryFailed(t *testing.T) {
	for _, how := range []string{"refuses", "silent", "breaks", "halves", "refuses silent", "silent refuses", "breaks refuses silent", "halves breaks halves"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			followers(t, 4, 480, func(a *agent) {
				for _, does := range strings.Fields(how) {
					a.turn(does, false)
					time.Sleep(4 * time.Second / time.Duration(len(strings.Fields(how))))
				}
			})
		})
	}
}
