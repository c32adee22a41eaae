package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"

	"dahliapin/internal/proxy/metrics"
)

// After a command that cannot be parsed, the start of the next one is unknown. Earlier commands must be answered, then
// the error, and then the connection must close.
func TestUnreadableCommandClosesTheConnection(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	for _, bad := range []string{
		strings.Repeat("x", 5000),
		"ms k 70000 Oa Pc=put,d=9\r\n",
		"ms k 2 Oa Pc=put,d=9\r\nabcd\r\n",
	} {
		c, r := g.client()
		fmt.Fprint(c, "mg k v Ox Pc=read,d=9000\r\n", bad)
		g.expect(r, "VA 5 Ox", "hello")
		rest, _ := io.ReadAll(r)
		if !strings.Contains(string(rest), "_ERROR ") {
			t.Errorf("after %.20q: %q", bad, rest)
		}
	}
	g.waitUntil("all are counted", func(n metrics.Counters) bool { return n.Malformed == 3 && n.Attempts == 3 })
}

// Guards against connections that stay open forever because the client sends nothing or only part of a command. Both
// must be closed in time, and an incomplete command must be answered.
func TestIncompleteCommandTimesOut(t *testing.T) {
	g := newHarness(t, 200, helloValue, withHTTPListeners)
	_, silent := g.client()
	askHTTP, late := g.httpClient(1), make(chan []string, 1)
	go func() { late <- askHTTP("GET /p/k HTTP/1.1\r\nHost: n\r\nX: ", "GET", "GET") }()
	half, halfAnswers := g.client()
	fmt.Fprint(half, "ms k 5 Ob Pc=put,d=9000\r\nhe")
	g.expect(halfAnswers, strings.TrimSpace(metaRefusalLines[refusedTimeout]))
	for _, r := range []*bufio.Reader{halfAnswers, silent} {
		if _, err := r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("not closed: %v", err)
		}
	}
	g.expectResponses(receive(t, late), "408 request timed out 18 close", "ended")
	if n := g.Counters(); n.ClientTimeouts != 3 {
		t.Errorf("%d connections counted as overdue, want 3", n.ClientTimeouts)
	}
}

// Guards against clients that send one request and keep their connection, leaving no descriptors for others: with 128
// idle connections, half of all new ones were refused. Only a limited number of idle connections may stay open,
// preferably those of clients that return, and none for long.
func TestIdleClientsThatReturnAreKeptLongest(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	returning, r := g.client()
	for n := range 3 {
		fmt.Fprintf(returning, "mg k v Oa%d Pc=read,d=9000\r\n", n)
		g.expect(r, fmt.Sprintf("VA 5 Oa%d", n), "hello")
	}
	var oneTimeClients []*bufio.Reader
	for n := range 30 {
		c, r := g.client()
		fmt.Fprintf(c, "mg k v Ob%d Pc=read,d=9000\r\n", n)
		g.expect(r, fmt.Sprintf("VA 5 Ob%d", n), "hello")
		oneTimeClients = append(oneTimeClients, r)
	}
	g.waitUntil("enough idle clients are closed", func(n metrics.Counters) bool {
		return int(n.IdleClosed) >= 31-g.engine.MaxClients()/idleClientDivisor
	})
	if _, err := oneTimeClients[0].ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("closed with: %v", err)
	}
	fmt.Fprint(returning, "mn\r\n")
	g.expect(r, "MN")
	if int(g.Counters().IdleClosed) == 31 {
		t.Error("all idle clients are closed")
	}
	if _, err := r.ReadByte(); !errors.Is(err, syscall.ECONNRESET) { // after clientIdleTimeout
		t.Errorf("closed with: %v", err)
	}
}

// More clients connect, one after the other, than there are descriptors, and each leaves its connection idle. Idle
// connections must be closed so that no request is rejected.
func TestIdleConnsAreClosedToFreeDescriptors(t *testing.T) {
	g := newHarness(t, 64, helloValue)
	for n := range 100 {
		c, r := g.client()
		fmt.Fprintf(c, "mg k%d v Oa Pc=read,d=9000\r\n", n)
		g.expect(r, "VA 5 Oa", "hello")
	}
	n := g.Counters()
	closed := n.EvictedConns + n.IdleClosed // on a slow machine some reach the idle timeout
	if n.EvictedConns == 0 || closed < 50 || n.NotAccepted > 0 {
		t.Errorf("%d closed for descriptors, %d closed in total, %d rejected", n.EvictedConns, closed, n.NotAccepted)
	}
}
