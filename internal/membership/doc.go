// Package membership decides which processes of a fleet are members. Each process states what it knows of itself and
// which of its neighbours it hears; from these statements every process derives its own view, and processes that have
// the same statements derive the same view. The package does no I/O and takes the time as an argument; package gossip
// carries its messages.
//
// # Use
//
// A process has one [Detector], made by [New], and calls its methods from one goroutine or under one lock:
//
//   - incoming statements go to [Detector.Merge], heartbeats to [Detector.OnHeartbeat]; [Detector.SyncCompleted]
//     reports that the full state of another process was merged;
//   - [Detector.LoopAdvanced] reports progress of the event loop that serves clients;
//   - several times in each heartbeat interval [Detector.Tick] is called, and what the returned [Actions] list is
//     sent;
//   - [Detector.OwnStatement] is gossiped whenever it is new;
//   - [Detector.View] is the result, and [Detector.NameConflict] says whether the process has to exit.
//
// # Messages
//
// A [Statement] holds all that a process says: its name, address and incarnation, whether it is leaving, and which of
// its neighbours it hears and misses. Only the process itself makes it and raises its [Revision]. The highest revision
// wins, so statements may be lost, duplicated and reordered. A [Heartbeat] goes to neighbours only, once in each
// [Config].HeartbeatInterval, and carries a digest of the statements of all members. Two processes whose digests stay
// different exchange their full state (antientropy.go).
//
// # Failure detection, and where a removal is decided
//
// In a fleet of up to 13 processes all are neighbours of one another. In a larger fleet a process has two neighbours,
// the one before and the one after it, in each of six rings (neighbours.go). A neighbour is missed if no heartbeat of
// it arrived for HeartbeatTimeout, or if it has doubted itself for SelfDoubtTimeout (observation.go). A missed
// heartbeat alone removes nobody: the observer puts it into its statement, and every process counts the statements
// that it believes (evidence.go).
//
// That a member becomes [Removed] is decided in Detector.evaluateMember (evaluation.go) and nowhere else: at least two
// believed members miss it, more miss it than hear it or are its neighbours in self-doubt, this has held for
// RemovalDelay without a break, and the evaluating process isn't frozen. The counts are part of the view
// ([Member].Hears and Misses) and of the answer to GET /fleet/members, which tells them as they are at that moment
// only. The log line "members" and the trace tell who is a member after a change, but not how many hear or miss it.
//
// There are two other ways to stop being a member: a process states that it leaves ([Left]), or another process takes
// its name (names.go).
//
// # Invariants
//
// In order of precedence:
//
//  1. No process is removed because of one observer, or of observers that doubt themselves, or while more than half
//     of all members are missing (two fifths where rings are used).
//  2. Views depend on statements alone, however these arrived. Heartbeats that this process receives only decide
//     whose statements may be outdated.
//  3. A removed process is a member again once as many of its neighbours hear it as miss it, for RejoinDelay.
//  4. Of two processes with the same name at most one is a member, and it is the same one in all views.
//
// # State
//
// A [Detector] owns all its state. Only the [View] is shared, and it is immutable. Spans are measured in time that the
// process has run rather than by the clock: a process that was stopped has received nothing meanwhile, and that is no
// evidence against the others.
package membership
