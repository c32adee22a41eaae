// Package discovery decides how a node polls the endpoint list: what it requests next, how long it waits for the
// answer, and how long it backs off after a failed poll.
//
// A [Poller] does no I/O and reads no clock. Its owner makes one poll at a time: it gets the request from
// [Poller.NextPoll], and reports the result with [Poller.OnUpdate] or [Poller.OnFailure], which returns the backoff.
// The proxy, the purger and the simulation all use it.
//
// Two requirements limit the backoff. An update must reach each node within seconds, whatever has failed before; and an
// overloaded discovery must recover under the polls of the whole fleet, of which each node knows only the size.
// Backoffs are therefore randomised, and grow with the number of nodes up to the time that an update may wait.
package discovery
