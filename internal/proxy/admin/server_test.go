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

// fakeNode is a Node with fixed responses.
type fakeNode struct {
	snapshot metrics.Snapshot
	err      error // result of commands
	commands []string
}

func (n *fakeNode) Metrics() *metrics.Snapshot { return &n.snapshot }

func (n *fakeNode) Standby(context.Context) error {
	n.commands = append(n.commands, "standby")
	return n.err
}

// Activate blocks until ctx ends if n.err is context.DeadlineExceeded, as it does while the event loop is stuck.
func (n *fakeNode) Activate(ctx context.Context) error {
	n.commands = append(n.commands, "active")
	if errors.Is(n.err, context.DeadlineExceeded) {
		<-ctx.Done()
	}
	return n.err
}

// servingNode returns a node whose snapshot does not become stale during a test.
func servingNode() *fakeNode {
	return &fakeNode{snapshot: metrics.Snapshot{At: time.Now().Add(time.Hour), Serving: true, Phase: "serving"}}
}

// serveAdmin starts a server for node, and for fleet unless it is nil, and returns its address.
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

// requestHead returns the request line and the Host header. Further headers and an empty line must follow.
func requestHead(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: n\r\n" }

// chunkedRequest returns a request with a body of one chunk, whose length the header does not state.
func chunkedRequest(method, path string, bodyBytes int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", bodyBytes, strings.Repeat("x", bodyBytes))
	return requestHead(method, path) + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
}

// call sends the text of a request on a new connection and returns the response.
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

func TestStatusCodes(t *testing.T) {
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
		{"long chunked body", chunkedRequest("PUT", "/standby", 2*maxBodyBytes), 413},
		{"short chunked body", chunkedRequest("PUT", "/active", maxBodyBytes), 200},
		{"malformed chunked body", requestHead("PUT", "/standby") + "Transfer-Encoding: chunked\r\n\r\n?\r\n", 400},
		{"long header", requestHead("GET", "/status") + "X: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", 431},
		{"not HTTP", "nothing of the kind\r\n\r\n", 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			if status, body := call(t, addr, test.text); status != test.want {
				t.Errorf("%.40q: %d %q, want %d", test.text, status, body, test.want)
			}
		})
	}
	if !slices.Equal(node.commands, []string{"standby", "active", "active"}) {
		t.Errorf("the node received the commands %q", node.commands)
	}
}

// Special characters in the name of a service class must not end the metric's name or line.
func TestMetricsAreWrittenOnePerLine(t *testing.T) {
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

// Nodes that do not serve requests, because of standby, a stuck event loop or a shutdown, answer with the matching
// status code, and no request waits for a stuck loop.
func TestStatusCodesOfNodeThatDoesNotServe(t *testing.T) {
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
		{"shutting down", func(n *fakeNode) { n.err = ErrShuttingDown }, standby, 409},
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

// Clients that send nothing, or half a request, stay connected for seconds. A complete request must be answered among
// a hundred of them, and the number of open connections must stay within MaxConnections.
func TestRequestIsAnsweredAmongIdleConnections(t *testing.T) {
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
	for range idle - MaxConnections { // immediately, and not after the read timeout
		select {
		case <-ended:
		case <-time.After(readTimeout / 2):
			t.Fatal("more than MaxConnections stay open")
		}
	}
}

// fakeFleet is a Fleet with fixed responses.
type fakeFleet struct{ connected bool }

func (f fakeFleet) FleetStatus() (any, bool) { return map[string]int{"members": 5}, f.connected }
func (f fakeFleet) FleetMembers() any        { return []string{"n1"} }

// A node that is disconnected from the fleet answers with status 503, which scripts check. A node without a fleet does
// not have the paths.
func TestFleetRequests(t *testing.T) {
	for _, test := range []struct {
		name   string
		fleet  Fleet
		path   string
		status int
		body   string
	}{
		{"connected", fakeFleet{true}, "/fleet/status", 200, `{"members":5}`},
		{"disconnected", fakeFleet{false}, "/fleet/status", 503, `{"members":5}`},
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
