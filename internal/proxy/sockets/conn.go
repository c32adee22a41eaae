package sockets

import (
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Conn is one connection. Its methods are the event loop's to call. Its fields stand together since the state of
// reading, of writing and of its end is shared between the loop and the poller, and all concern one socket.
type Conn struct {
	Tag      uint64 // of a dialed connection, the id that Dial was given; else the loop's to set
	Listener int    // number of the listener that a client came to
	Dialed   bool   // dialed from here

	engine    *Engine
	conn      *nbio.Conn
	announced sync.Once // the loop is told of it

	// Reading.
	readMu      sync.Mutex   // held from reading bytes until they are queued
	queuedBytes int64        // bytes queued for the loop; under readMu
	takenBytes  atomic.Int64 // of them, those that the loop has taken
	readEnded   bool         // nothing more is read; under readMu
	stalled     atomic.Bool  // nothing more is read until the loop has taken what is queued
	held        atomic.Bool  // nothing is read for now; not under readMu, whose holder may wait for the loop that holds
	orderly     atomic.Bool  // the other side has ended the connection, and all that it sent was read

	// Writing and the end.
	unsent          atomic.Int64 // bytes written that the kernel has not taken yet
	lostMu          sync.Mutex
	lost            int64       // bytes that the kernel never took; under lostMu
	descriptorFreed atomic.Bool // its descriptor is counted as free
}

// announce tells the loop of the connection, once, by Opened or Connected. It is called when nbio has added the
// connection to its poller, or has closed it. Guards against a loop that closes the connection before it is added: nbio
// would then add, under the same descriptor, a connection that has got it since, and read neither of them for good.
func (c *Conn) announce() {
	c.announced.Do(func() {
		if c.Dialed {
			c.engine.enqueue(Event{Kind: Connected, Conn: c, DialID: c.Tag}, nil)
			return
		}
		c.engine.enqueue(Event{Kind: Accepted, Conn: c}, nil)
	})
}

// Write writes bytes; what the kernel does not take at once follows later. An error says that the last byte was not
// taken, and never will be.
func (c *Conn) Write(b []byte) error {
	c.unsent.Add(int64(len(b)))
	c.engine.unsent.Add(int64(len(b)))
	_, err := c.conn.Write(b)
	if err != nil {
		c.forgetUnsent()
	} else if c.unsent.Load() > 0 {
		c.promptFlush()
	}
	return err
}

// promptFlush has the poller write what is left of the last write, if the kernel has room for it now. Guards against a
// write that was interrupted, or cut short though there was room: nbio, polling by edges, leaves the rest until the
// kernel tells of room, which the kernel does only where it had said that there was none. Setting the socket's limit of
// unsent bytes, here to the system's as it is already, makes the kernel tell of the room that there is.
func (c *Conn) promptFlush() {
	raw, err := c.conn.SyscallConn()
	if err != nil || c.descriptorFreed.Load() {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, 0)
	})
}

// Unsent returns the number of written bytes that the kernel has not taken yet.
func (c *Conn) Unsent() int64 { return c.unsent.Load() }

// Close ends the connection; Closed follows. It returns how many written bytes the kernel will surely never take.
func (c *Conn) Close() (lost int64) {
	_ = c.conn.Close()
	c.freeDescriptor()
	return c.forgetUnsent()
}

// forgetUnsent takes what was never sent out of the engine's count, once, and returns how much that was. Both the loop
// and a goroutine of nbio's call it, in either order, and must get the same result: an attempt that was never sent
// would else count as one that may have run.
func (c *Conn) forgetUnsent() int64 {
	c.lostMu.Lock()
	defer c.lostMu.Unlock()
	unsent := c.unsent.Swap(0)
	c.engine.unsent.Add(-unsent)
	c.lost += unsent
	return c.lost
}

// freeDescriptor counts the connection's descriptor as free, once.
func (c *Conn) freeDescriptor() {
	if c.descriptorFreed.CompareAndSwap(false, true) {
		c.engine.descriptorFreed()
	}
}
