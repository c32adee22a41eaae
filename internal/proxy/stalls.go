package proxy

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/policy"
)

const (
	stallAfter    = 150 * time.Millisecond // an iteration of the loop that takes longer is a stall: deadlines allow for no more
	stallLogEvery = time.Second            // between two log lines about stalls
	listLook      = time.Millisecond       // between looks whether the poller has read the list after a stall
	listLooks     = 20                     // such looks at most: the poller reads it in one or two
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
func (r *Proxy) beginIteration(events int) { r.stalls.begin(r.now(), events) }

// endIteration counts an iteration that has ended, and logs it if it was a stall.
func (r *Proxy) endIteration(now policy.Instant) {
	took := now.Since(r.stalls.began)
	r.stalls.stalled = took >= stallAfter
	r.count.LongestIterationMs = max(r.count.LongestIterationMs, uint64(took/time.Millisecond))
	if !r.stalls.stalled {
		return
	}
	r.count.Stalls++
	if r.stalls.loggedAt != 0 && now.Since(r.stalls.loggedAt) < stallLogEvery {
		r.stalls.notLogged++
		return
	}
	r.Log.WithFields(logrus.Fields{"took_ms": int64(took / time.Millisecond), "events": r.stalls.events, "lists": r.stalls.lists,
		"in_hand": r.hand.Len(), "not_logged": r.stalls.notLogged}).Warn("the event loop stalled")
	r.stalls.loggedAt, r.stalls.notLogged = now, 0
}

// heldUp tells whether the loop has just stood still: the iteration before took long, or what is due waits for so long that the process
// did not run.
func (r *Proxy) heldUp() bool {
	at, ok := r.due.Next()
	return r.stalls.stalled || ok && r.now().Since(at) >= stallAfter
}

// awaitList waits until the poller has read what discovery has written by now. After a stall it stands in the kernel beside requests that came
// before or after it, and the poller brings them in any order. Guards against decisions by a list that was out of date for longer than
// the grace.
func (r *Proxy) awaitList() {
	l := r.links.Get(r.list.link)
	if l == nil || l.wire == nil {
		return
	}
	for look := 0; look < listLooks && l.wire.Unread(); look++ {
		time.Sleep(listLook)
	}
}
