package purge

import "dahliapin/internal/control/replicatedlog"

// CacheID is the name of a cache.
type CacheID string

// Incarnation identifies a process of a cache by its start time, in Unix milliseconds as stated by discovery; 0 if not
// known.
type Incarnation int64

// Cursor is the position up to which purges are done at a cache.
type Cursor struct {
	Log         replicatedlog.LogID // the log that the indexes belong to; 0 for none yet
	Incarnation Incarnation         // the process of the cache
	Done        replicatedlog.Index
	// If the cache restarts, SafeAfterRestart is the index up to which the new process needs no purges: it starts
	// empty, and all fills of older values were over when it was started. The index is kept in advance, see
	// Cache.OnListed.
	SafeAfterRestart replicatedlog.Index
}

// safeAfterRestart returns SafeAfterRestart for the cursor's own log; 0 for any other log.
func (c Cursor) safeAfterRestart(log replicatedlog.LogID) replicatedlog.Index {
	if c.Log != log {
		return 0
	}
	return c.SafeAfterRestart
}
