package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
)

// The node is told to shut down twice while requests are in flight. It must serve those and the ones that still come,
// reject what would outlast it, fail readiness checks, say "close" with the last HTTP answer, as what is sent behind
// it would be lost, and then reset idle connections and stop.
func TestDrainServesLateArrivalsThenStops(t *testing.T) {
	hold := make(chan bool)
	g := newHarness(t, 200, blockRequestA(hold), withHTTPListeners)
	before, slow := g.client()
	fmt.Fprint(before, "mg k v Oa Pc=read,d=900\r\n")
	web := g.httpClient(1)
	web(requestHead("GET /p/k", "X-Id: a2", "X-Wait: 900") + requestHead("GET /p/k", "X-Wait: 900"))
	for range 3 {
		receive(t, g.cacheCommands)
	}
	g.Shutdown()
	g.Shutdown()
	g.Counters() // comes after what was asked before: else the next command may, too
	after, r := g.client()
	fmt.Fprint(after, "mn\r\nmg k2 v Ob Pc=read,d=900\r\nmg k3 v Oc Pc=pay,d=9000\r\n")
	g.expect(r, "SERVER_ERROR draining", "VA 5 Ob", "hello", "SERVER_ERROR busy") // the last would outlast the node
	close(hold)
	g.expect(slow, "VA 5 Oa", "hello")
	g.expectResponses(web("", "GET", "GET", "GET"), "200 hello 5", "200 hello 5 close", "ended")
	g.loop.Wait()
	if _, err := slow.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("closed with: %v", err)
	}
}

// Where clients state long deadlines, a node that drained rejected all requests, as their deadlines were later than
// its end. An idempotent one must be accepted while its latency objective is left, with the node's end as its
// deadline.
func TestDrainAcceptsWhatCanBeServedBeforeTheEnd(t *testing.T) {
	const long = "d=9000"
	// The classes' longest deadline is 1 s.
	const endsIn = time.Second + shutdownMargin - answerMargin
	for _, c := range []struct {
		name, asks, want string
		after            time.Duration // the drain began; the connection has a request in flight until then
		attempts         uint64
	}{
		{"a read", "mg k v Oa Pc=read," + long, "VA 5 Oa", 0, 2},
		{"a read that nobody answers", "mg hangs v Oa Pc=read," + long, "SERVER_ERROR busy", 0, 2},
		{"a read with less left than its soft limit", "mg k v Oa Pc=read," + long, "SERVER_ERROR busy", endsIn / 3, 1},
		{"what may not be repeated", "mg k v Oa Pc=pay," + long, "SERVER_ERROR busy", 0, 1},
		{"what may be for some time", "ms k 1 Oa Pc=put,k=7," + long + "\r\nx", "SERVER_ERROR busy", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newHarness(t, 200, func(line string) string {
				if strings.HasPrefix(line, "mg hangs") {
					return ""
				}
				return helloValue(line)
			}, func(b *Config) {
				if c.after > 0 {
					b.Settings.Policy.Classes[0].LatencyObjective = endsIn * 9 / 10
				}
			})
			to, r := g.client()
			fmt.Fprintf(to, "mg hangs v Oz Pc=read,%s\r\n", long)
			receive(t, g.cacheCommands)
			g.Shutdown()
			g.Counters()
			began := time.Now()
			time.Sleep(c.after)
			fmt.Fprint(to, c.asks+"\r\n")
			g.waitUntil("it is taken", func(n metrics.Counters) bool { return n.Requests == 2 })
			if c.attempts > 1 {
				line := receive(t, g.cacheCommands)
				_, stated, _ := strings.Cut(line, "d=")
				timeoutMs := 0
				fmt.Sscan(stated, &timeoutMs)
				if timeoutMs <= 0 || timeoutMs > int(endsIn/time.Millisecond) {
					t.Errorf("a cache is sent a deadline of %d ms in %q", timeoutMs, line)
				}
			}
			for _, want := range []string{"SERVER_ERROR busy", c.want} {
				got, err := r.ReadString('\n')
				took := time.Since(began)
				if !strings.HasPrefix(got, want) || took > endsIn+testTimeout/10 {
					t.Errorf("%q (%v) after %v, want %q", got, err, took, want)
				}
			}
			if n := g.Counters().Attempts; n != c.attempts {
				t.Errorf("%d attempts, %d wanted", n, c.attempts)
			}
		})
	}
}

