package sockets

import "time"

const (
	// maxQueuedBytes is the size of the bytes queued for the loop from which reading waits. An iteration of the loop
	// receives few more.
	maxQueuedBytes = 1 << 20

	// maxSpareArena is the capacity, in bytes, that an emptied arena may keep for the next iteration: what it grows to
	// by maxQueuedBytes.
	maxSpareArena = 5 << 18
)

// EventKind is what an Event tells.
type EventKind int

// The kinds of events.
const (
	Accepted   EventKind = iota // a client has connected to one of the listeners
	Connected                   // a dialed connection is established
	DialFailed                  // a dialed connection could not be established
	Data                        // bytes were received
	Closed                      // a connection has ended
)

// Event is one thing that happened. Its bytes are valid until the next Take.
type Event struct {
	Kind         EventKind
	Conn         *Conn // nil with Refused
	At           time.Time
	DialID       uint64 // with Connected and Refused, the id that Dial was given
	LocalFailure bool   // with Refused: for want of something on this machine, and not because of the server
	UnsentBytes  int64  // with Closed: bytes that were written and never taken by the kernel
	Orderly      bool   // with Closed: the other side has ended the connection, and all that it sent was read
	Handled      bool   // the loop's to set, where it takes events out of their order
	data         []byte // with Data; set by Take
	dataAt       int    // position of the data in the arena
	dataSize     int
}

// Bytes counts what a Data event brought as taken by the loop, and returns it.
func (e *Event) Bytes() []byte {
	c := e.Conn
	c.takenBytes.Add(int64(len(e.data)))
	if c.stalled.CompareAndSwap(true, false) {
		c.resumeReading()
	}
	return e.data
}

// Wake returns the channel that tells that there may be events to take.
func (e *Engine) Wake() <-chan struct{} { return e.wake }

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// enqueue puts an event into the queue. Only bytes wait for the queue to be taken, and only the poller brings them.
func (e *Engine) enqueue(event Event, data []byte) {
	event.At = time.Now()
	e.mu.Lock()
	for len(data) > 0 && len(e.arena) > 0 && len(e.arena)+len(data) > maxQueuedBytes && !e.stopped {
		e.changed.Wait()
	}
	event.dataAt = len(e.arena)
	event.dataSize = len(data)
	e.arena = append(e.arena, data...)
	e.events = append(e.events, event)
	e.mu.Unlock()
	e.wakeLoop()
}

// TakeEvents returns what has happened since the last call, in order.
func (e *Engine) TakeEvents() []Event {
	e.mu.Lock()
	events, arena := e.events, e.arena
	if cap(e.spareArena) > maxSpareArena {
		e.spareArena = nil
	}
	e.events, e.arena = e.spare[:0], e.spareArena[:0]
	e.spare, e.spareArena = events, arena
	e.changed.Broadcast()
	e.mu.Unlock()
	for i := range events {
		event := &events[i]
		if event.dataSize > 0 {
			event.data = arena[event.dataAt : event.dataAt+event.dataSize]
		}
	}
	return events
}
