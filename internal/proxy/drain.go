package proxy

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/proxy/sockets"
	"dahliapin/policy"
)

const (
	// drainAcceptTime is how long new connections may still arrive after a drain has begun: the load balancer in front
	// of the nodes stops sending them 0.2 to 0.4 s later.
	drainAcceptTime = 500 * time.Millisecond
	// drainQuietTime is the time without a new connection after which idle clients are closed.
	drainQuietTime = 150 * time.Millisecond
	// drainCheckInterval is the interval between checks for idle clients.
	drainCheckInterval = 10 * time.Millisecond
	// minOnTimeIdleChecks is how many consecutive checks must have been on time before the node stops: half of those
	// that fit into drainQuietTime, since a busy machine delays some.
	minOnTimeIdleChecks = int(drainQuietTime/drainCheckInterval) / 2
	// maxShutdownWait is the longest request deadline for which the process manager delays killing the process, as
	// agreed with the operators.
	maxShutdownWait = 3 * time.Second
	// shutdownMargin is the time from the longest deadline to drainDeadline.
	shutdownMargin = 500 * time.Millisecond
	// drainStreamTime is how long after a drain has begun requests may arrive whose values are streamed. As agreed with
	// the operators, the process manager may leave requests unanswered that arrived up to 0.7 s after its signal.
	drainStreamTime = 500 * time.Millisecond
	// answerMargin is how long before drainDeadline the node answers all requests still in flight. It leaves time for
	// ten idle checks, which close the connections.
	answerMargin = 100 * time.Millisecond
)

// startDrain begins a graceful shutdown. New connections and requests are served until the load balancer has stopped
// sending them. Then connections are closed as they become idle, and the node stops once none is left, or at
// drainDeadline if it has no answer left to deliver.
func (p *Proxy) startDrain() {
	if p.lifecycle.phase == Draining || p.lifecycle.phase == Stopped {
		return
	}
	p.lifecycle.drainStartedAt = p.now()
	p.config.Log.WithFields(logrus.Fields{
		"in_hand": p.inflight.requests.Len(),
		"streams": p.countUndelivered().streams,
	}).Info("draining")
	// The phase changes first: OnPhaseChange reads Replaced, which returnToPredecessor changes.
	p.enterPhase(Draining)
	p.returnToPredecessor()
	p.capInflightDeadlines()
	p.drainStep()
}

// drainDeadline returns when a draining node stops if all that it still has are connections without an answer to
// deliver: before the process manager may kill it. No request waits for an answer then. An answer that is being written
// is not cut off: the process manager may kill the process later than that, and the answer may be complete by then.
func (p *Proxy) drainDeadline() policy.Instant {
	longest := cmp.Or(p.config.Settings.LongestDeadline, maxShutdownWait)
	return p.lifecycle.drainStartedAt.Add(min(longest, maxShutdownWait) + shutdownMargin)
}

// drainAnswerDeadline returns when a draining node answers the requests in flight at the latest.
func (p *Proxy) drainAnswerDeadline() policy.Instant { return p.drainDeadline().Add(-answerMargin) }

// capInflightDeadlines makes sure that each request in flight is answered before the node stops. With later deadlines,
// clients would see the connection close without an answer.
func (p *Proxy) capInflightDeadlines() {
	answerBy := p.drainAnswerDeadline()
	p.dispatcher.CapDeadlines(p.now(), answerBy)
	p.inflight.requests.Each(func(id inflightID, req *inflightRequest) {
		for i := range req.attempts {
			if attempt := &req.attempts[i]; attempt.inFlight && attempt.deadline > answerBy {
				ref := attemptRef{request: id, index: i}
				p.schedule(answerBy, timerEvent{kind: timerAttemptDeadline, attempt: ref})
			}
		}
	})
}

// mustAnswerWhole reports whether a value must not be streamed, because its request arrived more than drainStreamTime
// after a drain had begun. Once a stream has begun, the request has no deadline any more, and the process manager may
// kill the node in the middle of the value. That is accepted for requests that arrived by then, but not for later ones:
// those get a whole answer by drainAnswerDeadline.
//
// A whole value takes memory until its client has read it. So values above half of MaxUnsentBytes are streamed all the
// same, and so are those that wait behind other answers.
func (p *Proxy) mustAnswerWhole(req *inflightRequest, client *clientConn, valueSize int) bool {
	isLate := p.lifecycle.phase == Draining && req.arrivedAt >= p.lifecycle.drainStartedAt.Add(drainStreamTime)
	isAlone := req.slot == client.firstSlot && client.socket.Unsent() == 0
	return isLate && isAlone && valueSize <= sockets.MaxUnsentBytes/2
}

// drainStep is one idle check of a draining node.
func (p *Proxy) drainStep() {
	now := p.now()
	p.countIdleCheck(now)
	p.updateDelivery(now)
	sinceConnected := now.Since(p.downstream.lastConnectedAt)
	noMoreClients := now.Since(p.lifecycle.drainStartedAt) >= drainAcceptTime && sinceConnected >= drainQuietTime
	if p.takeover.otherProcessAccepts || noMoreClients {
		p.closeIdleClients()
		if p.canStop(now) {
			p.endDrain()
			return
		}
	}
	if now >= p.drainDeadline() && !p.isDelivering(now) { // no request waits, even if connections still arrive
		p.endDrain()
		return
	}
	p.scheduleIdleClientCheck()
}

// endDrain stops the node and logs what that cuts off.
func (p *Proxy) endDrain() {
	left := p.countUndelivered()
	log := p.config.Log.WithFields(logrus.Fields{
		"clients":      p.downstream.conns.Len(),
		"in_hand":      p.inflight.requests.Len(),
		"streams":      left.streams,
		"unsent_bytes": left.unsentBytes,
	})
	if left.any() || p.inflight.pending > 0 {
		log.Warn("drain ended; unfinished answers are cut off")
	} else {
		log.Info("drain ended")
	}
	p.enterPhase(Stopped)
}

// countIdleCheck counts the consecutive checks that were on time and saw no new connection since the one before, nor
// one that an acceptor still holds. Checks are due every drainCheckInterval; one is on time until half of
// drainQuietTime, 75 ms, after the one before. Late checks reset the count, since a process that was stalled accepted
// nothing meanwhile: connections may wait in the kernel's queue although none was seen for drainQuietTime.
func (p *Proxy) countIdleCheck(now policy.Instant) {
	last := p.lifecycle.lastIdleCheckAt
	p.lifecycle.onTimeIdleChecks++
	isLate := now.Since(last) > drainQuietTime/2
	if p.downstream.lastConnectedAt >= last || isLate || p.engine.AcceptPending() {
		p.lifecycle.onTimeIdleChecks = 0
	}
	p.lifecycle.lastIdleCheckAt = now
}

// canStop reports whether a draining node has nothing left to do. It waits at least drainQuietTime after the drain
// began: a connection that the kernel accepted just before the drain may not have reached the event loop, and stopping
// would reset it.
func (p *Proxy) canStop(now policy.Instant) bool {
	quietSince := max(p.lifecycle.drainStartedAt, p.downstream.lastConnectedAt)
	return p.downstream.conns.Len() == 0 && p.inflight.requests.Len() == 0 &&
		now.Since(quietSince) >= drainQuietTime && p.lifecycle.onTimeIdleChecks >= minOnTimeIdleChecks
}
