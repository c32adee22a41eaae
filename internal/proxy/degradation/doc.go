// Package degradation sheds load by service class while a node sees faults.
//
// The operator's file states degradation levels (listeners.Level), from the mildest to the hardest, each with the
// shares of late, lost and rejected work at which it is entered and left, and the service classes that it sheds. A
// Controller counts the attempts and requests of an interval, evaluates their shares, and moves between the levels.
// A Filter stands before the policy: it rejects new requests by the level, and passes on all others. Once a request
// is admitted, only the policy decides on it.
//
// Invariants: a level is entered only after enterAfter evaluations in a row that reach its bounds; it is left only
// after its least stay; what it sheds is readmitted in steps, so that shed load does not come back as one wave.
//
// Neither does any I/O or reads a clock, and both belong to the goroutine of the node's event loop.
package degradation
