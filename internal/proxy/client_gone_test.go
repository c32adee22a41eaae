package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// A client closes its connection while its request is in flight. The attempt must be cancelled by closing its
// connection, and the request must not count as answered, rejected or failed.
func TestClientGoneCancelsItsAttempts(t *testing.T) {
	g := newHarness(t, 200, func(line string) string { return "" })
	c, _ := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\n")
	receive(t, g.cacheCommands)
	c.Close()
	receive(t, g.cacheConnClosed)
	g.waitUntil("the client is gone", func(n metrics.Counters) bool {
		return n.ClientsGone == 1 && n.Outcomes[policy.Cancelled] == 1 && n.Satisfied+n.Rejected+n.Failed == 0
	})
}

// sendRead sends a read as a meta command.
func sendRead(c net.Conn, idFlag string) { fmt.Fprintf(c, "mg k v %s Pc=read,d=9000\r\n", idFlag) }

// waitBeforeAccept is the stage in TestRequestOfGoneClientIsNotForwarded at which a request has not been read yet: all
// descriptors are used by connections with incomplete commands.
const waitBeforeAccept = "before accept"

// waitAfterMiss is the stage at which the first attempt of a request has missed.
const waitAfterMiss = "after a miss"

// waitingStages are the stages at which a request waits while its client leaves. Each function sends a request on the
// connection, and calls leave once the request has reached the stage. The cache answers the requests with the ids miss
// and slow once the channel delivers a value.
var waitingStages = map[string]func(g *harness, c net.Conn, proceed chan bool, leave func(net.Conn)){
	"behind other events": func(g *harness, c net.Conn, _ chan bool, leave func(net.Conn)) {
		g.pauseLoop(func() { sendRead(c, "Ox") }, nil, func() { leave(c) })
	},
	"for a connection being established": func(g *harness, c net.Conn, _ chan bool, leave func(net.Conn)) {
		dials := g.Counters().Dials
		g.runInLoop(func() { g.endpoints.byID["c"].idleConns = nil }) // closing it would cause another event
		isDialled := func() bool { return g.metrics.counters.Dials > dials }
		g.pauseLoop(func() { sendRead(c, "Ox") }, isDialled, func() { leave(c) })
	},
	waitAfterMiss: func(g *harness, c net.Conn, proceed chan bool, leave func(net.Conn)) {
		sendRead(c, "Omiss")
		receive(g.t, g.cacheCommands)
		g.pauseLoop(func() { proceed <- true }, nil, func() { leave(c) })
	},
	waitBeforeAccept: func(g *harness, _ net.Conn, proceed chan bool, leave func(net.Conn)) {
		slow, _ := g.client()
		sendRead(slow, "Oslow")
		receive(g.t, g.cacheCommands)
		var half []net.Conn // incomplete commands, which keep their connections
		for n := g.Counters().Clients; !g.engine.ClientWaiting(); n++ {
			c, _ := g.client()
			fmt.Fprint(c, "mg k")
			half = append(half, c)
			g.waitUntil("the client is accepted or waits", func(now metrics.Counters) bool {
				return now.Clients > n || g.engine.ClientWaiting()
			})
		}
		c, _ := g.client()
		sendRead(c, "Ox")
		leave(c)
		g.pauseLoop(func() { proceed <- true }, nil, func() {
			for _, c := range half {
				c.Close()
			}
			for g.engine.ClientWaiting() {
			}
		})
	},
}

// Guards against forwarding a request whose client closed its connection while the request waited in the node: the
// event of the close is queued behind others. Wherever the request waits, an idle connection to the endpoint, or one
// that is just being established, would take it at once. The attempt must end as NotSent.
func TestRequestOfGoneClientIsNotForwarded(t *testing.T) {
	for stage, wait := range waitingStages {
		for way, leave := range closeMethods {
			for _, cancel := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, by %s, cancel %v", stage, way, cancel), func(t *testing.T) {
					t.Parallel()
					testClientLeaves(t, stage, wait, leave, cancel)
				})
			}
		}
	}
}

