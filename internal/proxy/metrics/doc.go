// Package metrics has what a node counts and how operators see it.
//
// The event loop of the proxy owns the Counters and writes them; others read copies. It also hands out a Snapshot
// several times a second, which nobody changes and which the admin server shows.
//
// The names that operators see end here: Counters.Each has the name of each counter, Snapshot.Text that of each
// metric.
package metrics
