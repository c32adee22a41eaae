package sockets

import (
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Conn is one TCP connection. Its exported methods must be called from the event loop only. The states of reading,
// writing and closing are kept in one struct because the loop and the poller share them, and all concern the same
// socket.
type Conn struct {
	Tag      uint64 // id of the connection: the one passed to Dial, or set by the loop if it was accepted
	Listener int    // index of the listener that accepted the connection
	Dialed   bool   // whether it was opened by Dial, and not accepted

	engine    *Engine
	conn      *nbio.Conn
	announced sync.Once // for the event Accepted or Connected

	// Reading.
	readMu      sync.Mutex   // held from reading bytes until they are queued
	queuedBytes int64        // bytes queued for the loop so far; guarded by readMu
	takenBytes  atomic.Int64 // queued bytes that the loop has taken
	readEnded   bool         // nothing more is read; guarded by readMu
	readStalled atomic.Bool  // reading waits for the loop to take the queued bytes
	readPaused  atomic.Bool  // reading is paused; not guarded by readMu, whose holder may wait for the loop
	orderly     atomic.Bool  // the peer has closed the connection, and everything that it sent has been read

	// Writing and closing.
	unsent          atomic.Int64 // written bytes that the kernel has not accepted yet
	discardMu       sync.Mutex
	discardedBytes  int64       // bytes that the kernel never accepted; guarded by discardMu
	descriptorFreed atomic.Bool // the descriptor is no longer counted as open
}

// announce queues the event Accepted or Connected, once. It is called only after nbio has added the connection to its
// poller, or has closed it. If the loop knew the connection earlier, it could close it before it is added. A new
// connection could then get the same descriptor, nbio would add that one instead, and would never read either of them.
func (c *Conn) announce() {
	c.announced.Do(func() {
		if c.Dialed {
			c.engine.enqueue(Event{Kind: Connected, Conn: c, DialID: c.Tag}, nil)
			return
		}
		c.engine.enqueue(Event{Kind: Accepted, Conn: c}, nil)
	})
}

// Write writes b. Bytes that the kernel does not accept immediately are buffered and written later. An error means that
// at least the last byte was not accepted and never will be.
func (c *Conn) Write(b []byte) error {
	c.unsent.Add(int64(len(b)))
	c.engine.unsent.Add(int64(len(b)))
	_, err := c.conn.Write(b)
	if err != nil {
		c.discardUnsent()
	} else if c.unsent.Load() > 0 {
		c.promptFlush()
	}
	return err
}

// promptFlush has the poller write the rest of the last write if the kernel has space for it now. A write may have been
// interrupted, or cut short although there was space. nbio writes the rest only on an event for free space. Polling is
// edge-triggered: the kernel sends that event only after a write has failed for lack of space, and a write that was
// interrupted or cut short did not fail that way. Setting the socket's limit of unsent bytes makes the kernel report
// the space; the value, the system's default, stays the same.
func (c *Conn) promptFlush() {
	raw, err := c.conn.SyscallConn()
	if err != nil || c.descriptorFreed.Load() {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, 0)
	})
}

// Unsent returns the number of written bytes that the kernel has not accepted yet.
func (c *Conn) Unsent() int64 { return c.unsent.Load() }

// Close closes the connection; the event Closed follows. It returns the number of written bytes that the kernel never
// accepted and never will.
func (c *Conn) Close() (unsentBytes int64) {
	_ = c.conn.Close()
	c.freeDescriptor()
	return c.discardUnsent()
}

// discardUnsent removes the unsent bytes from the engine's count, once, and returns their number. The loop and a
// goroutine of nbio call it in any order, and both must get the same result: otherwise an attempt that was never sent
// could count as one that may have been executed.
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
