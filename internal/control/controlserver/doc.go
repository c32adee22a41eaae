// Package controlserver implements a control server: one of a small group of processes that agree, by raft, on the
// order of the fleet's purges and configurations, and deliver them to the nodes that follow. Open starts a server and
// Close stops it; Done and Err report that it had to stop after a failure.
//
// # Path of a proposal
//
// A client publishes proposals at any server (publish.go). They wait in the proposalQueue (queue.go), are batched and
// passed to raft, which forwards them to its leader. Committed batches are applied to the sharedLog (sharedlog.go),
// which assigns each proposal its index; then the client is answered. Each follower's delivery (delivery.go) reads the
// entries from the sharedLog.
//
// # Ownership of state
//
//   - raftLoop.run (loop.go) is the only goroutine that touches the raft node, writes to the storage, and uses
//     the proposalQueue and the state for trimming. Other goroutines reach it through its channels: raft messages,
//     calls to publish, functions.
//   - sharedLog is written by the loop and read by deliveries, the purger and the status table, under its lock.
//   - statusTable (status.go) has a lock of its own. Its contents are hints for operators and for trimming, and are
//     lost with the process.
//   - Each stream has a reading goroutine; streams to followers and to peers have a writing one as well. lifecycle
//     tracks them all, and Close waits for them.
//
// # What survives kill -9 of a control server
//
// Acknowledged proposals and the server's vote survive. Storage.Save (package store) writes raft's terms, votes,
// entries and snapshots to disk with fsync, and raftLoop.processReady calls it before it sends any message of the same
// Ready: no other server counts an entry or a vote of this server before it is durable here. A client is answered by
// raftLoop.apply, which handles only entries that a majority has saved. Storage.Compact makes snapshots of the
// sharedLog durable, every snapshotEntries or snapshotBytes, before the entries that they replace are deleted. The
// purger's cursors are saved separately (package purger) and may lag, so that a purge may be repeated but is never
// left out.
//
// The following are not durable, because losing them is harmless: waiting proposals (the client gets no answer and
// publishes again with the same ids), a change of the commit index alone (the leader sends it again), the status
// table, and the times at which purges were requested (the later time of arrival is used instead).
//
// # Invariants
//
//   - No answer or message is sent that depends on an unfinished write. A failed write stops the server.
//   - Each message of entries to a follower states whether the server has a leader, so that followers leave a server
//     without one.
//   - A follower gets entries in order and without gaps, or a new starting point (controlwire.KindStart).
package controlserver