// The process was held up while it drained, and stopped as soon as it went on: connections that had come meanwhile
// waited in the kernel's queue, and were reset.
func TestDrainAfterAStallAcceptsQueuedConnections(t *testing.T) {
	g := newHarness(t, 200, helloValue, func(b *Config) { b.Settings.LongestDeadline = maxShutdownWait })
	g.engine.SetAccepting(false) // as if the whole process stood still
	c, r := g.client()
	fmt.Fprint(c, "mg k v Ox Pc=read,d=2000\r\n")
	g.Shutdown()
	g.runInLoop(func() {
		for g.now().Since(g.lifecycle.drainStartedAt) < drainAcceptTime+drainQuietTime {
		}
		g.engine.SetAccepting(true)
	})
	if got, err := r.ReadString('\n'); strings.TrimSpace(got) != "VA 5 Ox" {
		t.Errorf("got %q (%v), %+v", got, err, g.Counters())
	}
}

// Requests had deadlines later than the end of a node that drained, or than the time that whoever ends the process
// waits: their connections ended without an answer. With a deadline of 5.3 s, a node was still at work when it was
// killed. Each must be answered before the end, as its class and its attempts allow.
func TestDrainAnswersWhatOutlastsTheNode(t *testing.T) {
	for _, longest := range []time.Duration{0, 500 * time.Millisecond, time.Minute} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			neverAnswer := func(string) string { return "" }
			g := newHarness(t, 200, neverAnswer, func(config *Config) { config.Settings.LongestDeadline = longest })
			l, addr := listenScripted(t) // an origin that says nothing, and one attempt at a time
			g.moveEndpoint("o", addr)
			wants := map[string]string{
				"mg k1 v Oa Pc=read,d=60000":         "SERVER_ERROR busy 250",
				"ms k2 1 Ob Pc=pay,d=60000\r\nx":     "SERVER_ERROR failed",
				"ms k3 1 Oc Pc=put,d=60000,k=7\r\nx": "SERVER_ERROR busy 250",
				"mg k4 v Od Pc=pay,d=60000":          "SERVER_ERROR failed",
			}
			told := map[string]*bufio.Reader{}
			for command := range wants {
				c, r := g.client()
				fmt.Fprint(c, command+"\r\n")
				told[command] = r
			}
			g.waitUntil("all are taken", func(n metrics.Counters) bool { return n.Requests == 4 && n.Attempts >= 4 })
			defer l.Close()
			began := time.Now()
			g.Shutdown()
			for command, r := range told {
				g.expect(r, wants[command])
				if _, err := r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%q: %v after its answer", command, err)
				}
			}
			g.loop.Wait()
			if time.Since(began) > maxShutdownWait+shutdownMargin+testTimeout/10 {
				t.Errorf("ended after %v", time.Since(began))
			}
		})
	}
}

// A process whose clients were returned to its predecessor stopped in the iteration in which no client was known.
// Connections that the kernel had accepted by then and the loop had not seen were reset: one in some thousand, when
// operators end the successor of an upgrade under load.
func TestReturnedProcessStopsOnlyAfterQuietTime(t *testing.T) {
	g := newHarness(t, 200, blockRequestA(nil))
	g.runInLoop(func() { g.takeover.acceptsElsewhere = true })
	g.Shutdown()
	g.loop.Wait()
	if took := g.now().Since(g.lifecycle.drainStartedAt); took < drainQuietTime {
		t.Errorf("ended %v after it was told to", took)
	}
}

// A node on standby looks for idle clients at intervals, and goes on with that when it is told to drain. Told so while
// its next look was still due, it began a second series: looks came twice as often, so that a process which was held up
// had its seven punctual looks in half the time, and could stop before it accepted what waited in the kernel's queue.
func TestDrainAfterStandbyHasOneSeriesOfIdleChecks(t *testing.T) {
	g := newHarness(t, 200, blockRequestA(make(chan bool)))
	c, _ := g.client()
	fmt.Fprint(c, "mg k v Oa Pc=read,d=900\r\n")
	receive(t, g.cacheCommands)
	series := 0
	g.runInLoop(func() {
		if err := g.enterStandby(); err != nil {
			t.Error(err)
		}
		g.startDrain()
		var pending []timerEvent
		for {
			event, ok := g.timers.PopDue(g.now().Add(time.Hour))
			if !ok {
				break
			}
			pending = append(pending, event)
		}
		for _, event := range pending {
			if event.kind == timerIdleCheck {
				series++
			}
			g.schedule(g.now(), event)
		}
	})
	g.Counters() // comes after it
	if series != 1 {
		t.Errorf("%d series of idle checks", series)
	}
}
