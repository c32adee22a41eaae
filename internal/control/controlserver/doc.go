// Package controlserver is a control server: a member of the small group of processes that agree, by raft, on the
// order of the fleet's purges and configurations, and deliver them to the nodes that follow. Open starts one, Close
// ends it, Done and Fault say that it had to end by itself.
//
// # The way of a change
//
// A client publishes proposals at any server (publish.go). They wait in the proposalQueue (queue.go), are put into
// batches and given to raft, which forwards them to its leader. What raft has committed is applied to the sharedLog
// (sharedlog.go), by which each proposal gets its index and the client its answer. Each follower's delivery
// (delivery.go) then reads the entries from the sharedLog.
//
// # Who owns which state
//
//   - raftLoop.run (loop.go) is the only goroutine that touches the raft node, the storage for writing, the
//     proposalQueue and the trimming of the log. Others reach it through its channels: raft messages, calls to
//     publish, functions.
//   - sharedLog is written by the loop and read by deliveries, the purger and the status table, under its lock.
//   - statusTable (status.go) has a lock of its own. All in it are hints, for operators and for trimming, and lost
//     with the process.
//   - Each stream has a goroutine that reads; streams to followers and to peers have one more that writes. lifecycle
//     counts them all, and Close waits for them.
//
// # What survives kill -9 of a control server
//
// An acknowledged proposal does, and the server's vote. Raft's terms, votes, entries and snapshots go to disk, with
// fsync, in Storage.Save (package store), and raftLoop.processReady calls it before it sends any message of the same
// Ready: no other server counts an entry or a vote of this one before it is durable here. A client's answer is sent
// by raftLoop.apply, which only sees entries that a majority has saved. Snapshots of the sharedLog are made durable
// by Storage.Compact, every snapshotEntries, before the entries that they replace are deleted. The purger's cursors
// are saved apart (package purger); they lag, so that a purge may be done twice and is never left out.
//
// Not durable, because each is harmless to lose: proposals that wait (the client gets no answer and publishes again,
// with the same ids), the commit index alone (the leader says it again), the status table, and the times at which
// purges were requested (the time of arrival counts then, which is later).
//
// # Invariants
//
//   - Nothing is answered or sent that depends on a write which has not returned. A failed write ends the server.
//   - A server without a leader says so in each message to its followers, so that they leave it.
//   - A follower gets entries in order and without gaps, or is told to start anew (controlwire.KindStart).
package controlserver
