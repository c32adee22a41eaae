// Package membership decides which processes of a fleet are members: from what each process states about itself and
// about the neighbours that it hears, each process derives a view, and all that have the same statements derive the
// same view. The package does no I/O and takes the time as an argument; package gossip carries its messages.
//
// # Use
//
// A process has one [Detector], made by [New], and calls all its methods from one goroutine or under one lock. It
// hands in what arrives with [Detector.Merge] (statements, from gossip or from an exchange of all that is known),
// [Detector.OnHeartbeat] and [Detector.SyncCompleted], and reports progress of the loop that serves clients with
// [Detector.LoopAdvanced]. Several times in each heartbeat interval it calls [Detector.Tick] and sends what the
// returned [Actions] list, gossips [Detector.OwnStatement] where that is new, and reads [Detector.View] and
// [Detector.NameConflict].
//
// # Messages
//
// A [Statement] is all that a process says: its name, address and incarnation, whether it leaves, and which of its
// neighbours it hears and misses. Only the process itself makes it and raises its [Revision], so that the highest
// revision holds, however often and in whatever order statements arrive. A [Heartbeat] goes to neighbours only, at
// [Config].HeartbeatInterval, and carries a digest of all statements of members: two processes whose digests stay
// different exchange all that they know.
//
// # Evidence, and who takes whom out
//
// Where the fleet has up to 13 processes all are neighbours of one another; in a larger fleet each has the two beside
// it in each of six rings (neighbours.go). A neighbour without a heartbeat for HeartbeatTimeout is missed; so is one
// that has declared for SelfDoubtTimeout that it doubts itself (observation.go). Nobody is taken out by such an
// observation itself: the observer puts it in its statement, and every process counts the statements that it believes
// (evidence.go).
//
// A member becomes [Removed] in evaluation.go, in Detector.evaluateMember, and only there: at least two believed
// members miss it, and more miss it than hear it or are its neighbours and doubt themselves, for RemovalDelay without
// a break, while this process is not frozen. The counts at that moment are in the view ([Member].Hears and Misses),
// in the answer to GET /fleet/members and, as a change of the view, in the log line "members" and in the trace. A
// process also ceases to be a member where it states that it leaves ([Left]), and where another process takes its
// name (names.go).
//
// # Invariants
//
// In order of precedence:
//
//  1. Nobody is taken out on the word of one observer, nor of a process that doubts itself, nor while more than half
//     of all are missing (two fifths where rings are used).
//  2. Views depend on statements, however these arrived. What is heard first-hand tells only whose statements may be
//     old.
//  3. Whoever is taken out is a member again once as many of its neighbours hear it as miss it, for RejoinDelay.
//  4. Of two processes with one name at most one is a member, the same one in all views.
//
// # State
//
// A [Detector] owns all its state; nothing is shared with others but the [View], which nobody changes once it is
// made. Spans are measured in time that the process has run, not by the clock: a process that was stopped has heard
// nothing meanwhile, and that is no evidence against the others.
package membership
