// Package sockets connects the proxy's event loop to its TCP connections.
//
// An Engine listens, dials, reads and writes. Bytes are read on the goroutine of its poller, or, if they arrived while
// reading was paused, on another one (readInBackground). Goroutines of listeners and of dials open connections. All of
// them only update the state of a connection and append bytes and events to a queue. The event loop waits on
// Engine.Wake and takes the whole queue, in order, with Engine.TakeEvents. No event is lost, and the two sides cannot
// deadlock: the loop never waits for the poller, and only reading more bytes waits for the loop.
//
// Locking: the queue is guarded by the engine's mutex. A Conn's read state is guarded by its readMu, which the poller
// holds while it queues bytes, so the loop must only use TryLock on it. Counters of bytes and descriptors are atomic.
// Exported fields of Event and Conn are written by the loop only where their comments say so.
//
// Invariants: the number of descriptors of open connections exceeds the limit, of which a few are reserved for dialing,
// by at most one for each listener: a connection that has been accepted and waits until another one is closed. After
// the limit has been lowered, the number exceeds it until enough connections have been closed. The number of bytes that
// wait for the loop is bounded for each connection and for all connections together.
package sockets
