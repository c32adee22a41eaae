package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"

	"golang.org/x/sys/unix"
)

// leaving are the ways in which a client goes: it ends, breaks off, or ends only what it sends, which can't be told from the first.
var leaving = map[string]func(c *net.TCPConn){
	"end":      func(c *net.TCPConn) { c.Close() },
	"reset":    func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"half-end": func(c *net.TCPConn) { c.CloseWrite() },
}

// held has something done, and the loop go on until it has come so far. It is then stopped once another event waits for it, and hears of
// what is done meanwhile after that.
func (g *rig) held(first func(), far func() bool, then func()) {
	g.t.Helper()
	stopped, handed, goes := make(chan bool, 1), make(chan bool, 1), make(chan bool)
	g.runInLoop(func() {
		select {
		case <-g.engine.Wake():
		default:
		}
		stopped <- true
		for <-g.engine.Wake(); far != nil && !far(); <-g.engine.Wake() {
			for _, ev := range g.engine.Take() {
				g.handleEvent(&ev)
			}
		}
		handed <- true
		<-goes
		<-g.engine.Wake() // what was done then is here, too
	})
	wait(g.t, stopped)
	first()
	wait(g.t, handed)
	then()
	close(goes)
}

// A client that had left while its request waited was sent on for all the same: its end stands behind other events. Wherever it waits,
// here is an idle link, or one that is just coming up, by which a leg would go at once.
func TestWhoHasLeftWhileWaitingIsNotSentOnFor(t *testing.T) {
	ask := func(c net.Conn, id string) { fmt.Fprintf(c, "mg k v %s Pc=read,d=9000\r\n", id) }
	places := map[string]func(g *rig, c net.Conn, may chan bool, leave func(net.Conn)){
		"behind other events": func(g *rig, c net.Conn, _ chan bool, leave func(net.Conn)) {
			g.held(func() { ask(c, "Ox") }, nil, func() { leave(c) })
		},
		"for a link that comes up": func(g *rig, c net.Conn, _ chan bool, leave func(net.Conn)) {
			dials := g.Counters().Dials
			g.runInLoop(func() { g.endpoints["c"].idleConns = nil }) // its end would be an event, too
			g.held(func() { ask(c, "Ox") }, func() bool { return g.counters.Dials > dials }, func() { leave(c) })
		},
		"after a miss": func(g *rig, c net.Conn, may chan bool, leave func(net.Conn)) {
			ask(c, "Omiss")
			wait(g.t, g.lines)
			g.held(func() { may <- true }, nil, func() { leave(c) })
		},
		"at the gate": func(g *rig, _ net.Conn, may chan bool, leave func(net.Conn)) {
			slow, _ := g.client()
			ask(slow, "Oslow")
			wait(g.t, g.lines)
			var half []net.Conn // commands that have not come whole keep their connections
			for n := g.Counters().Clients; !g.engine.ClientsWait(); n++ {
				c, _ := g.client()
				fmt.Fprint(c, "mg k")
				half = append(half, c)
				g.until("it is let in, or waits", func(now metrics.Counters) bool { return now.Clients > n || g.engine.ClientsWait() })
			}
			c, _ := g.client()
			ask(c, "Ox")
			leave(c)
			g.held(func() { may <- true }, nil, func() {
				for _, c := range half {
					c.Close()
				}
				for g.engine.ClientsWait() {
				}
			})
		},
	}
	for place, waits := range places {
		for way, leave := range leaving {
			for _, cancel := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, by %s, cancel %v", place, way, cancel), func(t *testing.T) {
					t.Parallel()
					may := make(chan bool)
					g := newRig(t, 64, func(line string) string {
						switch {
						case strings.Contains(line, "Omiss"):
							<-may
							return "EN " + id(line) + "\r\n"
						case strings.Contains(line, "Oslow"):
							<-may
						}
						return value(line)
					}, func(b *Config) { b.Settings.Policy.CancelAllowed = cancel })
					c, r := g.client()
					ask(c, "Owarm")
					g.expect(r, "VA 5 Owarm", "hello")
					wait(t, g.lines)
					fmt.Fprint(c, "ms k 1 Oput Pc=put,d=9000,k=1\r\nx\r\n")
					g.expect(r, "HD Oput cfrom-origin")
					before := g.Counters().Attempts + 1 // a slow one's beside
					waits(g, c, may, func(c net.Conn) { leave(c.(*net.TCPConn)) })
					g.until("it has left", func(n metrics.Counters) bool { return n.ClientsGone+n.RejectedForRoom == 1 })
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
func TestWhoHasLeftByHTTPIsNotSentOnFor(t *testing.T) {
	for way, leave := range leaving {
		for _, after := range []string{"", "a miss"} {
			t.Run(way+" "+after, func(t *testing.T) {
				t.Parallel()
				may := make(chan bool)
				g := newRig(t, 64, func(line string) string {
					if after != "" && strings.Contains(line, "Ohttp") {
						<-may
						return "EN " + id(line) + "\r\n"
					}
					return value(line)
				}, withFront)
				warm, r := g.client()
				fmt.Fprint(warm, "mg k v Owarm Pc=read,d=9000\r\n")
				g.expect(r, "VA 5 Owarm", "hello")
				wait(t, g.lines)
				c, err := net.Dial("tcp", g.Addr(1))
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				ask := func() { io.WriteString(c, req("GET /p/k", "X-Id: http")) }
				if after == "" {
					g.held(ask, nil, func() { leave(c.(*net.TCPConn)) })
				} else {
					ask()
					wait(t, g.lines)
					g.held(func() { may <- true }, nil, func() { leave(c.(*net.TCPConn)) })
				}
				g.until("it has left", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
				g.until("nothing is out", func(n metrics.Counters) bool { return n.Outcomes[policy.NotSent] == 1 })
				if n := g.Counters(); len(g.lines) > 0 || len(g.calls) > 0 {
					t.Errorf("an attempt went out: %v", n.Outcomes)
				}
			})
		}
	}
}

// narrow leaves little room in the kernel for what this process sends to an address.
func narrow(t *testing.T, addr string) {
	for fd := range 1024 {
		if to, err := unix.Getpeername(fd); err == nil {
			if in, ok := to.(*unix.SockaddrInet4); ok && fmt.Sprintf("127.0.0.1:%d", in.Port) == addr {
				if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 1); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// A leg that the kernel had taken only in part went on where legs may not be called off, and was whole long after its client had left.
func TestALegWrittenInPartStopsWithItsClient(t *testing.T) {
	for way, leave := range leaving {
		for _, cancel := range []bool{true, false} {
			g := newRig(t, 200, value, func(b *Config) { b.Settings.Policy.CancelAllowed = cancel })
			tight := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) })
			}}
			l, err := tight.Listen(context.Background(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			g.runInLoop(func() {
				g.endpoints["o"].addr = l.Addr().String()
				g.CheckHealth("o")
			})
			origin, err := l.Accept() // which reads nothing of what comes later
			if err != nil {
				t.Fatal(err)
			}
			defer origin.Close()
			fmt.Fprint(origin, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			rested := make(chan bool, 1)
			g.until("its link is idle", func(metrics.Counters) bool {
				g.runInLoop(func() { rested <- len(g.endpoints["o"].idleConns) == 1 })
				return <-rested
			})
			narrow(t, l.Addr().String())
			c, _ := g.client()
			fmt.Fprintf(c, "ms k 60000 Ox Pc=put,d=9000,k=1\r\n%s\r\n", strings.Repeat("v", 60000))
			g.until("a part is written", func(n metrics.Counters) bool { return n.Attempts == 1 && g.engine.Unsent() > 0 })
			leave(c.(*net.TCPConn))
			g.until("it has left", func(n metrics.Counters) bool { return n.ClientsGone == 1 })
			if n := g.Counters(); n.Outcomes[policy.NotSent] != 1 || g.engine.Unsent() != 0 {
				t.Errorf("by %s, may cancel: %v: %v, %d bytes wait to be sent on", way, cancel, n.Outcomes, g.engine.Unsent())
			}
		}
	}
}

// What its server's end of an idle link means for a leg, by where it comes: before the write, so that the loop has not heard of it yet,
// it costs a new link and nothing else; after the last byte the leg may have run, and what can't be undone is not sent again.
func TestAnIdleLinkThatEndsAroundAWrite(t *testing.T) {
	for _, c := range []struct {
		end, grade, want string
		after            bool
		sent             uint64 // legs in all
	}{
		{"end", "pay", "VA 5 Ox", false, 2}, {"reset", "pay", "VA 5 Ox", false, 2},
		{"end", "pay", "SERVER_ERROR failed", true, 2}, {"reset", "pay", "SERVER_ERROR failed", true, 2},
	} {
		g := newRig(t, 200, value)
		l, addr := scripted(t)
		g.moves("c", addr)
		client, r := g.client()
		fmt.Fprint(client, "mg k v Owarm Pc=read,d=9000\r\n")
		link, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewReader(link)
		line, _ := lines.ReadString('\n')
		io.WriteString(link, value(line))
		g.expect(r, "VA 5 Owarm", "hello")
		ask := func() { fmt.Fprintf(client, "mg k v Ox Pc=%s,d=9000\r\n", c.grade) }
		if c.after {
			ask()
			lines.ReadString('\n')
			leaving[c.end](link.(*net.TCPConn))
		} else {
			g.held(ask, nil, func() { leaving[c.end](link.(*net.TCPConn)) })
			fresh, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			line, _ := bufio.NewReader(fresh).ReadString('\n')
			io.WriteString(fresh, value(line))
		}
		g.expect(r, c.want)
		if n := g.Counters(); n.Attempts != c.sent || n.Outcomes[policy.ConnectionBroken] != 0 != c.after {
			t.Errorf("%s, after the write: %v: %d legs, %v", c.end, c.after, n.Attempts, n.Outcomes)
		}
	}
}
