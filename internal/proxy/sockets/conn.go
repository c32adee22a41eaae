package sockets

import (
	"net"
	"sync"
	"sync/atomic"

	"dahliapin/internal/proxy/sockets/poller"
)

// Conn is one TCP connection. Its exported methods must be called from the event loop only. The states of reading,
// writing and closing are kept in one struct because the loop and the poller share them, and all concern the same
// socket.
type Conn struct {
	Tag      uint64 // id of the connection: the one passed to Dial, or set by the loop if it was accepted
	Listener int    // index of the listener that accepted the connection
	Dialed   bool   // whether it was opened by Dial, and not accepted

	engine *Engine
	socket *poller.Socket

	// Reading.
	readMu      sync.Mutex   // held from reading bytes until they are queued
	queuedBytes int64        // bytes queued for the loop so far; guarded by readMu
	takenBytes  atomic.Int64 // queued bytes that the loop has taken
	readEnded   bool         // nothing more is read; guarded by readMu
	readStalled atomic.Bool  // reading waits for the loop to take the queued bytes
	readPaused  atomic.Bool  // reading is paused; not guarded by readMu, whose holder may wait for the loop
	orderly     atomic.Bool  // the peer has closed the connection, and everything that it sent has been read

	// Writing and closing.
	written         int64        // bytes passed to Write; used by the loop only
	unsent          atomic.Int64 // written bytes that the kernel has not accepted yet
	discardMu       sync.Mutex
	discardedBytes  int64       // bytes that the kernel never accepted; guarded by discardMu
	descriptorFreed atomic.Bool // the descriptor is no longer counted as open
}

// newConn takes over an established connection. On an error the connection stays open and is still the caller's.
func (e *Engine) newConn(plain net.Conn) (*Conn, error) {
	c := &Conn{engine: e}
	socket, err := e.poller.NewSocket(plain, (*connHandler)(c))
	if err != nil {
		return nil, err
	}
	c.socket = socket
	return c, nil
}

// start queues the event Accepted or Connected, and then starts to poll the connection.
func (c *Conn) start() {
	event := Event{Kind: Accepted, Conn: c}
	if c.Dialed {
		event.Kind = Connected
		event.DialID = c.Tag
	}
	c.engine.enqueue(event, nil)
	_ = c.socket.Poll() // on failure the socket is closed, and the event Closed follows
}

// connHandler has the methods of a Conn that its socket calls.
type connHandler Conn

// OnReadable implements poller.Handler.
func (h *connHandler) OnReadable(buffer []byte) { (*Conn)(h).readAvailable(buffer) }

// OnWritten implements poller.Handler.
func (h *connHandler) OnWritten(n int) {
	h.unsent.Add(int64(-n))
	h.engine.unsent.Add(int64(-n))
}

// OnClosed implements poller.Handler. It queues the event Closed.
func (h *connHandler) OnClosed() {
	c := (*Conn)(h)
	c.freeDescriptor()
	c.engine.enqueue(Event{Kind: Closed, Conn: c, UnsentBytes: c.discardUnsent(), Orderly: c.orderly.Load()}, nil)
}

// Write writes b. Bytes that the kernel does not accept immediately are buffered and written later. An error means that
// at least the last byte was not accepted and never will be.
func (c *Conn) Write(b []byte) error {
	c.written += int64(len(b))
	c.unsent.Add(int64(len(b)))
	c.engine.unsent.Add(int64(len(b)))
	err := c.socket.Write(b)
	if err != nil {
		c.discardUnsent()
	}
	return err
}

// Unsent returns the number of written bytes that the kernel has not accepted yet.
func (c *Conn) Unsent() int64 { return c.unsent.Load() }

// Accepted returns the number of written bytes that the kernel has accepted so far. It is valid until the connection is
// closed.
func (c *Conn) Accepted() int64 { return c.written - c.unsent.Load() }

// Close closes the connection; the event Closed follows. It returns the number of written bytes that the kernel never
// accepted and never will.
func (c *Conn) Close() (unsentBytes int64) {
	c.socket.Close()
	c.freeDescriptor()
	return c.discardUnsent()
}

// discardUnsent removes the unsent bytes from the engine's count, once, and returns their number. The loop and the
// goroutine that closed the socket call it in any order, and both must get the same result: otherwise an attempt that
// was never sent could count as one that may have been executed.
func (c *Conn) discardUnsent() int64 {
	c.discardMu.Lock()
	defer c.discardMu.Unlock()
	unsent := c.unsent.Swap(0)
	c.engine.unsent.Add(-unsent)
	c.discardedBytes += unsent
	return c.discardedBytes
}

// freeDescriptor removes the connection's descriptor from the count of open ones, once.
func (c *Conn) freeDescriptor() {
	if c.descriptorFreed.CompareAndSwap(false, true) {
		c.engine.descriptorFreed()
	}
}
