package node

import (
	"time"

	"dahliapin/internal/proxy/eventlog"
)

// eventQueueSize is how many events may wait for Config.OnEvent. More are dropped and counted, as no request is to
// wait for it.
const eventQueueSize = 4096

// Event is what a node did to an endpoint.
type Event = eventlog.Event

// timedEvent is an event that waits for Config.OnEvent.
type timedEvent struct {
	event Event
	at    time.Time
}

// eventQueue passes events from the event loop to a goroutine of its own.
type eventQueue struct {
	events  chan timedEvent
	done    chan struct{} // closed once all have been passed on
	dropped uint64        // the event loop's until it has ended
}

func newEventQueue() *eventQueue {
	return &eventQueue{events: make(chan timedEvent, eventQueueSize), done: make(chan struct{})}
}

// add passes an event on, or drops it where the receiver is slow. It is the event loop's to call.
func (q *eventQueue) add(event Event, at time.Time) {
	select {
	case q.events <- timedEvent{event, at}:
	default:
		q.dropped++
	}
}

// start calls receive for each event, on a goroutine that ends with close.
func (q *eventQueue) start(receive func(Event, time.Time)) {
	go func() {
		defer close(q.done)
		for e := range q.events {
			receive(e.event, e.at)
		}
	}()
}

// close returns once all events have been received, with the number of those that were dropped.
func (q *eventQueue) close() (dropped uint64) {
	close(q.events)
	<-q.done
	return q.dropped
}
