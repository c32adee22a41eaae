package proxy

import (
	"fmt"
	"io"
	"testing"
	"time"

	"dahliapin/internal/idletimeout"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

// Guards against memory that grows with the requests of one client, by as much as they may wait: their timers remained
// until they were due, up to ten minutes after the answers.
func TestTimersOfAnsweredRequestsAreDropped(t *testing.T) {
	const rounds, perRound = 40, 100
	for name, request := range map[string]struct {
		command     string
		answerLines int
	}{
		"reads":  {"mg k v Or%d Pc=read,d=600000\r\n", 2},
		"writes": {"ms k 5 Or%d Pc=pay,d=600000\r\nhello\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 400, helloValue)
			go g.discardCommands()
			c, r := g.client()
			for round := range rounds {
				for n := range perRound {
					fmt.Fprintf(c, request.command, round*perRound+n)
				}
				for range perRound * request.answerLines {
					if _, err := r.ReadString('\n'); err != nil {
						t.Fatal(err)
					}
				}
			}
			if n := g.Counters(); n.Satisfied < rounds*perRound/2 {
				t.Errorf("%d of %d requests are satisfied: %+v", n.Satisfied, rounds*perRound, n)
			}
			timers := make(chan int, 1)
			g.runInLoop(func() { timers <- g.timers.Len() })
			if n := receive(t, timers); n > 2*minTimersToDrop {
				t.Errorf("%d timers are set, though no request is in flight", n)
			}
		})
	}
}

// discardCommands takes what the stubs have received until the test ends, so that none of them blocks.
func (g *harness) discardCommands() {
	for {
		select {
		case <-g.cacheCommands:
		case <-g.originRequests:
		case <-g.stop:
			return
		}
	}
}

// A timer that is still needed is kept when others are dropped: a read that its cache does not answer is answered by
// its deadline, although thousands of timers were dropped meanwhile.
func TestTimerOfAWaitingRequestIsKept(t *testing.T) {
	proceed := make(chan bool)
	t.Cleanup(func() { close(proceed) })
	g := newHarness(t, 400, blockAll(proceed))
	c, r := g.client()
	sentAt := time.Now()
	io.WriteString(c, "mg k v Oa Pc=read,d=900\r\n")
	g.waitUntil("it is attempted", func(n metrics.Counters) bool { return n.Attempts == 1 })
	g.runInLoop(func() {
		obsolete := timerEvent{kind: timerAttemptDeadline, attempt: attemptRef{request: 1 << 40}}
		for range 5 * minTimersToDrop {
			g.schedule(g.now().Add(time.Minute), obsolete)
		}
		if g.timers.Len() > 2*minTimersToDrop {
			t.Errorf("%d timers are set", g.timers.Len())
		}
	})
	line, err := r.ReadString('\n')
	if took := time.Since(sentAt); err != nil || took > 2*time.Second {
		t.Errorf("%q after %v: %v", line, took, err)
	}
}

// Guards against timers that pile up while a stream lasts: each time that its client stops reading, an earlier check is
// set, and the later one is no longer needed.
func TestObsoleteTimersOfAStreamAreDropped(t *testing.T) {
	p := &Proxy{clock: clock{startedAt: time.Now()}}
	conn := &upstreamConn{stream: &responseStream{}}
	conn.id = p.upstream.conns.Add(conn)
	for range 5 * minTimersToDrop {
		conn.stream.paused = false
		p.scheduleStreamCheck(conn)
		conn.stream.paused = true
		p.scheduleStreamCheck(conn)
		conn.stream.checkAt = 0 // as when the check begins
	}
	if n := p.timers.Len(); n > 2*minTimersToDrop {
		t.Errorf("%d timers are set for one stream", n)
	}
}

// A connection keeps the timers by which its connect is given up and its idle time ends.
func TestTimersOfAConnAreKept(t *testing.T) {
	p := &Proxy{clock: clock{startedAt: time.Now()}}
	p.upstream.idleTimeout = idletimeout.New(10 * time.Second)
	conn := &upstreamConn{}
	conn.id = p.upstream.conns.Add(conn)
	p.setConnDeadline(conn)
	p.scheduleIdleCheck(conn, p.now())
	for at, want := range map[policy.Instant]bool{
		conn.deadline.at.Add(-1):                   false,
		conn.deadline.at:                           true,
		conn.deadline.at.Add(overdueCheckInterval): true,
		conn.idleCheckAt:                           true,
	} {
		if got := p.isTimerNeeded(at, &timerEvent{kind: timerUpstreamConn, conn: conn.id}); got != want {
			t.Errorf("%v after the deadline: needed %v, want %v", at.Since(conn.deadline.at), got, want)
		}
	}
	conn.deadline = connDeadline{}
	if p.isTimerNeeded(conn.idleCheckAt.Add(-1), &timerEvent{kind: timerUpstreamConn, conn: conn.id}) {
		t.Error("a timer before the idle check is needed, though there is no deadline")
	}
	p.upstream.conns.Remove(conn.id)
	if p.isTimerNeeded(conn.idleCheckAt, &timerEvent{kind: timerUpstreamConn, conn: conn.id}) {
		t.Error("a timer of a closed connection is needed")
	}
}
