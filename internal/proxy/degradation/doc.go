// Package degradation sheds load by service class while a node observes faults.
//
// The operator's file defines degradation levels (listeners.Level) from the mildest to the most severe. Each has the
// shares of late, lost and rejected work at which it is entered and left, and the service classes that it sheds. A
// Controller counts attempts and requests, evaluates their shares once per interval, and moves between the levels. A
// Filter wraps the policy: it rejects new requests according to the level and passes on all others. Once a request is
// admitted, the policy alone decides about it.
//
// Invariants: a level is entered from normal operation or a milder level only after evaluationsToEnter consecutive
// evaluations that reach its bounds, and then at once. It is left for the next milder level, or for normal operation,
// only after its minimum stay. Shed requests are readmitted in steps, so that the load does not return all at once.
//
// Neither type does any I/O or reads a clock. Both are used only by the goroutine of the node's event loop.
package degradation
