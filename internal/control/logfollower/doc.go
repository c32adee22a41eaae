// Package logfollower is the node's side of the replicated log: it keeps one stream to a control server, passes the
// entries that arrive to an Applier, and reports the node's progress. Start starts a Follower, Close stops it, and
// Status may be called from any goroutine.
//
// # Choice of a control server
//
// Each node tries the servers in an order of its own, by a hash of address and seed, so that the nodes of a failed
// server spread over all others. A node moves on to the next server when the stream breaks, when nothing arrives for
// serverTimeout, or when the server has reported for some time that it has no leader: a server that is partitioned
// from the others does not send another entry.
//
// # Staleness
//
// A server without a leader still sends heartbeats, so a live stream does not mean that the entries are current.
// Staleness is measured from the last message of a server that has a leader. Once that is longer ago than
// Config.StaleAfter, the status is stale: the last configuration stays in force, and purges may be missing.
//
// # Concurrency
//
// One goroutine (run) dials, reads and calls the Applier; a second one writes reports while a stream is open. They
// share the progress through atomics. Close stops both and waits for them.
package logfollower
