// Package replicatedlog is the state machine of the fleet's replicated log: the purges and configurations that every
// node needs, in one order. It does no I/O. Raft feeds each control server's State the same batches in the same
// order, and what a State makes of them depends on nothing else: no clock, no random numbers, no settings that differ
// between servers. An Applier is the node's side of it.
//
// # What is ordered
//
// A client makes a Proposal of a purged key or of a configuration and gives it a random id. Proposals travel in a
// Batch, which is one entry of raft's log. State.Apply gives each proposal an Index. Indexes are dense from 1, unlike
// raft's own, which also count raft's internal entries: so a node can see a gap by itself, and a node that has
// applied n entries has all up to n.
//
// # Deduplication
//
// A client that gets no answer proposes again, at another server, and raft may commit both. The ids of the last
// DedupWindow entries are kept, also in snapshots, and a proposal whose id is among them gets the index that it has.
// Without it a purge would be done twice, which is harmless, and an old configuration could come into force again
// after a newer one, which is not.
//
// # What is kept
//
// Entries up to the floor are no longer kept. The floor rises with a batch's Trim, up to where all nodes have
// applied, and when the log exceeds its Bounds. The latest configuration up to the floor is kept as the base. A node
// that asks for entries below the floor gets a StartingPoint: the floor, the base, and by that the rule that
// everything up to there may have been purged (Handler.PresumePurged). A node that has nothing starts at the newest
// entry, since its caches can hold nothing that was purged before.
//
// # Snapshots and restarts
//
// State.Snapshot is the whole state in bytes, Restore reads it. A control server that was killed restores the last
// snapshot on its disk, and raft applies the entries after it once more: package store says what is on disk when.
//
// # Invariants
//
//   - Indexes are dense from 1, and an index never changes its proposal.
//   - An id among those of the last DedupWindow entries gets no second index.
//   - Floor never falls; entries above it are kept, and of those below it the latest configuration.
//   - An Applier applies each entry once and in order, or stops with ErrGap.
//
// A State has no lock: its owner has one. An Applier belongs to one goroutine.
package replicatedlog
