package proxy

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"dahliapin/internal/proxy/metrics"
)

// The endpoint never answers. The client must still get an answer by its deadline.
func TestRequestIsAnsweredByItsDeadline(t *testing.T) {
	g := newHarness(t, 200, func(line string) string { return "" })
	c, r := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=1000\r\nmg k1 v Ob Pc=put,d=1000\r\n")
	g.expect(r, "SERVER_ERROR busy 250", "SERVER_ERROR busy 250")
}

// Guards against forwarding requests that endpoints cannot use, because their class is unknown or their deadline is
// missing or invalid, and requests with the id of another one in flight, which the endpoint would take for that one.
// Each must be refused without an attempt.
func TestMalformedRequestIsRefusedAndNotForwarded(t *testing.T) {
	proceed := make(chan bool)
	g := newHarness(t, 200, blockRequestA(proceed))
	own, first := g.client()
	fmt.Fprint(own, "mg k v Oa Pc=read,d=9000\r\n")
	receive(t, g.cacheCommands)
	c, r := g.client()
	for _, bad := range []string{
		"Oa Pc=read,d=9000", // an id that is in flight
		"Ob Pc=nobody,d=9000", "Ob d=9000", "Ob Pc=read", "Ob Pc=read,d=0", "Ob Pc=read,d=-9", "Ob Pc=read,d=NaN",
		"Ob Pc=read,d=+Inf", "Ob Pc=read,d=0x9", "Ob Pc=read,d=9e3", "Ob Pc=read,d=1.2.3",
	} {
		fmt.Fprintf(c, "mg k v %s\r\n", bad)
		if got, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(got, "CLIENT_ERROR ") {
			t.Errorf("%q: %q %v", bad, got, err)
		}
	}
	close(proceed)
	g.expect(first, "VA 5 Oa", "hello")
	g.waitUntil("the request is released", func(metrics.Counters) bool {
		left := make(chan int, 1)
		g.runInLoop(func() { left <- len(g.inflight.ids) + g.inflight.requests.Len() })
		return <-left == 0
	})
	fmt.Fprint(c, "mg k v Oa Pc=read,d=9000.5\r\n")
	g.expect(r, "VA 5 Oa", "hello")
	if attempts := g.Counters().Attempts; attempts != 2 {
		t.Errorf("%d attempts for two requests", attempts)
	}
}

// More requests arrive than there are descriptors. Each must be served or rejected; none may be lost with its
// connection.
func TestRequestsAreRejectedNotDroppedWithoutDescriptors(t *testing.T) {
	proceed := make(chan bool)
	g := newHarness(t, 64, blockAll(proceed))
	var rs []*bufio.Reader
	for n := range 38 { // clients may use sixteen connections before attempts lack descriptors
		c, r := g.client()
		fmt.Fprintf(c, "mg k%[1]d v Oa%[1]d Pc=read,d=9000\r\n", n)
		rs = append(rs, r)
		g.waitUntil("the request is received", func(c metrics.Counters) bool { return c.Requests == uint64(n+1) })
	}
	close(proceed)
	served, busy := 0, 0
	for _, r := range rs {
		got, err := r.ReadString('\n')
		switch {
		case err != nil:
			t.Fatal(err)
		case strings.HasPrefix(got, "VA"):
			served++
		case strings.HasPrefix(got, "SERVER_ERROR busy"):
			busy++
		}
	}
	if served == 0 || busy == 0 || served+busy != len(rs) {
		t.Errorf("%d served, %d rejected, of %d", served, busy, len(rs))
	}
}
