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
	standbyAcceptTime = 350 * time.Millisecond // after the call to stand by, the front still sends new clients: 0.2 s after its next question
	trialInterval     = time.Second            // between legs to a cache that is only tried: two sooner are its share of the work
	standbyServeTime  = 2 * time.Second        // then, who still keeps a connection busy is rejected until it falls idle
)

// endpointStats hears how the module says that caches stand, and passes all on to the records' book if there is one.
type endpointStats struct {
	dispatch.Observer
	states       map[policy.EndpointID]policy.EndpointState // those that are not in use as usual
	lastAttempts map[policy.EndpointID][2]policy.Instant    // the last two legs there, the latest last
}

// isAvoided tells whether a cache gets nothing that another could have. One that errs may for some grades only; one that has been
// silent stands so until it answers, but is avoided only once it gets no more than a leg now and then, as a trial.
func (s *endpointStats) isAvoided(now policy.Instant, id policy.EndpointID) bool {
	is := s.states[id]
	return is > policy.StateUnresponsive || is == policy.StateUnresponsive && now.Since(s.lastAttempts[id][0]) >= trialInterval
}

func (s *endpointStats) EndpointStateChanged(now policy.Instant, id policy.EndpointID, is policy.EndpointState) {
	if s.states[id] = is; is == policy.StateInUse {
		delete(s.states, id)
	}
	if s.Observer != nil {
		s.Observer.EndpointStateChanged(now, id, is)
	}
}

func (s *endpointStats) AttemptSent(now policy.Instant, id policy.EndpointID) {
	s.lastAttempts[id] = [2]policy.Instant{s.lastAttempts[id][1], now}
	if s.Observer != nil {
		s.Observer.AttemptSent(now, id)
	}
}

func (s *endpointStats) AttemptDone(now policy.Instant, id policy.EndpointID, how policy.Result, took time.Duration) {
	if s.Observer != nil {
		s.Observer.AttemptDone(now, id, how, took)
	}
}

func (s *endpointStats) EndpointsUpdated(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	if s.Observer != nil {
		s.Observer.EndpointsUpdated(now, form, entries)
	}
}

// retain forgets the caches that the list does not name any more.
func (s *endpointStats) retain(listed func(policy.EndpointID) bool) {
	maps.DeleteFunc(s.states, func(id policy.EndpointID, _ policy.EndpointState) bool { return !listed(id) })
	maps.DeleteFunc(s.lastAttempts, func(id policy.EndpointID, _ [2]policy.Instant) bool { return !listed(id) })
}

// publishMetrics hands out a new copy of the figures. It is called ten times a second, so it looks only at caches that are not in use as usual: there may
// be thousands.
func (p *Proxy) publishMetrics() {
	if p.endpointStats == nil {
		return
	}
	snapshot := &metrics.Snapshot{At: time.Now(), Serving: p.phase == Serving, Phase: p.phase.String(), Classes: slices.Clone(p.byClass),
		Attempts: p.attemptsSent, Pending: p.pending}
	snapshot.Members = p.memberCount
	now := p.now()
	for id := range p.endpointStats.states {
		if p.endpoints[id] != nil && p.endpointStats.isAvoided(now, id) {
			snapshot.Unavailable++
		}
	}
	p.snapshot.Store(snapshot)
}

// Metrics returns the figures as they were last handed out. It may be called from anywhere.
func (p *Proxy) Metrics() *metrics.Snapshot { return p.snapshot.Load() }

// Standby drains the node without ending it, and Active ends that. They may be called from anywhere, and more than once.
func (p *Proxy) Standby(ctx context.Context) error { return p.runCommand(ctx, p.enterStandby) }

// Active takes clients again, after Standby.
func (p *Proxy) Active(ctx context.Context) error { return p.runCommand(ctx, p.leaveStandby) }

// runCommand has the loop do something, and waits for it only as long as the caller may.
func (p *Proxy) runCommand(ctx context.Context, do func() error) error {
	answer := make(chan error, 1)
	select {
	case p.commands <- func() { answer <- do(); p.publishMetrics() }:
	case <-p.done:
		return admin.ErrEnding
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-answer:
		return err
	case <-p.done:
		return admin.ErrEnding
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Proxy) enterStandby() error {
	switch p.phase {
	case Draining, Stopped:
		return admin.ErrEnding
	case Standby:
		return nil
	}
	p.standbyStartedAt = p.now()
	p.Log.WithField("in_hand", p.inflight.Len()).Info("standing by")
	p.enterPhase(Standby)
	if !p.idleCheckScheduled { // a look of a standby that was ended may still be due
		p.idleCheckScheduled = true
		p.timers.Push(p.now().Add(drainCheckInterval), timerEvent{idleCheck: true})
	}
	return nil
}

func (p *Proxy) leaveStandby() error {
	switch p.phase {
	case Draining, Stopped:
		return admin.ErrEnding
	case Standby:
		p.enterPhase(Starting) // with a list it serves at once, else with the first
		p.serveIfReady()
	}
	return nil
}

// standbyStep closes clients as they fall idle, those that come to ask as well, for as long as the node stands by.
func (p *Proxy) standbyStep() {
	if p.idleCheckScheduled = p.phase == Standby; !p.idleCheckScheduled {
		return
	}
	if p.now().Since(p.standbyStartedAt) >= standbyAcceptTime {
		p.closeIdleClients()
	}
	p.timers.Push(p.now().Add(drainCheckInterval), timerEvent{idleCheck: true})
}

// rejectsInStandby tells whether what still comes on a kept connection is rejected while standing by, so that it falls idle.
func (p *Proxy) rejectsInStandby() bool {
	return p.phase == Standby && p.now().Since(p.standbyStartedAt) >= standbyAcceptTime+standbyServeTime
}
