// Package store keeps a control server's part of raft's log on disk, in one bbolt file, and the same in memory for
// raft to read.
//
// # What survives kill -9
//
// Everything that Save and Compact were given survives once they have returned without an error: each is one bbolt
// transaction, which ends with fsync, and of a transaction that was cut short nothing is seen after a restart. Kept
// are
//
//   - the hard state: raft's term and vote. A server that forgot its vote could vote twice in a term, and two leaders
//     could be elected;
//   - raft's entries after the last snapshot. A server that forgot one which it has acknowledged could elect a leader
//     without it;
//   - the last snapshot: the encoded replicatedlog.State, and the members;
//   - the owner: id and label of the server, so that a folder is not used by another one by mistake.
//
// The commit index is written with the others, and not by itself: it is not needed for safety, since the leader says
// it again, and it would cost an fsync for each batch.
//
// # Missing data
//
// An empty folder is refused with ErrEmpty, unless the caller says that it is the first start; so is one with an empty
// file, or with one that was never initialized. A file that has lost its end is an error, see boltfile. A gap between
// the snapshot and the entries, a foreign owner, or a file that cannot be read is an error as well: a server that lost
// part of its disk must not take part.
//
// # Ownership
//
// A Store is its owner's, one goroutine, except for the methods of raft.Storage, which lock. The file is locked
// against other processes.
package store
