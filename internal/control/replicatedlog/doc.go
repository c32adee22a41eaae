// Package replicatedlog is the state machine of the fleet's replicated log, which puts the purges and configurations
// that every node needs into one order. It does no I/O. Raft delivers the same batches in the same order to the State
// of each control server, and the entries and indexes are a deterministic function of them: a State uses no clock and
// no random numbers. Its only settings are the Bounds, which decide how many entries the server retains. They should be
// the same at all servers: one that retains less has a higher floor, and gives a node that changes to it a new starting
// point where the others would send entries. An Applier applies the log at a node.
//
// # Proposals and entries
//
// A client creates a Proposal from a purged key or a configuration and gives it a random id. Proposals are sent in a
// Batch, which is one entry of Raft's log. State.Apply assigns an Index to each proposal. Indexes are dense from 1,
// unlike Raft's indexes, which also count Raft's internal entries. A node can therefore detect a gap by itself, and a
// node that has applied entry n has applied all entries before it.
//
// # Deduplication
//
// A client that gets no answer retries the proposal at another server, and Raft may commit both. The ids of the last
// DedupWindow entries are retained, also in snapshots, and a proposal with one of these ids keeps its existing index.
// Without deduplication a purge would be carried out twice, which is harmless, but an old configuration could come into
// force again after a newer one, which is not.
//
// # Retention
//
// Entries up to the floor are no longer retained. The floor rises with a batch's Trim, up to the index that all nodes
// have applied, and when the log exceeds its Bounds. The latest configuration up to the floor is retained as the base.
// A node that asks for entries below the floor gets a StartingPoint with the floor and the base, and must presume that
// any key may have been purged up to there (Handler.PresumePurged). A node that has applied nothing starts at the
// newest entry: it stores no values itself, and the control servers carry out the purges at the caches. It gets the
// configuration in force with the starting point.
//
// # Snapshots and restarts
//
// State.Snapshot encodes the whole state and Restore decodes it. A control server that was killed restores the last
// snapshot on its disk, and Raft applies the later entries again. Package store describes what is on disk and when.
//
// # Invariants
//
//   - Indexes are dense from 1, and an index never changes its proposal.
//   - A proposal id among those of the last DedupWindow entries never gets a second index.
//   - The floor never falls. Entries above it are retained, and of the others only the latest configuration.
//   - An Applier applies each entry once and in order, or stops with ErrGap.
//
// A State has no lock; its owner must serialize access to it. An Applier must be used by a single goroutine.
package replicatedlog
