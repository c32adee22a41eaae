package proxy

import (
	"context"
	"maps"
	"slices"
	"time"

	"dahliapin/internal/proxy/admin"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/policy"
)

const (
	standbyComing = 350 * time.Millisecond // after the call to stand by, the front still sends new clients: 0.2 s after its next question
	trialsApart   = time.Second            // between legs to a cache that is only tried: two sooner are its share of the work
	standbyTakes  = 2 * time.Second        // then, who still keeps a connection busy is rejected until it falls idle
)

// stance hears how the module says that caches stand, and passes all on to the records' book if there is one.
type stance struct {
	dispatch.Observer
	of   map[policy.EndpointID]policy.EndpointState // those that are not in use as usual
	sent map[policy.EndpointID][2]policy.Instant    // the last two legs there, the latest last
}

// avoided tells whether a cache gets nothing that another could have. One that errs may for some grades only; one that has been
// silent stands so until it answers, but is avoided only once it gets no more than a leg now and then, as a trial.
func (s *stance) avoided(now policy.Instant, id policy.EndpointID) bool {
	is := s.of[id]
	return is > policy.StateUnresponsive || is == policy.StateUnresponsive && now.Since(s.sent[id][0]) >= trialsApart
}

func (s *stance) EndpointStateChanged(now policy.Instant, id policy.EndpointID, is policy.EndpointState) {
	if s.of[id] = is; is == policy.StateInUse {
		delete(s.of, id)
	}
	if s.Observer != nil {
		s.Observer.EndpointStateChanged(now, id, is)
	}
}

func (s *stance) AttemptSent(now policy.Instant, id policy.EndpointID) {
	s.sent[id] = [2]policy.Instant{s.sent[id][1], now}
	if s.Observer != nil {
		s.Observer.AttemptSent(now, id)
	}
}

func (s *stance) AttemptDone(now policy.Instant, id policy.EndpointID, how policy.Result, took time.Duration) {
	if s.Observer != nil {
		s.Observer.AttemptDone(now, id, how, took)
	}
}

func (s *stance) EndpointsUpdated(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	if s.Observer != nil {
		s.Observer.EndpointsUpdated(now, form, entries)
	}
}

// keep forgets the caches that the list does not name any more.
func (s *stance) keep(listed func(policy.EndpointID) bool) {
	maps.DeleteFunc(s.of, func(id policy.EndpointID, _ policy.EndpointState) bool { return !listed(id) })
	maps.DeleteFunc(s.sent, func(id policy.EndpointID, _ [2]policy.Instant) bool { return !listed(id) })
}

// publish hands out a new copy of the figures. It is called ten times a second, so it looks only at caches that are not in use as usual: there may
// be thousands.
func (r *Proxy) publish() {
	if r.stance == nil {
		return
	}
	s := &metrics.Snapshot{At: time.Now(), Serving: r.phase == Serving, Phase: r.phase.String(), Classes: slices.Clone(r.byGrade),
		Attempts: r.whole, Pending: r.pending}
	s.Members = r.members
	now := r.now()
	for id := range r.stance.of {
		if r.caches[id] != nil && r.stance.avoided(now, id) {
			s.Unavailable++
		}
	}
	r.sheet.Store(s)
}

// Metrics returns the figures as they were last handed out. It may be called from anywhere.
func (r *Proxy) Metrics() *metrics.Snapshot { return r.sheet.Load() }

// Standby drains the node without ending it, and Active ends that. They may be called from anywhere, and more than once.
func (r *Proxy) Standby(ctx context.Context) error { return r.order(ctx, r.standBy) }

// Active takes clients again, after Standby.
func (r *Proxy) Active(ctx context.Context) error { return r.order(ctx, r.beActive) }

// order has the loop do something, and waits for it only as long as the caller may.
func (r *Proxy) order(ctx context.Context, do func() error) error {
	answer := make(chan error, 1)
	select {
	case r.asks <- func() { answer <- do(); r.publish() }:
	case <-r.done:
		return admin.ErrEnding
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-answer:
		return err
	case <-r.done:
		return admin.ErrEnding
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Proxy) standBy() error {
	switch r.phase {
	case Draining, Stopped:
		return admin.ErrEnding
	case Standby:
		return nil
	}
	r.stoodBy = r.now()
	r.Log.WithField("in_hand", r.hand.Len()).Info("standing by")
	r.enter(Standby)
	if !r.looks { // a look of a standby that was ended may still be due
		r.looks = true
		r.due.Push(r.now().Add(drainEvery), due{drain: true})
	}
	return nil
}

func (r *Proxy) beActive() error {
	switch r.phase {
	case Draining, Stopped:
		return admin.ErrEnding
	case Standby:
		r.enter(Starting) // with a list it serves at once, else with the first
		r.ready()
	}
	return nil
}

// standbyStep closes clients as they fall idle, those that come to ask as well, for as long as the node stands by.
func (r *Proxy) standbyStep() {
	if r.looks = r.phase == Standby; !r.looks {
		return
	}
	if r.now().Since(r.stoodBy) >= standbyComing {
		r.closeIdleOnes()
	}
	r.due.Push(r.now().Add(drainEvery), due{drain: true})
}

// turnsAway tells whether what still comes on a kept connection is rejected while standing by, so that it falls idle.
func (r *Proxy) turnsAway() bool {
	return r.phase == Standby && r.now().Since(r.stoodBy) >= standbyComing+standbyTakes
}
