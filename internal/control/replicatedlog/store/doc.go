// Package store keeps a control server's Raft log on disk, in one bbolt file, with a copy in memory for Raft to read.
//
// # What survives kill -9
//
// Everything passed to Save and Compact survives once they have returned without an error, except a change of the
// commit index alone (see below). Each write is one bbolt transaction, which ends with fsync; a transaction that was
// cut short leaves no trace after a restart. The file holds
//
//   - the hard state: Raft's term and vote. A server that lost its vote could vote twice in a term, and two leaders
//     could be elected;
//   - Raft's entries after the last snapshot. A server that lost an acknowledged entry could elect a leader without
//     it;
//   - the last snapshot: the encoded replicatedlog.State, and the members;
//   - the owner: the id of the server and the label of the fleet, so that another server does not use the directory by
//     mistake.
//
// The commit index is written together with other changes, but never alone: safety does not need it, since the leader
// sends it again, and it would cost an fsync for each batch.
//
// # Missing data
//
// An empty directory, or one whose file is empty or was never initialized, is rejected with ErrEmpty unless the caller
// states that this is the first start. A truncated file is an error, see package boltfile. A gap between the snapshot
// and the entries, another owner, or an unreadable file is an error as well: a server that lost part of its disk must
// not take part in Raft.
//
// # Ownership
//
// A Store must be used by a single goroutine, except for the methods of raft.Storage, which are safe for concurrent
// use. The file is locked against other processes.
package store
