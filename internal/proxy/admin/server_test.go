package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/proxy/metrics"
)

// standIn is a node whose answers a test sets.
type standIn struct {
	sheet metrics.Snapshot
	err   error
	calls string
}

func (s *standIn) Metrics() *metrics.Snapshot { return &s.sheet }

func (s *standIn) Standby(context.Context) error { s.calls += "standby "; return s.err }

func (s *standIn) Active(ctx context.Context) error {
	if s.calls += "active "; s.err == context.DeadlineExceeded { // the loop hangs
		<-ctx.Done()
	}
	return s.err
}

func open(t *testing.T, n Node, f ...Fleet) string {
	d, err := Open("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	var fleet Fleet
	if len(f) > 0 {
		fleet = f[0]
	}
	d.Serve(n, fleet, quiet)
	t.Cleanup(d.Close)
	return d.Addr()
}

func call(t *testing.T, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, text)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.30q: %v", text, err)
	}
	said, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(said)
}

// Each answer is yes or no for a reason of its own; a loop that hangs is no yes, and no call waits for it.
func TestCallsAreAnsweredForTheNodeAsItStands(t *testing.T) {
	n := &standIn{sheet: metrics.Snapshot{At: time.Now().Add(time.Hour), Serving: true, Phase: "serving", Pending: 3, Members: 2,
		Classes: []metrics.ClassSnapshot{{Name: "a.b:c|d e\n", Satisfied: 812, Rejected: 1, Failed: 2}}}}
	addr := open(t, n)
	head := func(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: n\r\n" }
	for text, want := range map[string]int{head("GET", "/status") + "\r\n": 200, head("GET", "/status/metrics") + "\r\n": 200,
		head("PUT", "/standby") + "\r\n": 200, head("PUT", "/active") + "\r\n": 200, head("GET", "/standby") + "\r\n": 405,
		head("GET", "/") + "\r\n": 404, head("PUT", "/standby") + "Content-Length: 9999\r\n\r\n": 413,
		head("GET", "/status") + "X: " + strings.Repeat("x", 16<<10) + "\r\n\r\n": 431, "nothing of the kind\r\n\r\n": 400} {
		if got, said := call(t, addr, text); got != want {
			t.Errorf("%.40q: %d %q, want %d", text, got, said, want)
		}
	}
	if n.calls != "standby active " && n.calls != "active standby " {
		t.Errorf("the node was told %q", n.calls)
	}
	_, said := call(t, addr, head("GET", "/status/metrics")+"\r\n")
	want := "svc.downstream_requests.a_b_c_d_e_.completed:812|c\nsvc.downstream_requests.a_b_c_d_e_.rejected:1|c\n" +
		"svc.downstream_requests.a_b_c_d_e_.failed:2|c\nsvc.upstream_requests:0|c\nsvc.pending:3|g\nsvc.members:2|g\nsvc.members_unavailable:0|g\n"
	if said != want {
		t.Errorf("figures: %q", said)
	}
	for _, c := range []struct {
		change func()
		text   string
		want   int
	}{
		{func() { n.sheet.Serving, n.sheet.Phase = false, "standby" }, head("GET", "/status") + "\r\n", 503},
		{func() { n.sheet.Serving, n.sheet.At = true, time.Now().Add(-staleAfter) }, head("GET", "/status") + "\r\n", 503},
		{func() { n.err = ErrEnding }, head("PUT", "/standby") + "\r\n", 409},
		{func() { n.err = context.DeadlineExceeded }, head("PUT", "/active") + "\r\n", 503},
	} {
		c.change()
		if got, said := call(t, addr, c.text); got != c.want {
			t.Errorf("%.20q: %d %q, want %d", c.text, got, said, c.want)
		}
	}
}

// Callers that say nothing, or half a call, stay for seconds: an honest one is answered among a hundred of them, and they do not
// take more connections than they may.
func TestAnHonestCallIsAnsweredAmongThoseWhoSayNothing(t *testing.T) {
	addr := open(t, &standIn{sheet: metrics.Snapshot{At: time.Now().Add(time.Hour), Serving: true, Phase: "serving"}})
	ended := make(chan bool, 100)
	for i := range 100 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			fmt.Fprint(c, "GET /sta")
		}
		go func() {
			c.Read(make([]byte, 1))
			ended <- true
		}()
	}
	if got, _ := call(t, addr, "GET /status HTTP/1.1\r\nHost: n\r\n\r\n"); got != 200 {
		t.Error(got)
	}
	for range 100 - MaxConnections { // at once, not once their time is up
		select {
		case <-ended:
		case <-time.After(headBy / 2):
			t.Fatal("more stay than may")
		}
	}
}

// others is a fleet whose answers a test sets.
type others struct{ whole bool }

func (o others) FleetStatus() (any, bool) { return map[string]int{"members": 5}, o.whole }
func (o others) FleetMembers() any        { return []string{"n1"} }

// A node that is cut off says so by its status, as scripts look at that; one that knows of no others has no such calls.
func TestCallsAboutTheFleet(t *testing.T) {
	for _, c := range []struct {
		at     string
		path   string
		status int
		body   string
	}{
		{open(t, &standIn{}, others{true}), "/fleet/status", 200, `{"members":5}`},
		{open(t, &standIn{}, others{false}), "/fleet/status", 503, `{"members":5}`},
		{open(t, &standIn{}, others{}), "/fleet/members", 200, `["n1"]`},
		{open(t, &standIn{}), "/fleet/members", 404, "404 page not found"},
	} {
		if status, body := call(t, c.at, "GET "+c.path+" HTTP/1.1\r\nHost: n\r\n\r\n"); status != c.status || strings.TrimSpace(body) != c.body {
			t.Errorf("%s: %d %q, want %d %q", c.path, status, body, c.status, c.body)
		}
	}
}
