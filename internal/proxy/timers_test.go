package proxy

import (
	"fmt"
	"io"
	"testing"
	"time"

	"dahliapin/internal/proxy/metrics"
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

// A timer that is still needed is kept when others are dropped: a read that its cache does not answer is answered by its
// deadline, after thousands of others whose timers were due later.
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
