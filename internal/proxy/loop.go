package proxy

import (
	"time"

	"dahliapin/internal/proxy/sockets"
)

// eventsPerTimerCheck is how many socket events are handled between two checks of the timers, so that a burst of events
// does not delay attempt deadlines.
const eventsPerTimerCheck = 256

// taskQueue holds the work of the event loop other than socket events and timers.
type taskQueue struct {
	commands chan func()   // from other goroutines; see Proxy.runInLoop
	done     chan struct{} // closed once the loop has ended
	// deferred are calls that must not happen within a call into the dispatcher, which is not reentrant. They run in
	// order as soon as the current event, timer or command has been handled.
	deferred []func()
}

// runInLoop makes the event loop call f. It returns false if the loop has ended. True does not guarantee that f is
// called: the loop may end first.
func (p *Proxy) runInLoop(f func()) bool {
	select {
	case p.tasks.commands <- f:
		return true
	case <-p.tasks.done:
		return false
	}
}

// deferCall makes the event loop call f once the dispatcher has returned.
func (p *Proxy) deferCall(f func()) { p.tasks.deferred = append(p.tasks.deferred, f) }

// runDeferred runs the deferred calls, and those that they defer in turn.
func (p *Proxy) runDeferred() {
	for len(p.tasks.deferred) > 0 {
		batch := p.tasks.deferred
		p.tasks.deferred = nil
		for _, f := range batch {
			f()
		}
	}
}

// Run is the event loop. It returns once the node has stopped.
func (p *Proxy) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for p.lifecycle.phase != Stopped {
		p.runIteration(timer)
		if p.lifecycle.phase == Stopped {
			break
		}
		select {
		case <-p.engine.Wake():
		case <-timer.C:
		case command := <-p.tasks.commands:
			command()
			p.runDeferred()
		}
	}
	if p.takeover.offer != nil {
		p.takeover.offer.Close()
	}
	p.engine.Stop()
	p.endExchange()
	close(p.tasks.done)
}

// runIteration handles all pending events and due timers, and sets the timer to the next one.
func (p *Proxy) runIteration(timer *time.Timer) {
	if p.config.OnLoopIteration != nil {
		p.config.OnLoopIteration()
	}
	if p.wasStalled() {
		p.awaitEndpointList()
	}
	events := p.engine.TakeEvents()
	p.beginIteration(len(events))
	p.handleEvents(events)
	p.fireTimers()
	for p.engine.ClientWaiting() && p.freeDescriptor() {
		p.runDeferred()
	}
	now := p.now()
	p.endIteration(now)
	if at, ok := p.timers.Next(); ok {
		timer.Reset(at.Since(now))
	}
}

// handleEvents handles a batch of socket events, those of the endpoint list's connection first, so that no request of
// the same batch is routed by an older list.
func (p *Proxy) handleEvents(events []sockets.Event) {
	for i := range events {
		ev := &events[i]
		if ev.Conn != nil && ev.Conn.Dialed && upstreamConnID(ev.Conn.Tag) == p.endpoints.watch.conn {
			p.handleEvent(ev)
			ev.Handled = true
		}
	}
	for i := range events {
		if !events[i].Handled {
			p.handleEvent(&events[i])
		}
		if i%eventsPerTimerCheck == eventsPerTimerCheck-1 {
			p.fireTimers()
		}
	}
}

func (p *Proxy) handleEvent(ev *sockets.Event) {
	switch ev.Kind {
	case sockets.Accepted:
		p.onClientConnected(ev)
	case sockets.Connected, sockets.DialFailed:
		p.onDialResult(ev)
	case sockets.Data:
		if ev.Conn.Dialed {
			p.onUpstreamData(upstreamConnID(ev.Conn.Tag), ev.Bytes())
		} else {
			p.onClientData(clientConnID(ev.Conn.Tag), ev.Bytes(), p.clock.instantOf(ev.At))
		}
	case sockets.Closed:
		if ev.Conn.Dialed {
			p.onUpstreamClosed(upstreamConnID(ev.Conn.Tag), ev.UnsentBytes > 0, ev.Orderly)
		} else {
			p.onClientClosed(clientConnID(ev.Conn.Tag))
		}
	}
	p.runDeferred()
}

// freeDescriptor closes the least useful connection: an idle one to an endpoint, or else an idle client's. It reports
// whether there was one.
func (p *Proxy) freeDescriptor() bool { return p.closeLongestIdleConn() || p.closeLongestIdleClient() }
