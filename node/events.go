package node

import (
	"time"

	"dahliapin/internal/proxy/eventlog"
)

// eventQueueSize is the number of events that may wait for Config.OnEvent. Further events are dropped and counted, so
// that no request waits for it.
const eventQueueSize = 4096

// Event records what a node did with an endpoint.
type Event = eventlog.Event

// timedEvent is an event that waits for Config.OnEvent.
type timedEvent struct {
	event Event
	at    time.Time
}

// eventQueue passes events from the event loop to a separate goroutine.
type eventQueue struct {
	events  chan timedEvent
	done    chan struct{} // closed once all events have been passed on
	dropped uint64        // owned by the event loop until that has ended
}

func newEventQueue() *eventQueue {
	return &eventQueue{events: make(chan timedEvent, eventQueueSize), done: make(chan struct{})}
}

// add queues an event, or drops it if the queue is full. It is called by the event loop only.
func (q *eventQueue) add(event Event, at time.Time) {
	select {
	case q.events <- timedEvent{event, at}:
	default:
		q.dropped++
	}
}

// start calls receive for each event on a new goroutine, which ends with close.
func (q *eventQueue) start(receive func(Event, time.Time)) {
	go func() {
		defer close(q.done)
		for e := range q.events {
			receive(e.event, e.at)
		}
	}()
}

// close waits until all queued events have been received, and returns the number of dropped events.
func (q *eventQueue) close() (dropped uint64) {
	close(q.events)
	<-q.done
	return q.dropped
}
