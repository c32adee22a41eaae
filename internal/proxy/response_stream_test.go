package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
)

// Guards against buffering long values completely: the first byte would reach the client only after the last was
// received, and many values at the same time would fill the memory. The head of a value must be written with its first
// bytes. A second value on the same connection must wait without being read, and nothing may be lost or out of order.
func TestLongValueIsStreamedInItsTurn(t *testing.T) {
	const half = 2 << 20
	first, second := strings.Repeat("v", 2*half), strings.Repeat("w", 2*half)
	rest := make(chan bool)
	g := newHarness(t, 200, func(line string) string {
		if strings.Contains(line, "Oshort") {
			return helloValue(line)
		}
		return fmt.Sprintf("VA %d %s\r\n%s\r\n", len(second), idFlag(line), second)
	})
	slow := g.listen(func(c net.Conn) {
		r := bufio.NewReader(c)
		r.ReadString('\n')
		fmt.Fprintf(c, "VA %d Oa\r\n%s", len(first), first[:half])
		<-rest
		io.WriteString(c, first[half:]+"\r\n")
		r.ReadString('\n')
	})
	var usual string
	g.runInLoop(func() {
		usual = g.endpoints.byID["c"].addr
		g.endpoints.byID["c"].addr = slow
	})
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	g.expect(r, fmt.Sprintf("VA %d Oa", len(first)))
	got := make([]byte, half)
	if _, err := io.ReadFull(r, got); err != nil || string(got) != first[:half] {
		t.Fatal("the first half was not forwarded before the second was received", err)
	}
	g.runInLoop(func() { g.endpoints.byID["c"].addr = usual })
	fmt.Fprint(c, "mg k v Ob Pc=read,d=9000\r\nmn\r\n")
	paused := make(chan bool, 1)
	g.waitUntil("the second value is paused", func(metrics.Counters) bool {
		g.runInLoop(func() {
			n := 0
			g.upstream.conns.Each(func(_ upstreamConnID, l *upstreamConn) {
				if l.stream != nil && l.stream.paused {
					n++
				}
			})
			paused <- n == 1
		})
		return <-paused
	})
	other, others := g.client() // is served meanwhile
	fmt.Fprint(other, "mg k v Oshort Pc=read,d=9000\r\n")
	g.expect(others, "VA 5 Oshort", "hello")
	close(rest)
	g.expect(r, first[half:], fmt.Sprintf("VA %d Ob", len(second)), second, "MN")
	counted := make(chan int, 1)
	g.runInLoop(func() { counted <- g.upstream.incompleteBytes })
	incomplete := receive(t, counted)
	if n := g.Counters(); n.Satisfied != 3 || n.Attempts != 3 || incomplete > 2*maxUnsentWindow {
		t.Errorf("%+v, %d incomplete bytes still counted", n, incomplete)
	}
}

// An endpoint breaks off a value of which a part has reached the client. No other endpoint can answer then, so the
// client's connection must be closed: only this shows the client that the value is incomplete.
func TestBrokenStreamClosesTheClientConn(t *testing.T) {
	g := newHarness(t, 200, func(line string) string {
		return fmt.Sprintf("VA %d %s\r\n%s%s", 1<<20, idFlag(line), strings.Repeat("v", 100<<10), thenClose)
	})
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	g.expect(r, fmt.Sprintf("VA %d Oa", 1<<20))
	if got, err := io.ReadAll(r); len(got) > 100<<10 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if n := g.Counters(); n.Failed != 1 || n.Satisfied != 0 || n.Attempts != 1 {
		t.Errorf("%+v", n)
	}
}

// Guards against a client that reads nothing of a long value and so occupies its endpoint's connection forever.
func TestStalledReaderIsClosed(t *testing.T) {
	long := strings.Repeat("v", 4<<20)
	g := newHarness(t, 200, func(line string) string {
		return fmt.Sprintf("VA %d %s\r\n%s\r\n", len(long), idFlag(line), long)
	})
	c, _ := g.client()
	for n := range 6 { // more than the kernel buffers
		fmt.Fprintf(c, "mg k v O%d Pc=read,d=9000\r\n", n)
	}
	stuck := make(chan bool, 1)
	g.waitUntil("the client is closed", func(n metrics.Counters) bool {
		g.runInLoop(func() {
			g.upstream.conns.Each(func(_ upstreamConnID, l *upstreamConn) {
				if l.stream != nil && l.stream.paused && l.stream.started { // as if slowReaderTimeout had passed
					g.expireReading()
				}
			})
			stuck <- g.downstream.conns.Len() == 1
		})
		return !<-stuck && n.ClientTimeouts == 1
	})
	g.waitUntil("the streams of the client have ended", func(metrics.Counters) bool {
		g.runInLoop(func() {
			busy := false
			g.upstream.conns.Each(func(_ upstreamConnID, l *upstreamConn) { busy = busy || l.stream != nil })
			stuck <- busy
		})
		return !<-stuck
	})
}

// By HTTP, a long value must have its length in the head, be complete, and leave the connection usable for the next
// request. Values of the origin must be streamed in the same way.
func TestLongValuesReachHTTPClientsComplete(t *testing.T) {
	long := strings.Repeat("v", 2<<20)
	g := newHarness(t, 200, func(line string) string {
		if strings.HasPrefix(line, "mg away ") {
			return "EN " + idFlag(line) + "\r\n"
		}
		return fmt.Sprintf("VA %d %s\r\n%s\r\n", len(long), idFlag(line), long)
	}, withHTTPListeners)
	page := strings.Repeat("o", 1<<20)
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(page)))
		io.WriteString(w, page)
	}))
	defer origin.Close()
	g.runInLoop(func() { g.endpoints.byID["o"].addr = strings.TrimPrefix(origin.URL, "http://") })
	for key, want := range map[string]string{"k": long, "away": page, "k2": long} {
		a, err := http.Get("http://" + g.Addr(1) + "/p/" + key)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(a.Body)
		a.Body.Close()
		if err != nil || string(got) != want || a.ContentLength != int64(len(want)) {
			t.Errorf("%s: %d of %d bytes, %v", key, len(got), len(want), err)
		}
	}
	if n := g.Counters(); n.Satisfied != 3 || n.Clients != 1 || n.ProtocolErrors != 0 {
		t.Errorf("%+v", n)
	}
}

// A streamed value whose end reached the client after the deadline must be counted as a late answer, and one that was
// complete in time must not.
func TestStreamedAnswerCountsAsLate(t *testing.T) {
	const timeout = 500 * time.Millisecond
	long := strings.Repeat("v", 2*streamThreshold)
	for _, late := range []bool{true, false} {
		proceed := make(chan bool)
		g := newHarness(t, 200, helloValue)
		g.moveEndpoint("c", g.listen(func(c net.Conn) {
			line, _ := bufio.NewReader(c).ReadString('\n')
			fmt.Fprintf(c, "VA %d %s\r\n%s", len(long), idFlag(line), long)
			<-proceed
			io.WriteString(c, "\r\n")
		}))
		c, r := g.client()
		limit := testTimeout
		if late {
			limit = timeout
		}
		sent := time.Now()
		fmt.Fprintf(c, "mg k v Oa Pc=read,d=%d\r\n", limit.Milliseconds())
		g.expect(r, fmt.Sprintf("VA %d Oa", len(long)))
		if late {
			time.Sleep(time.Until(sent.Add(2 * timeout)))
		}
		close(proceed)
		g.expect(r, long)
		if counted := g.Counters().AnsweredLate == 1; counted != late {
			t.Errorf("counted as late: %v, want %v", counted, late)
		}
	}
}
