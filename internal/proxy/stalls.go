package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/policy"
)

const (
	// stallThreshold is the duration from which an iteration of the event loop counts as a stall. Deadlines make no
	// allowance for stalls.
	stallThreshold = 150 * time.Millisecond
	// stallLogInterval is the minimum interval between log lines about stalls.
	stallLogInterval = time.Second
	// listReadCheckInterval is the interval between checks whether the socket poller has read the endpoint list after a
	// stall.
	listReadCheckInterval = time.Millisecond
	// maxListReadChecks is the maximum number of such checks: the socket poller reads the list within one or two.
	maxListReadChecks = 20
)

// stallDetector times the iterations of the event loop, but not the commands from other goroutines, which run between
// them. All other work waits for the end of an iteration, so a long one explains late answers, and decisions by an
// outdated list. Only the event loop writes it.
type stallDetector struct {
	iterations uint64         // iterations that have ended
	startedAt  policy.Instant // when the current iteration began
	events     int            // socket events handled in it
	lists      int            // endpoint lists applied in it
	stalled    bool           // the previous iteration was a stall
	loggedAt   policy.Instant // when a stall was last logged; 0 if none was
	notLogged  int            // stalls since then, which were not logged
}

// begin starts an iteration with the given number of socket events.
func (s *stallDetector) begin(now policy.Instant, events int) {
	s.startedAt = now
	s.events = events
	s.lists = 0
}

// beginIteration starts timing an iteration of the event loop.
func (p *Proxy) beginIteration(events int) { p.stalls.begin(p.now(), events) }

// endIteration records an iteration that has ended, and logs it if it was a stall.
func (p *Proxy) endIteration(now policy.Instant) {
	detector := &p.stalls
	counters := &p.metrics.counters
	detector.iterations++
	took := now.Since(detector.startedAt)
	detector.stalled = took >= stallThreshold
	counters.LongestIterationMs = max(counters.LongestIterationMs, uint64(took/time.Millisecond))
	if !detector.stalled {
		return
	}
	counters.Stalls++
	if detector.loggedAt != 0 && now.Since(detector.loggedAt) < stallLogInterval {
		detector.notLogged++
		return
	}
	p.config.Log.WithFields(logrus.Fields{
		"took_ms":    int64(took / time.Millisecond),
		"events":     detector.events,
		"lists":      detector.lists,
		"in_hand":    p.inflight.requests.Len(),
		"not_logged": detector.notLogged,
	}).Warn("event loop stalled; continuing with the events that waited")
	detector.loggedAt = now
	detector.notLogged = 0
}

// wasStalled reports whether the event loop has just stalled: the previous iteration was a stall, or a timer is overdue
// by stallThreshold, as after the process was suspended.
func (p *Proxy) wasStalled() bool {
	at, ok := p.timers.Next()
	return p.stalls.stalled || ok && p.now().Since(at) >= stallThreshold
}

// awaitEndpointList waits until the socket poller has read what discovery has written by now, for at most
// maxListReadChecks checks. After a stall, the list waits in the kernel along with requests that arrived before or
// after it, and the socket poller returns them in any order. Without the wait, decisions could use a list that has been
// outdated for longer than the operators' grace period.
func (p *Proxy) awaitEndpointList() {
	conn := p.upstream.conns.Get(p.endpoints.watch.conn)
	if conn == nil || conn.socket == nil {
		return
	}
	for check := 0; check < maxListReadChecks && conn.socket.HasUnread(); check++ {
		time.Sleep(listReadCheckInterval)
	}
}
