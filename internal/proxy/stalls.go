package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/policy"
)

const (
	stallThreshold        = 150 * time.Millisecond // an iteration of the loop that takes longer is a stall: deadlines allow for no more
	stallLogInterval      = time.Second            // between two log lines about stalls
	listReadCheckInterval = time.Millisecond       // between looks whether the poller has read the list after a stall
	maxListReadChecks     = 20                     // such looks at most: the poller reads it in one or two
)

// stallWatch observes the iterations of the event loop. Whatever the loop owes waits for the end of an iteration, so a long one explains
// late answers, and decisions by a list that was out of date.
type stallWatch struct {
	began     policy.Instant // when the current iteration began
	events    int            // taken from the sockets in it
	lists     int            // lists of caches applied in it
	stalled   bool           // the iteration before was a stall
	loggedAt  policy.Instant // when a stall was last logged; 0 for never
	notLogged int            // stalls since then
}

// begin starts an iteration with so many events.
func (s *stallWatch) begin(now policy.Instant, events int) {
	s.began, s.events, s.lists = now, events, 0
}

// beginIteration starts the observation of an iteration of the loop.
func (p *Proxy) beginIteration(events int) { p.stalls.begin(p.now(), events) }

// endIteration counts an iteration that has ended, and logs it if it was a stall.
func (p *Proxy) endIteration(now policy.Instant) {
	took := now.Since(p.stalls.began)
	p.stalls.stalled = took >= stallThreshold
	p.counters.LongestIterationMs = max(p.counters.LongestIterationMs, uint64(took/time.Millisecond))
	if !p.stalls.stalled {
		return
	}
	p.counters.Stalls++
	if p.stalls.loggedAt != 0 && now.Since(p.stalls.loggedAt) < stallLogInterval {
		p.stalls.notLogged++
		return
	}
	p.Log.WithFields(logrus.Fields{"took_ms": int64(took / time.Millisecond), "events": p.stalls.events, "lists": p.stalls.lists,
		"in_hand": p.inflight.Len(), "not_logged": p.stalls.notLogged}).Warn("the event loop stalled")
	p.stalls.loggedAt, p.stalls.notLogged = now, 0
}

// wasHeldUp tells whether the loop has just stood still: the iteration before took long, or what is due waits for so long that the process
// did not run.
func (p *Proxy) wasHeldUp() bool {
	at, ok := p.timers.Next()
	return p.stalls.stalled || ok && p.now().Since(at) >= stallThreshold
}

// awaitEndpointList waits until the poller has read what discovery has written by now. After a stall it stands in the kernel beside requests that came
// before or after it, and the poller brings them in any order. Guards against decisions by a list that was out of date for longer than
// the grace.
func (p *Proxy) awaitEndpointList() {
	conn := p.conns.Get(p.watch.conn)
	if conn == nil || conn.wire == nil {
		return
	}
	for check := 0; check < maxListReadChecks && conn.wire.HasUnread(); check++ {
		time.Sleep(listReadCheckInterval)
	}
}