func testClientLeaves(
	t *testing.T, stage string, wait func(*harness, net.Conn, chan bool, func(net.Conn)),
	leave func(*net.TCPConn), cancel bool,
) {
	t.Helper()
	proceed := make(chan bool)
	answer := func(line string) string {
		switch {
		case strings.Contains(line, "Omiss"):
			<-proceed
			return "EN " + idFlag(line) + "\r\n"
		case strings.Contains(line, "Oslow"):
			<-proceed
		}
		return helloValue(line)
	}
	g := newHarness(t, 64, answer, func(config *Config) { config.Settings.Policy.CancelAllowed = cancel })
	c, r := g.client()
	sendRead(c, "Owarm")
	g.expect(r, "VA 5 Owarm", "hello")
	receive(t, g.cacheCommands)
	fmt.Fprint(c, "ms k 1 Oput Pc=put,d=9000,k=1\r\nx\r\n")
	g.expect(r, "HD Oput cfrom-origin")
	withSlow := g.Counters().Attempts + 1 // including that of the request with the id slow
	wait(g, c, proceed, func(c net.Conn) { leave(c.(*net.TCPConn)) })
	g.waitUntil("the client is gone", func(n metrics.Counters) bool { return n.ClientsGone+n.NotAccepted == 1 })
	n := g.Counters()
	notSent := n.Outcomes[policy.NotSent]
	if n.NotAccepted == 1 && stage == waitBeforeAccept && notSent == 0 && n.Attempts == withSlow {
		return // it was read before descriptors were freed, and rejected without an attempt
	}
	neverSent := n.ClientsGoneUnsent == 1 || stage == waitAfterMiss
	if notSent != 1 || !neverSent {
		t.Errorf("%d attempts not sent, %d clients gone unsent: %v", notSent, n.ClientsGoneUnsent, n.Outcomes)
	}
}

