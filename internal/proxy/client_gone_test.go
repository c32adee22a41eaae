package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

func TestClientGoneCancelsItsAttempts(t *testing.T) {
	g := newHarness(t, 200, func(line string) string { return "" })
	c, _ := g.client()
	fmt.Fprint(c, "mg k1 v Oa Pc=read,d=9000\r\n")
	receive(t, g.cacheCommands)
	c.Close()
	receive(t, g.cacheConnClosed)
	g.waitUntil("it has left", func(n metrics.Counters) bool {
		return n.ClientsGone == 1 && n.Outcomes[policy.Cancelled] == 1 && n.Satisfied+n.Rejected+n.Failed == 0
	})
}

// A client that had left while its request waited was sent on for all the same: its end stands behind other events. Wherever it waits,
// here is an idle link, or one that is just coming up, by which a leg would go at once.
func TestRequestOfGoneClientIsNotForwarded(t *testing.T) {
	ask := func(c net.Conn, id string) { fmt.Fprintf(c, "mg k v %s Pc=read,d=9000\r\n", id) }
	places := map[string]func(g *harness, c net.Conn, may chan bool, leave func(net.Conn)){
		"behind other events": func(g *harness, c net.Conn, _ chan bool, leave func(net.Conn)) {
			g.pauseLoop(func() { ask(c, "Ox") }, nil, func() { leave(c) })
		},
		"for a link that comes up": func(g *harness, c net.Conn, _ chan bool, leave func(net.Conn)) {
			dials := g.Counters().Dials
			g.runInLoop(func() { g.endpoints.byID["c"].idleConns = nil }) // its end would be an event, too
			g.pauseLoop(func() { ask(c, "Ox") }, func() bool { return g.metrics.counters.Dials > dials }, func() { leave(c) })
		},
		"after a miss": func(g *harness, c net.Conn, may chan bool, leave func(net.Conn)) {
			ask(c, "Omiss")
			receive(g.t, g.cacheCommands)
			g.pauseLoop(func() { may <- true }, nil, func() { leave(c) })
		},
		"at the gate": func(g *harness, _ net.Conn, may chan bool, leave func(net.Conn)) {
			slow, _ := g.client()
			ask(slow, "Oslow")
			receive(g.t, g.cacheCommands)
			var half []net.Conn // commands that have not come whole keep their connections
			for n := g.Counters().Clients; !g.engine.ClientsWait(); n++ {
				c, _ := g.client()
				fmt.Fprint(c, "mg k")
				half = append(half, c)
				g.waitUntil("it is let in, or waits", func(now metrics.Counters) bool { return now.Clients > n || g.engine.ClientsWait() })
			}
			c, _ := g.client()
			ask(c, "Ox")
			leave(c)
			g.pauseLoop(func() { may <- true }, nil, func() {
				for _, c := range half {
					c.Close()
				}
				for g.engine.ClientsWait() {
				}
			})
		},
	}
	for place, waits := range places {
		for way, leave := range waysToLeave {
			for _, cancel := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, by %s, cancel %v", place, way, cancel), func(t *testing.T) {
					t.Parallel()
					may := make(chan bool)
					g := newHarness(t, 64, func(line string) string {
						switch {
						case strings.Contains(line, "Omiss"):
							<-may
							return "EN " + idFlag(line) + "\r\n"
						case strings.Contains(line, "Oslow"):
							<-may
						}
						return helloValue(line)
					}, func(b *Config) { b.Settings.Policy.CancelAllowed = cancel })
					c, r := g.client()
					ask(c, "Owarm")
					g.expect(r, "VA 5 Owarm", "hello")
					receive(t, g.cacheCommands)
					fmt.Fprint(c, "ms k 1 Oput Pc=put,d=9000,k=1\r\nx\r\n")
					g.expect(r, "HD Oput cfrom-origin")
					before := g.Counters().Attempts + 1 // a slow one's beside
					waits(g, c, may, func(c net.Conn) { leave(c.(*net.TCPConn)) })
					g.waitUntil("it has left", func(n metrics.Counters) bool { return n.ClientsGone+n.RejectedForRoom == 1 })
					n := g.Counters()
					if n.RejectedForRoom == 1 && place == "at the gate" && n.Outcomes[policy.NotSent] == 0 && n.Attempts == before {
						return // it was let in before room for it was heard of, and rejected, which is no leg either
					}
					if waited := n.ClientsGoneUnsent == 1 || place == "after a miss"; n.Outcomes[policy.NotSent] != 1 || !waited {
						t.Errorf("%d legs not sent on, %d left waiting: %v", n.Outcomes[policy.NotSent], n.ClientsGoneUnsent, n.Outcomes)
					}
				})
			}
		}
	}
}

// By HTTP a client goes in the same ways, and no attempt begins for it either, first or further.
func TestRequestOfGoneHTTPClientIsNotForwarded(t *testing.T) {
	for way, leave := range waysToLeave {
		for _, after := range []string{"", "a miss"} {
			t.Run(way+" "+after, func(t *testing.T) {
				t.Parallel()
				may := make(chan bool)
				g := newHarness(t, 64, func(line string) string {
					if after != "" && strings.Contains(line, "Ohttp") {
						<-may
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
				ask := func() { io.WriteString(c, requestHead("GET /p/k", "X-Id: http")) }
				if after == "" {
					g.pauseLoop(ask, nil, func() { leave(c.(*net.TCPConn)) })
				} else {
					ask()
					receive(t, g.cacheCommands)
					g.pauseLoop(func() { may <- true }, nil, func() { leave(c.(*net.TCPConn)) })
				}
				g.waitUntil("it has left", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
				g.waitUntil("nothing is out", func(n metrics.Counters) bool { return n.Outcomes[policy.NotSent] == 1 })
				if n := g.Counters(); len(g.cacheCommands) > 0 || len(g.originRequests) > 0 {
					t.Errorf("an attempt went out: %v", n.Outcomes)
				}
			})
		}
	}
}

// A leg that the kernel had taken only in part went on where legs may not be called off, and was whole long after its client had left.
func TestPartlyWrittenAttemptStopsWithItsClient(t *testing.T) {
	for way, leave := range waysToLeave {
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
			origin, err := l.Accept() // which reads nothing of what comes later
			if err != nil {
				t.Fatal(err)
			}
			defer origin.Close()
			fmt.Fprint(origin, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			rested := make(chan bool, 1)
			g.waitUntil("its link is idle", func(metrics.Counters) bool {
				g.runInLoop(func() { rested <- len(g.endpoints.byID["o"].idleConns) == 1 })
				return <-rested
			})
			shrinkSendBuffer(t, l.Addr().String())
			c, _ := g.client()
			fmt.Fprintf(c, "ms k 60000 Ox Pc=put,d=9000,k=1\r\n%s\r\n", strings.Repeat("v", 60000))
			g.waitUntil("a part is written", func(n metrics.Counters) bool { return n.Attempts == 1 && g.engine.Unsent() > 0 })
			leave(c.(*net.TCPConn))
			g.waitUntil("it has left", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
			if n := g.Counters(); n.Outcomes[policy.NotSent] != 1 || g.engine.Unsent() != 0 {
				t.Errorf("by %s, may cancel: %v: %v, %d bytes wait to be sent on", way, cancel, n.Outcomes, g.engine.Unsent())
			}
		}
	}
}
