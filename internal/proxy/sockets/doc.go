// Package sockets connects the proxy's event loop with its TCP connections, which nbio polls.
//
// An Engine listens, dials, reads and writes. nbio's callbacks, on the goroutine of its poller, only put bytes and
// events into a queue; the event loop waits for Wake and takes all of them with Take, in their order. Nothing is lost,
// and neither side can wait for the other for good: the loop never waits, and only the reading of more bytes waits for
// the loop.
//
// Who owns what: the queue is the engine's, under its mutex. A Conn's read state is under its readMu, which the poller
// holds while it queues bytes, so the loop only ever tries to lock it. Counters of bytes and descriptors are atomic.
// The exported fields of Event and Conn that say so are the loop's to write.
//
// Invariants: the open descriptors never exceed the limit, of which a few are reserved for dialing; the unread bytes
// of one connection, and of all together, that wait for the loop are bounded.
package sockets
