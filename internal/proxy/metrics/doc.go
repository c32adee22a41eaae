// Package metrics defines a node's counters and metrics, and the names under which operators see them.
//
// The proxy's event loop owns the Counters and is the only writer; other goroutines read copies. The loop also
// publishes an immutable Snapshot several times a second, which the admin server shows.
//
// All names that operators see are defined here: those of the counters in Counters.Each, those of the metrics in
// Snapshot.Text.
package metrics
