// Package discovery decides how a node polls the endpoint list: what it asks next, how long it waits for the answer,
// and how long it backs off after a poll that failed.
//
// A Poller does no I/O and reads no clock. Its owner makes one poll at a time: it asks NextPoll what to send, and
// reports the end of it with OnUpdate or OnFailure, of which the latter returns the backoff. The proxy, the purger and
// the simulation all go by it.
//
// Two needs bound the backoff. An update must reach each node within seconds, whatever has failed before; and a
// discovery that is overloaded must recover under the polls of the whole fleet, each of whose nodes knows only the
// fleet's size. So backoffs grow with the number of nodes up to the time that an update may wait, and their lengths
// are drawn by chance.
package discovery
