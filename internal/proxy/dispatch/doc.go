// Package dispatch carries out the decisions about requests. A Dispatcher keeps one node's requests in flight and
// their timers, asks a Decider what to do, which is package policy's router as a rule, and does it by its Actions. It
// decides nothing itself.
//
// It does no I/O and has no clock: each call is given the time. So the proxy on real sockets, the simulator's adapter
// and the simulations drive the same code. A Dispatcher is not safe for concurrent use, and not reentrant: an Action
// must not call back into it before the call that it was made from has returned. Two Dispatchers share nothing.
//
// A request is in flight from RequestArrived until it is answered, by Actions.Reject or Fail or by a value that the
// caller of AttemptDone has served, and none of its attempts is in flight. While it is, the decider may ask for a
// review of it at a time (policy.Decision.ReviewAt): Route is called again then, unless an attempt's result came
// first and brought another decision.
package dispatch
