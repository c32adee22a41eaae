package proxy

import (
	"time"

	"dahliapin/policy"
)

// timerKind is what a timer event is for, and so which fields of it are set.
type timerKind uint8

const (
	timerDispatcher      timerKind = iota // the dispatcher's, with its token
	timerAttemptDeadline                  // an attempt has had no response by its deadline
	timerUpstreamConn                     // a connect or health check has timed out, or an idle connection has
	timerPoll                             // a poll of the endpoint list has timed out, or its backoff is over
	timerStream                           // a streamed response may have stalled
	timerFlush                            // a connection that is closing may have been read out by its client
	timerSweep                            // slow and idle clients are due to be looked for
	timerIdleCheck                        // a node that drains or stands by looks for idle clients
	timerLastKnownList                    // no list has come yet: the last known one is good enough
)

// timerEvent is what happens when a timer fires. It is a small value, so that hanging one in allocates nothing. Timers
// are not cancelled: each handler checks whether what it was set for is still the case.
type timerEvent struct {
	kind       timerKind
	token      string         // timerDispatcher
	attempt    attemptRef     // timerAttemptDeadline
	conn       upstreamConnID // timerUpstreamConn, timerStream
	client     clientConnID   // timerFlush
	pollNumber uint64         // timerPoll
}

func (p *Proxy) schedule(at policy.Instant, event timerEvent) { p.timers.Push(at, event) }

// SetTimer has the dispatcher's OnTimer called with a token after a time. It implements dispatch.Actions.
func (p *Proxy) SetTimer(in time.Duration, token string) {
	p.schedule(p.now().Add(in), timerEvent{kind: timerDispatcher, token: token})
}

// fireTimers handles the timers that are due. One that is set meanwhile waits until further events have been handled,
// however soon it is due: timers that set each other anew can't keep the loop from its sockets.
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
		p.closeOnceFlushed(event.client)
	case timerSweep:
		p.sweepClients()
	case timerLastKnownList:
		p.serveIfReady()
	case timerIdleCheck:
		p.idleClientCheck()
	}
}
