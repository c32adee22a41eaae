// Package dispatch executes the decisions about requests. A Dispatcher tracks one node's requests in flight and their
// timers, asks a Decider what to do (usually the router of package policy), and carries out the decision through its
// Actions. It makes no decisions itself.
//
// The package does no I/O and reads no clock: every call receives the time. The proxy on real sockets, the simulator's
// adapter and the simulations therefore run the same code. A Dispatcher is not safe for concurrent use and not
// reentrant: an Actions method must not call back into it before the call that it was made from has returned.
// Dispatchers share no state.
//
// A request is in flight from RequestArrived until it has been answered and none of its attempts is in flight. The
// answer is Actions.Reject, Actions.Fail or a value that the caller of AttemptDone has served. In the meantime the
// decider may schedule a review (policy.Decision.ReviewAt): Route is called again at that time, or earlier if the
// decision about another request wakes this one. A later decision with a ReviewAt replaces the scheduled review; one
// without leaves it in place.
package dispatch
