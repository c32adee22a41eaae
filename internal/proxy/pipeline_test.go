package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
)

// A client sends five commands at once, and the endpoint answers the first one last. The client must get the answers in
// the order of its commands, including those that need no endpoint.
func TestPipelinedAnswersKeepTheOrderOfTheirCommands(t *testing.T) {
	slow := make(chan bool)
	g := newHarness(t, 200, blockRequestA(slow))
	c, r := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\nmg k2 v Ob Pc=read,d=9000,size=3\r\nget x\r\nmg k3 v\r\nmn\r\n")
	g.waitUntil("the second request is answered", func(n metrics.Counters) bool { return n.Satisfied == 1 })
	close(slow)
	g.expect(r, "VA 5 Oa", "hello", "VA 5 Ob", "hello", "ERROR", "CLIENT_ERROR bad command line", "MN")
	for range 2 {
		if line := receive(t, g.cacheCommands); !strings.HasPrefix(line, "mg k") || strings.Contains(line, "d=9000") {
			t.Errorf("the cache received %q", line)
		}
	}
}

// A client keeps sending commands behind a request that is not answered. Their answers are queued in memory, so the
// connection must be closed once maxPendingResponses are queued, and those must still be answered.
func TestAnswersQueuedBehindASlowRequestAreBounded(t *testing.T) {
	proceed := make(chan bool)
	g := newHarness(t, 200, blockAll(proceed))
	c, r := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000\r\n")
	receive(t, g.cacheCommands)
	go fmt.Fprint(c, strings.Repeat("mn\r\n", 2*maxPendingResponses))
	g.waitUntil("the connection is no longer read", func(metrics.Counters) bool {
		closing := make(chan bool, 1)
		g.runInLoop(func() { g.downstream.conns.Each(func(_ clientConnID, c *clientConn) { closing <- c.closing }) })
		return <-closing
	})
	close(proceed)
	g.expect(r, "VA 5 Oa", "hello")
	rest, _ := io.ReadAll(r)
	answers := strings.Count(string(rest), "MN")
	if answers != maxPendingResponses-1 || !strings.HasSuffix(string(rest), metaRefusalLines[refusedTooManyPending]) {
		t.Errorf("%d answers, then %q", answers, rest[max(0, len(rest)-50):])
	}
}

// A client sends requests and reads no answers. The answers queued for it must stay a small part of the memory, and the
// connection must be closed.
func TestSlowReaderIsClosedBeforeItsAnswersFillMemory(t *testing.T) {
	big := strings.Repeat("v", 64<<10)
	g := newHarness(t, 200, func(line string) string { return "VA 65536 " + idFlag(line) + "\r\n" + big + "\r\n" })
	c, _ := g.client()
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(c, "mg k%[1]d v Oa%[1]d Pc=read,d=9000\r\n", n); err != nil {
			break
		}
		if n%50 == 0 && g.engine.Unsent() > g.config.MemoryLimit/4 {
			t.Fatalf("%d bytes are queued for a slow reader", g.engine.Unsent())
		}
	}
}

// An answer that was ready in time but reached the client after its deadline, because it had to wait for the answer to
// an earlier command, must be counted as late.
func TestAnswerHeldBehindAnEarlierOneCountsAsLate(t *testing.T) {
	const timeout = 500 * time.Millisecond
	proceed := make(chan bool)
	g := newHarness(t, 200, blockRequestA(proceed))
	c, r := g.client()
	sent := time.Now()
	fmt.Fprintf(c, "mg k1 v Oa Pc=read,d=9000\r\nmg k2 v Ob Pc=read,d=%d\r\n", timeout.Milliseconds())
	g.waitUntil("the second request is answered", func(n metrics.Counters) bool { return n.Satisfied == 1 })
	time.Sleep(time.Until(sent.Add(2 * timeout)))
	close(proceed)
	g.expect(r, "VA 5 Oa", "hello", "VA 5 Ob", "hello")
	if late := g.Counters().AnsweredLate; late != 1 {
		t.Errorf("%d late answers, want 1", late)
	}
}
