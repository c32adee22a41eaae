package purge

import "dahliapin/internal/control/replicatedlog"

// CacheID is the name of a cache.
type CacheID string

// Incarnation tells the processes of a cache apart: when it was started, in Unix milliseconds as discovery states it;
// 0 for not known.
type Incarnation int64

// Cursor is up to where purges are done at a cache.
type Cursor struct {
	Log     replicatedlog.LogID // which log the indexes are of; 0 for none yet
	Started Incarnation         // at which process of the cache
	Done    replicatedlog.Index
	// SafeAfterRestart is up to where a later process of the cache needs no purge: it starts empty, and all fills of
	// values from before were over when it was started.
	SafeAfterRestart replicatedlog.Index
}

// safeAfterRestart is the cursor's in a log; 0 in any other.
func (c Cursor) safeAfterRestart(log replicatedlog.LogID) replicatedlog.Index {
	if c.Log != log {
		return 0
	}
	return c.SafeAfterRestart
}
