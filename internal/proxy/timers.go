package proxy

import (
	"time"

	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

// timerKind is the purpose of a timer event, which determines the fields that are set.
type timerKind uint8

const (
	timerDispatcher      timerKind = iota // the dispatcher's timer, with its token
	timerAttemptDeadline                  // an attempt has had no response by its deadline
	timerUpstreamConn                     // a connect, a health check or an idle connection may have timed out
	timerPoll                             // a poll of the endpoint list has timed out, or its backoff has ended
	timerStream                           // a streamed response may have stalled
	timerFlush                            // a client may have read what is unsent
	timerSweep                            // sweep is due
	timerIdleCheck                        // the idle check of a draining node or one in standby is due
	timerLastKnownList                    // no list has arrived yet: the last known one is used
	timerInheritedState                   // the predecessor has not sent its list in time
)

// minTimersToDrop is the number of timers up to which none is dropped, although its reason may not apply any more.
const minTimersToDrop = 1024

// timerTable holds the timers that have been set.
type timerTable struct {
	timerqueue.Queue[timerEvent]
	dropAt int // number of timers at which the obsolete ones are dropped
}

// timerEvent is what happens when a timer fires. It is a small value, so that scheduling one allocates nothing. Timers
// are not cancelled: each handler checks whether its reason still applies.
type timerEvent struct {
	kind       timerKind
	token      string         // timerDispatcher
	attempt    attemptRef     // timerAttemptDeadline
	conn       upstreamConnID // timerUpstreamConn, timerStream
	client     clientConnID   // timerFlush
	pollNumber uint64         // timerPoll
}

// schedule sets a timer. Most timers outlive their reason, those of requests by as much as clients may wait, so the
// obsolete ones are dropped when the number of timers has doubled.
func (p *Proxy) schedule(at policy.Instant, event timerEvent) {
	if p.timers.Len() >= max(minTimersToDrop, p.timers.dropAt) {
		p.timers.DeleteFunc(func(at policy.Instant, event timerEvent) bool { return !p.isTimerNeeded(at, &event) })
		p.timers.dropAt = 2 * p.timers.Len()
	}
	p.timers.Push(at, event)
}

// isTimerNeeded reports whether the handler of a timer may still have to do something. A request, connection or stream
// whose timer was set anew needs only the later one, or only the earlier one if that was moved forward.
func (p *Proxy) isTimerNeeded(at policy.Instant, event *timerEvent) bool {
	switch event.kind {
	case timerDispatcher:
		return p.dispatcher.NeedsTimer(at, event.token)
	case timerAttemptDeadline:
		req := p.inflight.requests.Get(event.attempt.request)
		return req != nil && req.attempts[event.attempt.index].inFlight
	case timerUpstreamConn:
		conn := p.upstream.conns.Get(event.conn)
		return conn != nil && (conn.deadline.hasPassed(at) || conn.idleCheckAt != 0 && at >= conn.idleCheckAt)
	case timerStream:
		conn := p.upstream.conns.Get(event.conn)
		return conn != nil && conn.stream != nil && at == conn.stream.checkAt
	case timerFlush:
		client := p.downstream.conns.Get(event.client)
		return client != nil && at == client.reading.checkAt
	case timerPoll:
		return event.pollNumber == p.endpoints.watch.pollNumber
	}
	return true
}

// SetTimer makes the event loop call the dispatcher's OnTimer with a token after a delay. It implements
// dispatch.Actions.
func (p *Proxy) SetTimer(in time.Duration, token string) {
	p.schedule(p.now().Add(in), timerEvent{kind: timerDispatcher, token: token})
}

// fireTimers handles the timers that are due. A timer that is set meanwhile waits until further events have been
// handled, however soon it is due: otherwise timers whose handlers set further timers could starve the sockets. This
// does not hold for one that is set for a time no later than the start of the call; see onConnTimer.
func (p *Proxy) fireTimers() {
	now := p.now()
	for {
		event, ok := p.timers.PopDue(now)
		if !ok {
			return
		}
		p.fireTimer(&event)
		p.runDeferred()
	}
}

func (p *Proxy) fireTimer(event *timerEvent) {
	switch event.kind {
	case timerDispatcher:
		p.dispatcher.OnTimer(p.now(), event.token)
	case timerAttemptDeadline:
		p.onAttemptDeadline(event.attempt)
	case timerUpstreamConn:
		p.onConnTimer(event.conn)
	case timerPoll:
		p.onPollTimer(event.pollNumber)
	case timerStream:
		p.onStreamTimer(event.conn)
	case timerFlush:
		p.onFlushTimer(event.client)
	case timerSweep:
		p.sweep()
	case timerLastKnownList:
		p.serveAfterDelay()
	case timerInheritedState:
		p.stopAwaitingEndpoints()
	case timerIdleCheck:
		p.idleClientCheck()
	}
}
