// Package purger carries the purges of the replicated log out at all caches, from one control server: it has a
// connection to each cache, the list of caches, and its cursors on disk. Which command is due, and what counts as
// done, package purge decides.
//
// Every control server does this by itself, at every cache. They tell each other how far they are (Progress,
// MergeProgress), so that one which was away does not repeat what others have done; that is all that they need of
// each other.
//
// # Goroutines and state
//
// One lock guards everything in a Purger: the list, the arrival times and each cache's purge.Cache. Open starts one
// goroutine that notes new entries, one that saves cursors, and one that polls discovery for the list, where the
// settings name it. Each cache in the list has one that keeps its connection and writes commands, and while it is
// connected one more that reads answers. Close ends them and waits.
//
// # What survives kill -9
//
// Cursors are written to disk, with fsync, each second in which they moved. They lag and never lead: what was done
// after the last write is done once more after a restart, which is harmless. A cursor that cannot be read counts as
// none, and the cache is treated as a new one.
package purger
