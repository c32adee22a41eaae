package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/policy"
)

const (
	// stallThreshold is how long an iteration of the loop may take: longer ones are stalls, for which deadlines have no
	// allowance.
	stallThreshold = 150 * time.Millisecond
	// stallLogInterval is the least time between two log lines about stalls.
	stallLogInterval = time.Second
	// listReadCheckInterval is the time between two looks whether the poller has read the endpoint list after a stall.
	listReadCheckInterval = time.Millisecond
	// maxListReadChecks is the number of such looks: the poller reads the list within one or two.
	maxListReadChecks = 20
)

// stallWatch observes the iterations of the event loop. Whatever the loop has to do waits for the end of an iteration,
// so a long one explains late answers, and decisions by a list that was out of date. The loop writes it.
type stallWatch struct {
	began     policy.Instant // when the current iteration began
	events    int            // taken from the sockets in it
	lists     int            // endpoint lists applied in it
	stalled   bool           // the iteration before was a stall
	loggedAt  policy.Instant // when a stall was last logged; 0 for never
	notLogged int            // stalls since then
}

// begin starts an iteration with so many events.
func (s *stallWatch) begin(now policy.Instant, events int) {
	s.began = now
	s.events = events
	s.lists = 0
}

// beginIteration starts the observation of an iteration of the loop.
func (p *Proxy) beginIteration(events int) { p.stalls.begin(p.now(), events) }

// endIteration counts an iteration that has ended, and logs it if it was a stall.
func (p *Proxy) endIteration(now policy.Instant) {
	watch := &p.stalls
	counters := &p.metrics.counters
	took := now.Since(watch.began)
	watch.stalled = took >= stallThreshold
	counters.LongestIterationMs = max(counters.LongestIterationMs, uint64(took/time.Millisecond))
	if !watch.stalled {
		return
	}
	counters.Stalls++
	if watch.loggedAt != 0 && now.Since(watch.loggedAt) < stallLogInterval {
		watch.notLogged++
		return
	}
	p.config.Log.WithFields(logrus.Fields{
		"took_ms":    int64(took / time.Millisecond),
		"events":     watch.events,
		"lists":      watch.lists,
		"in_hand":    p.inflight.requests.Len(),
		"not_logged": watch.notLogged,
	}).Warn("the event loop stalled")
	watch.loggedAt = now
	watch.notLogged = 0
}

// wasHeldUp reports whether the loop has just stood still: the iteration before was a stall, or a timer is overdue for
// so long that the process did not run.
func (p *Proxy) wasHeldUp() bool {
	at, ok := p.timers.Next()
	return p.stalls.stalled || ok && p.now().Since(at) >= stallThreshold
}

// awaitEndpointList waits until the poller has read what discovery has written by now. After a stall the list stands in
// the kernel beside requests that came before or after it, and the poller brings them in any order. Guards against
// decisions by a list that has been out of date for longer than the operators' grace.
func (p *Proxy) awaitEndpointList() {
	conn := p.upstream.conns.Get(p.endpoints.watch.conn)
	if conn == nil || conn.socket == nil {
		return
	}
	for check := 0; check < maxListReadChecks && conn.socket.HasUnread(); check++ {
		time.Sleep(listReadCheckInterval)
	}
}
