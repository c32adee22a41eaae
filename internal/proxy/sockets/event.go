package sockets

import "time"

const (
	// maxQueuedBytes is the number of bytes queued for the loop above which reading waits. An iteration of the loop
	// receives few more.
	maxQueuedBytes = 1 << 20

	// maxSpareArena is the capacity, in bytes, that an arena may keep for reuse. It is the capacity to which an arena
	// grows for maxQueuedBytes.
	maxSpareArena = 5 << 18
)

// EventKind is the kind of an Event.
type EventKind int

// The event kinds.
const (
	Accepted   EventKind = iota // a listener has accepted a client's connection
	Connected                   // a dialed connection is established
	DialFailed                  // a dialed connection could not be established
	Data                        // bytes were received
	Closed                      // a connection has ended
)

// Event is one event of a connection or a dial. Its bytes are valid until the next call of Engine.TakeEvents.
type Event struct {
	Kind         EventKind
	Conn         *Conn // nil for DialFailed
	At           time.Time
	DialID       uint64 // Connected and DialFailed only: the id that was passed to Dial
	LocalFailure bool   // DialFailed only: the cause is a lack of resources on this machine, and not the server
	UnsentBytes  int64  // Closed only: written bytes that the kernel never accepted
	Orderly      bool   // Closed only: the peer has closed the connection, and everything that it sent has been read
	Handled      bool   // set by the loop for an event that it has handled before its turn
	data         []byte // Data only; set by TakeEvents
	dataAt       int    // position of the data in the arena
	dataSize     int
}

// Bytes returns the received bytes of a Data event, and counts them as taken by the loop.
func (e *Event) Bytes() []byte {
	c := e.Conn
	c.takenBytes.Add(int64(len(e.data)))
	if c.readStalled.CompareAndSwap(true, false) {
		c.readInBackground()
	}
	return e.data
}

// Wake returns a channel that receives a signal when there may be events to take.
func (e *Engine) Wake() <-chan struct{} { return e.wake }

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// enqueue appends an event to the queue and wakes the loop. An event with data waits while the queue holds too many
// bytes; other events never wait.
func (e *Engine) enqueue(event Event, data []byte) {
	event.At = time.Now()
	e.mu.Lock()
	for len(data) > 0 && len(e.arena) > 0 && len(e.arena)+len(data) > maxQueuedBytes && !e.stopped {
		e.stateChanged.Wait()
	}
	event.dataAt = len(e.arena)
	event.dataSize = len(data)
	e.arena = append(e.arena, data...)
	e.events = append(e.events, event)
	e.mu.Unlock()
	e.wakeLoop()
}

// TakeEvents returns the events since the last call, in order.
func (e *Engine) TakeEvents() []Event {
	e.mu.Lock()
	events, arena := e.events, e.arena
	if cap(e.spareArena) > maxSpareArena {
		e.spareArena = nil
	}
	e.events, e.arena = e.spareEvents[:0], e.spareArena[:0]
	e.spareEvents, e.spareArena = events, arena
	e.stateChanged.Broadcast()
	e.mu.Unlock()
	for i := range events {
		event := &events[i]
		if event.dataSize > 0 {
			event.data = arena[event.dataAt : event.dataAt+event.dataSize]
		}
	}
	return events
}
