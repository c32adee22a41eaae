// Package purger carries out the purges of the replicated log at all caches, from one control server. It keeps a
// connection to each cache, the list of caches, and the cursors on disk. Package purge decides which command is due and
// what counts as done.
//
// Every control server that is configured to run purges does so at every cache, independently of the others. Servers
// only exchange their progress (Progress, MergeProgress), so that a server which was down does not repeat what others
// have done.
//
// # Goroutines and state
//
// One lock guards the state of a Purger: the list, the arrival times and each cache's purge.Cache. Open starts one
// goroutine that records new entries, one that saves cursors, and one that polls discovery for the list, if the
// settings name a discovery address. Each cache in the list has a goroutine that keeps its connection and writes
// commands and, while connected, another one that reads answers. Close stops all of them and waits. Only the goroutine
// that cancels a poll of discovery when the Purger is closed is not waited for; it ends right after that.
//
// # What survives kill -9
//
// Changed cursors are written to disk, with fsync, once a second. A cursor on disk may be behind but is never ahead:
// purges done after the last write are repeated after a restart, which is harmless. An unreadable cursor is ignored,
// and its cache is treated as a new one.
package purger
