// Package membership decides which processes of a fleet are members. Each process states facts about itself and which
// of its neighbours it hears. From these statements every process derives its own view, and processes that have the
// same statements derive the same view. The package does no I/O and takes the time as an argument; package gossip
// transports its messages.
//
// # Use
//
// A process creates one [Detector] with [New], and calls its methods from one goroutine or under one lock:
//
//   - Incoming statements go to [Detector.Merge] and heartbeats to [Detector.OnHeartbeat]. [Detector.SyncCompleted]
//     reports that the full state of another process was merged.
//   - [Detector.LoopAdvanced] reports progress of the event loop that serves clients.
//   - [Detector.Tick] is called several times in each heartbeat interval, and the messages listed in the returned
//     [Actions] are sent.
//   - [Detector.OwnStatement] is gossiped whenever it has changed.
//   - [Detector.View] is the result, and [Detector.NameConflict] reports whether the process has to exit.
//
// # Messages
//
// A [Statement] contains all that a process states: its name, address and incarnation, whether it is leaving, and
// which of its neighbours it hears and misses. Only the process itself makes it and increments its [Revision]. The
// highest revision wins, so statements may be lost, duplicated and reordered. A [Heartbeat] is sent to neighbours
// only, once in each [Config].HeartbeatInterval, and contains a digest of the statements of all members. Two processes
// whose digests remain different exchange their full state (antientropy.go).
//
// # Failure detection and removal
//
// In a fleet of up to 13 processes all are neighbours of one another. In a larger fleet a process has two neighbours,
// its predecessor and its successor, in each of six rings (neighbours.go). A neighbour is missed if no heartbeat of it
// arrived for HeartbeatTimeout, or if it has reported itself as isolated for IsolationTimeout (observation.go). A
// missed heartbeat alone removes no process: the observer reports it in its statement, and every process counts the
// statements that it trusts (evidence.go).
//
// Only Detector.evaluateMember (evaluation.go) makes a member [Removed]. Four conditions must hold: at least two
// trusted members miss it; they are more than the trusted processes that hear it and its isolated neighbours together;
// this has been so for RemovalDelay without interruption; and the evaluating process has not frozen removals. The
// counts are part of the view ([Member].HeardBy and MissedBy) and of the answer to GET /fleet/members, which shows
// their current values only. The log line "fleet membership changed" and the trace show the members after a change, but
// not how many processes hear or miss them.
//
// There are two other ways to stop being a member: a process states that it leaves ([Left]), or another process takes
// its name (names.go).
//
// # Invariants
//
// In order of precedence:
//
//  1. No process is removed because of a single observer or of isolated observers, or while more than half of all
//     members are missing (two fifths if rings are used).
//  2. Views depend on statements alone, however these arrived. Heartbeats that this process receives only determine
//     whose statements may be outdated.
//  3. A removed process is a member again once at least as many of its neighbours hear it as miss it, for RejoinDelay.
//  4. Of two processes with the same name at most one is a member, and it is the same one in all views.
//
// # State
//
// A [Detector] owns all its state. Only the [View] is shared, and it is immutable. Times are measured in the time that
// the process has run instead of clock time: a process that was stopped has received nothing meanwhile, which is no
// evidence against the others.
package membership
