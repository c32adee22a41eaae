package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/proxy/metrics"
)

// fakeNode is a node whose answers a test sets.
type fakeNode struct {
	snapshot metrics.Snapshot
	err      error // of commands
	commands []string
}

func (n *fakeNode) Metrics() *metrics.Snapshot { return &n.snapshot }

func (n *fakeNode) Standby(context.Context) error {
	n.commands = append(n.commands, "standby")
	return n.err
}

// Active waits for its context's end if the error is context.DeadlineExceeded, as for a loop that is stuck.
func (n *fakeNode) Active(ctx context.Context) error {
	n.commands = append(n.commands, "active")
	if errors.Is(n.err, context.DeadlineExceeded) {
		<-ctx.Done()
	}
	return n.err
}

// servingNode returns a node whose snapshot does not get stale within a test.
func servingNode() *fakeNode {
	return &fakeNode{snapshot: metrics.Snapshot{At: time.Now().Add(time.Hour), Serving: true, Phase: "serving"}}
}

// serveAdmin serves a node, and a fleet unless it is nil, and returns the address.
func serveAdmin(t *testing.T, node Node, fleet Fleet) string {
	t.Helper()
	server, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	server.Serve(node, fleet, log)
	t.Cleanup(server.Close)
	return server.Addr()
}

// requestHead returns the first lines of a request. Further headers and an empty line have to follow.
func requestHead(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: n\r\n" }

// call sends the text of a request and returns the response.
func call(t *testing.T, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, text)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.30q: %v", text, err)
	}
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

func TestEachCallHasItsStatus(t *testing.T) {
	node := servingNode()
	addr := serveAdmin(t, node, nil)
	for _, test := range []struct {
		name, text string
		want       int
	}{
		{"status", requestHead("GET", "/status") + "\r\n", 200},
		{"metrics", requestHead("GET", "/status/metrics") + "\r\n", 200},
		{"standby", requestHead("PUT", "/standby") + "\r\n", 200},
		{"active", requestHead("PUT", "/active") + "\r\n", 200},
		{"another method", requestHead("GET", "/standby") + "\r\n", 405},
		{"unknown path", requestHead("GET", "/") + "\r\n", 404},
		{"long body", requestHead("PUT", "/standby") + "Content-Length: 9999\r\n\r\n", 413},
		{"long header", requestHead("GET", "/status") + "X: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", 431},
		{"no HTTP", "nothing of the kind\r\n\r\n", 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			if status, body := call(t, addr, test.text); status != test.want {
				t.Errorf("%.40q: %d %q, want %d", test.text, status, body, test.want)
			}
		})
	}
	if !slices.Equal(node.commands, []string{"standby", "active"}) {
		t.Errorf("the node got the commands %q", node.commands)
	}
}

// A class's name must not end its metric's name or line.
func TestMetricsAreOneALine(t *testing.T) {
	node := servingNode()
	node.snapshot.Pending = 3
	node.snapshot.Members = 2
	node.snapshot.Classes = []metrics.ClassSnapshot{{Name: "a.b:c|d e\n", Satisfied: 812, Rejected: 1, Failed: 2}}
	_, body := call(t, serveAdmin(t, node, nil), requestHead("GET", "/status/metrics")+"\r\n")
	want := "svc.downstream_requests.a_b_c_d_e_.completed:812|c\n" +
		"svc.downstream_requests.a_b_c_d_e_.rejected:1|c\n" +
		"svc.downstream_requests.a_b_c_d_e_.failed:2|c\n" +
		"svc.upstream_requests:0|c\nsvc.pending:3|g\nsvc.members:2|g\nsvc.members_unavailable:0|g\n"
	if body != want {
		t.Errorf("metrics: %q", body)
	}
}

// A node in standby, one whose event loop is stuck and one that ends each say so by a status of their own, and no call
// waits for a loop that is stuck.
func TestNodeThatDoesNotServeSaysSo(t *testing.T) {
	status := requestHead("GET", "/status") + "\r\n"
	standby := requestHead("PUT", "/standby") + "\r\n"
	active := requestHead("PUT", "/active") + "\r\n"
	for _, test := range []struct {
		name   string
		change func(*fakeNode)
		text   string
		want   int
	}{
		{"standby", func(n *fakeNode) { n.snapshot.Serving, n.snapshot.Phase = false, "standby" }, status, 503},
		{"stale metrics", func(n *fakeNode) { n.snapshot.At = time.Now().Add(-staleAfter) }, status, 503},
		{"ending", func(n *fakeNode) { n.err = ErrShuttingDown }, standby, 409},
		{"stuck loop", func(n *fakeNode) { n.err = context.DeadlineExceeded }, active, 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := servingNode()
			test.change(node)
			if status, body := call(t, serveAdmin(t, node, nil), test.text); status != test.want {
				t.Errorf("%.20q: %d %q, want %d", test.text, status, body, test.want)
			}
		})
	}
}

// Callers that send nothing, or half a request, stay for seconds. An honest call is answered among a hundred of them,
// and they do not take more connections than they may.
func TestHonestCallIsAnsweredAmongIdleConnections(t *testing.T) {
	const idle = 100
	addr := serveAdmin(t, servingNode(), nil)
	ended := make(chan bool, idle)
	for i := range idle {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if i%2 == 0 {
			fmt.Fprint(c, "GET /sta")
		}
		go func() {
			c.Read(make([]byte, 1))
			ended <- true
		}()
	}
	if status, _ := call(t, addr, requestHead("GET", "/status")+"\r\n"); status != 200 {
		t.Error(status)
	}
	for range idle - MaxConnections { // at once, and not only once their time is up
		select {
		case <-ended:
		case <-time.After(readTimeout / 2):
			t.Fatal("more connections stay than may")
		}
	}
}

// fakeFleet is a fleet whose answers a test sets.
type fakeFleet struct{ connected bool }

func (f fakeFleet) FleetStatus() (any, bool) { return map[string]int{"members": 5}, f.connected }
func (f fakeFleet) FleetMembers() any        { return []string{"n1"} }

// A node that is cut off from the fleet says so by its status, as scripts look at that. One without a fleet has no such
// calls.
func TestCallsAboutTheFleet(t *testing.T) {
	for _, test := range []struct {
		name   string
		fleet  Fleet
		path   string
		status int
		body   string
	}{
		{"connected", fakeFleet{true}, "/fleet/status", 200, `{"members":5}`},
		{"cut off", fakeFleet{false}, "/fleet/status", 503, `{"members":5}`},
		{"members", fakeFleet{}, "/fleet/members", 200, `["n1"]`},
		{"no fleet", nil, "/fleet/members", 404, "404 page not found"},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := serveAdmin(t, &fakeNode{}, test.fleet)
			status, body := call(t, addr, requestHead("GET", test.path)+"\r\n")
			if status != test.status || strings.TrimSpace(body) != test.body {
				t.Errorf("%s: %d %q, want %d %q", test.path, status, body, test.status, test.body)
			}
		})
	}
}