// An HTTP client closes its connection while its request waits. No attempt may be sent for it, neither the first one
// nor another one after a miss.
func TestRequestOfGoneHTTPClientIsNotForwarded(t *testing.T) {
	for way, leave := range closeMethods {
		for _, after := range []string{"", "a miss"} {
			t.Run(way+" "+after, func(t *testing.T) {
				t.Parallel()
				proceed := make(chan bool)
				g := newHarness(t, 64, func(line string) string {
					if after != "" && strings.Contains(line, "Ohttp") {
						<-proceed
						return "EN " + idFlag(line) + "\r\n"
					}
					return helloValue(line)
				}, withHTTPListeners)
				warm, r := g.client()
				fmt.Fprint(warm, "mg k v Owarm Pc=read,d=9000\r\n")
				g.expect(r, "VA 5 Owarm", "hello")
				receive(t, g.cacheCommands)
				c, err := net.Dial("tcp", g.Addr(1))
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				// Otherwise the event of the new connection would already pause the loop, and the loop would see the
				// request and the close together.
				g.waitUntil("the client is accepted", func(n metrics.Counters) bool { return n.Clients == 2 })
				ask := func() { io.WriteString(c, requestHead("GET /p/k", "X-Id: http")) }
				if after == "" {
					g.pauseLoop(ask, nil, func() { leave(c.(*net.TCPConn)) })
				} else {
					ask()
					receive(t, g.cacheCommands)
					g.pauseLoop(func() { proceed <- true }, nil, func() { leave(c.(*net.TCPConn)) })
				}
				g.waitUntil("the client is gone", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
				g.waitUntil("it is not sent", func(n metrics.Counters) bool { return n.Outcomes[policy.NotSent] == 1 })
				if n := g.Counters(); len(g.cacheCommands) > 0 || len(g.originRequests) > 0 {
					t.Errorf("an attempt was sent: %v", n.Outcomes)
				}
			})
		}
	}
}

// Guards against completing an attempt of which the kernel has accepted only a part when the client leaves: if attempts
// must not be cancelled, the rest was sent much later, and the write was executed although no client waited for it. The
// attempt must stop, since it has not been sent completely.
func TestPartlyWrittenAttemptStopsWhenClientLeaves(t *testing.T) {
	for way, leave := range closeMethods {
		for _, cancel := range []bool{true, false} {
			g := newHarness(t, 200, helloValue, func(b *Config) { b.Settings.Policy.CancelAllowed = cancel })
			tight := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) })
			}}
			l, err := tight.Listen(context.Background(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			g.runInLoop(func() {
				g.endpoints.byID["o"].addr = l.Addr().String()
				g.CheckHealth("o")
			})
			origin, err := l.Accept() // reads nothing from now on
			if err != nil {
				t.Fatal(err)
			}
			defer origin.Close()
			fmt.Fprint(origin, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			isIdle := make(chan bool, 1)
			g.waitUntil("the connection is idle", func(metrics.Counters) bool {
				g.runInLoop(func() { isIdle <- len(g.endpoints.byID["o"].idleConns) == 1 })
				return <-isIdle
			})
			shrinkSendBuffer(t, l.Addr().String())
			c, _ := g.client()
			fmt.Fprintf(c, "ms k 60000 Ox Pc=put,d=9000,k=1\r\n%s\r\n", strings.Repeat("v", 60000))
			g.waitUntil("part of the attempt is written", func(n metrics.Counters) bool {
				return n.Attempts == 1 && g.engine.Unsent() > 0
			})
			leave(c.(*net.TCPConn))
			g.waitUntil("the client is gone", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
			outcomes := g.Counters().Outcomes
			unsent := g.engine.Unsent()
			if outcomes[policy.NotSent] != 1 || unsent != 0 {
				t.Errorf("by %s, may cancel: %v: outcomes %v, %d bytes unsent", way, cancel, outcomes, unsent)
			}
		}
	}
}

// Guards against requests that are sent on after their client has closed its connection with many of them unread: the
// node goes on reading what the kernel has queued. Nothing may begin later than goneSendLimit after the close, whatever
// waits, by both protocols.
func TestUnreadRequestsOfGoneClientAreNotForwarded(t *testing.T) {
	const requests = 2500
	const goneSendLimit = 150 * time.Millisecond
	for protocol, writer := range requestWriters {
		for way, leave := range closeMethods {
			for _, after := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, by %s after %v", protocol, way, after), func(t *testing.T) {
					t.Parallel()
					var mu sync.Mutex
					var last time.Time
					g := newHarness(t, 400, func(line string) string {
						mu.Lock()
						last = time.Now()
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
						return helloValue(line)
					}, withHTTPListeners)
					var text strings.Builder
					for n := range requests {
						text.WriteString(writer.read(fmt.Sprintf("r%d", n)))
					}
					c, err := net.Dial("tcp", g.Addr(writer.listener))
					if err != nil {
						t.Fatal(err)
					}
					c.SetDeadline(time.Now().Add(testTimeout))
					go io.WriteString(c, text.String()) // the rest stays unread
					g.waitUntil("the first request is accepted", func(n metrics.Counters) bool { return n.Requests > 0 })
					time.Sleep(after)
					leave(c.(*net.TCPConn))
					left := time.Now()
					g.waitUntil("the client is gone", func(metrics.Counters) bool {
						gone := make(chan bool, 1)
						g.runInLoop(func() { gone <- g.downstream.conns.Len() == 0 })
						return receive(t, gone)
					})
					time.Sleep(2 * goneSendLimit)
					mu.Lock()
					defer mu.Unlock()
					if late := last.Sub(left); late > goneSendLimit {
						t.Errorf("a request reached the cache %v after its client had left", late)
					}
				})
			}
		}
	}
}
