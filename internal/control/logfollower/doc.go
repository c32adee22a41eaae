// Package logfollower is a node's side of the replicated log: it keeps one stream to some control server, applies the
// entries that arrive through a replicatedlog.Applier, and reports how far it has come. Start begins, Close ends,
// Status may be called from anywhere.
//
// # Choice of a control server
//
// Each node tries the servers in an order of its own, a hash of address and seed, so that the nodes of a server that
// goes away spread over all others. A node leaves its server for the next one when the stream breaks, when nothing
// arrives for serverTimeout, or when the server says for some time that it has no leader: such a server is cut off
// from the others and would never send another entry.
//
// # Staleness
//
// A server without a leader still sends heartbeats, so a stream that is alive says nothing about how new its entries
// are. What counts is the last message of a server that has a leader. When that is longer ago than
// Config.StaleAfter the status is stale: the last configuration stays in force, and purges may be missing.
//
// # Ownership
//
// One goroutine (run) dials, reads and calls the Applier; a second one writes reports while a stream is open. They
// share the progress through atomics. Both end with Close, which waits for them.
package logfollower
