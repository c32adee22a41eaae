package proxy

import (
	"cmp"
	"time"

	"dahliapin/policy"
)

const (
	// drainAcceptTime is how long new connections may still come after the call to drain: the front stops sending them
	// 0.2 to 0.4 s later.
	drainAcceptTime = 500 * time.Millisecond
	// drainQuietTime is how long no new connection must have come before idle clients are closed.
	drainQuietTime = 150 * time.Millisecond
	// drainCheckInterval is the time between two checks for idle clients.
	drainCheckInterval = 10 * time.Millisecond
	// minPunctualIdleChecks is how many checks in a row must have been on time before the node stops: half of those
	// that fit into drainQuietTime, as a busy machine makes some late.
	minPunctualIdleChecks = int(drainQuietTime/drainCheckInterval) / 2
	// maxShutdownWait is the longest deadline that whoever ends the process waits for, by the operators' protocol.
	maxShutdownWait = 3 * time.Second
	// shutdownMargin is the time over the longest deadline by which the node must have ended.
	shutdownMargin = 500 * time.Millisecond
	// answerMargin is how long before its end the node answers all that is still in flight: ten idle checks, to close
	// the connections.
	answerMargin = 100 * time.Millisecond
)

// startDrain begins a graceful shutdown. New connections and requests are served until the front has stopped sending
// them; then connections are closed as they fall idle, and the node stops once there is none, or at drainDeadline.
func (p *Proxy) startDrain() {
	if p.lifecycle.phase == Draining || p.lifecycle.phase == Stopped {
		return
	}
	p.lifecycle.drainStartedAt = p.now()
	p.config.Log.WithField("in_hand", p.inflight.requests.Len()).Info("draining")
	// The phase comes first: OnPhaseChange reads Replaced, which returnToPredecessor changes.
	p.enterPhase(Draining)
	p.returnToPredecessor()
	p.capInflightDeadlines()
	p.drainStep()
}

// drainDeadline is when a node that drains stops at the latest: before whoever told it to stop kills it.
func (p *Proxy) drainDeadline() policy.Instant {
	longest := cmp.Or(p.config.Settings.LongestDeadline, maxShutdownWait)
	return p.lifecycle.drainStartedAt.Add(min(longest, maxShutdownWait) + shutdownMargin)
}

// lastAnswerAt is when a node that drains answers what is in flight, at the latest.
func (p *Proxy) lastAnswerAt() policy.Instant { return p.drainDeadline().Add(-answerMargin) }

// capInflightDeadlines has each request in flight answered before the node stops. Guards against deadlines later than
// that: their clients would see the connection end without an answer.
func (p *Proxy) capInflightDeadlines() {
	by := p.lastAnswerAt()
	p.dispatcher.CapDeadlines(p.now(), by)
	p.inflight.requests.Each(func(id inflightID, req *inflightRequest) {
		for i := range req.attempts {
			if attempt := &req.attempts[i]; attempt.inFlight && attempt.deadline > by {
				ref := attemptRef{request: id, index: i}
				p.schedule(by, timerEvent{kind: timerAttemptDeadline, attempt: ref})
			}
		}
	})
}

// drainStep is one idle check of a node that drains.
func (p *Proxy) drainStep() {
	now := p.now()
	p.countIdleCheck(now)
	sinceConnected := now.Since(p.downstream.lastConnectedAt)
	noMoreClients := now.Since(p.lifecycle.drainStartedAt) >= drainAcceptTime && sinceConnected >= drainQuietTime
	if p.takeover.acceptsElsewhere || noMoreClients {
		p.closeIdleClients()
		if p.mayStop(now) {
			p.enterPhase(Stopped)
			return
		}
	}
	if now >= p.drainDeadline() { // no client waits any longer, whether connections still come or not
		p.enterPhase(Stopped)
		return
	}
	p.scheduleIdleClientCheck()
}

// countIdleCheck counts the checks that came on time with no new connection since the one before. Guards against a
// process that was held up: nothing was accepted meanwhile, so that connections wait in the kernel's queue although
// none was seen for drainQuietTime.
func (p *Proxy) countIdleCheck(now policy.Instant) {
	last := p.lifecycle.lastIdleCheckAt
	p.lifecycle.punctualIdleChecks++
	if p.downstream.lastConnectedAt >= last || now.Since(last) > drainQuietTime/2 {
		p.lifecycle.punctualIdleChecks = 0
	}
	p.lifecycle.lastIdleCheckAt = now
}

// mayStop reports whether a node that drains has nothing left to do. The quiet time counts from the beginning of the
// drain, too: a connection that the kernel accepted just before may not have reached the loop yet, and would be reset.
func (p *Proxy) mayStop(now policy.Instant) bool {
	quietSince := max(p.lifecycle.drainStartedAt, p.downstream.lastConnectedAt)
	return p.downstream.conns.Len() == 0 && p.inflight.requests.Len() == 0 &&
		now.Since(quietSince) >= drainQuietTime && p.lifecycle.punctualIdleChecks >= minPunctualIdleChecks
}
