package purge

import (
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	// AnswerTimeout is for a command to be answered; the connection counts as dead then.
	AnswerTimeout = 2 * time.Second

	firstReconnectDelay = 100 * time.Millisecond // backoff after a connection that broke, jittered from half of it
	maxReconnectDelay   = 3 * time.Second        // a cache that is back is found within it
	maxDoublings        = 8                      // of the first delay: the maximum is reached before

	// maxListLag is how far the list of caches may be behind although discovery answers: five times what discovery
	// states.
	maxListLag = 30 * time.Second
)

// Config is how purges are carried out.
type Config struct {
	LongestFill     time.Duration // the longest that a fill may take, from reading the origin until the value is stored
	CommandInterval time.Duration // between two commands to a cache, once a burst has gone
}

// Log is the replicated log as this control server has it.
type Log interface {
	// Position returns which log it is (0 for not known yet), the index up to which entries are not kept, and the
	// newest entry's.
	Position() (id replicatedlog.LogID, floor, last replicatedlog.Index)
	// Entry returns an entry; false where it is not kept.
	Entry(replicatedlog.Index) (replicatedlog.Entry, bool)
	// RequestedAt is when this server was first asked to have an entry ordered; false where it was not, or that is
	// forgotten.
	RequestedAt(replicatedlog.Index) (monotime.Instant, bool)
}

// Cache is one cache, as one control server knows it. It is used by one goroutine at a time. schedule.go has what is
// sent when.
type Cache struct {
	Config
	cursor         Cursor
	logID          replicatedlog.LogID // which log the following indexes are of
	quickDeleted   replicatedlog.Index // up to here QuickDelete was answered
	quickSent      replicatedlog.Index // and sent
	confirmingSent replicatedlog.Index // up to here ConfirmingDelete was sent
	quickSkipped   replicatedlog.Index // up to here QuickDelete was left out, as ConfirmingDelete was due already
	inFlight       []inFlightCommand   // in the order in which they were sent, at most MaxInFlight
	paceTime       monotime.Instant    // theoretical arrival time of the next command, by which commands are paced
	flush          flushProgress
	failures       int // connections in a row that ended without an answer
}

// flushProgress is how far the two flushes are.
type flushProgress struct {
	allowedAt     monotime.Instant    // from then on it is presumed that no other server has done what is lacking
	firstAnswered bool                // the first one is done, and the second one is not
	firstSentAt   monotime.Instant    // when the first one was sent
	upTo          replicatedlog.Index // the newest entry that the first one covers
}

// NewCache returns a Cache whose purges are done up to a cursor: the one on disk, or the zero Cursor.
func NewCache(config Config, cursor Cursor, now monotime.Instant) *Cache {
	return &Cache{
		Config:         config,
		cursor:         cursor,
		logID:          cursor.Log,
		quickDeleted:   cursor.Done,
		quickSent:      cursor.Done,
		confirmingSent: cursor.Done,
		flush:          flushProgress{allowedAt: now.Add(peerCursorWait)},
	}
}

// Cursor is up to where purges are done.
func (c *Cache) Cursor() Cursor { return c.cursor }

// done is the cursor's index in the log that there is.
func (c *Cache) done() replicatedlog.Index {
	if c.cursor.Log != c.logID {
		return 0
	}
	return c.cursor.Done
}

// QuickDeleted is up to where each key was deleted at least once.
func (c *Cache) QuickDeleted() replicatedlog.Index {
	if c.done() < c.quickSkipped {
		return c.done()
	}
	return max(c.quickDeleted, c.done())
}

// Flushing says whether the cache has to be flushed, or is being.
func (c *Cache) Flushing(log Log) bool {
	id, floor, _ := log.Position()
	return c.mustFlush(id, floor)
}

// mustFlush says whether entries that the cache lacks are not kept, so that the keys are not known.
func (c *Cache) mustFlush(log replicatedlog.LogID, floor replicatedlog.Index) bool {
	if c.cursor.Log != log {
		return c.cursor.Log != 0 || floor > 0
	}
	return c.cursor.Done < floor
}

// Idle says whether there is nothing to do, now or later, until there is more in the log.
func (c *Cache) Idle(log Log, arrivals *ArrivalTimes) bool {
	id, floor, _ := log.Position()
	return id == 0 || c.cursor.Log == id && c.cursor.Done >= max(floor, arrivals.Last())
}

// Overdue counts entries that should be done by now, if a purge may take so long beyond LongestFill.
func (c *Cache) Overdue(now monotime.Instant, arrivals *ArrivalTimes, tolerance time.Duration) uint64 {
	due := arrivals.NewestAt(now.Add(-c.LongestFill - tolerance))
	if c.cursor.Log != arrivals.logID {
		return uint64(due)
	}
	return uint64(max(due, c.cursor.Done) - c.cursor.Done)
}

// OnListed says which process of the cache the list had at a time.
//
// What was done since a later process was started was done at the one before it, and fills of old values may reach
// the later one: the cursor falls back to what is safe for it. What is safe rises while the list still has a process:
// purges known so long before that all fills of older values were over, with the time by which the list may lag.
func (c *Cache) OnListed(now monotime.Instant, started Incarnation, arrivals *ArrivalTimes) {
	if started < c.cursor.Started { // an older list, or a clock set back: what is done is done at the later process
		return
	}
	if started > c.cursor.Started {
		c.restarted(now, started)
	}
	if c.cursor.Log == arrivals.logID {
		safe := arrivals.NewestAt(now.Add(-maxListLag - c.LongestFill))
		c.cursor.SafeAfterRestart = max(c.cursor.SafeAfterRestart, safe)
	}
}

// restarted begins with a later process of the cache.
func (c *Cache) restarted(now monotime.Instant, started Incarnation) {
	c.cursor.Started = started
	if c.cursor.Log != 0 {
		c.cursor.Done = c.cursor.SafeAfterRestart
		c.quickDeleted = c.done()
		c.quickSent = c.done()
		c.confirmingSent = c.done()
		c.quickSkipped = 0
	}
	c.OnDisconnect(now, 0) // commands in flight are to the process before
	c.flush.firstAnswered = false
	c.failures = 0
}

// MergeCursor takes what another control server has done at the same process of the cache: that stays done.
func (c *Cache) MergeCursor(other Cursor) {
	if other.Log == 0 || other.Started != c.cursor.Started {
		return
	}
	further := other.Log == c.cursor.Log && other.Done > c.cursor.Done
	if c.cursor.Log == 0 || further {
		c.advance(other.Log, other.Done)
	}
}

// advance moves the cursor on, and to another log.
func (c *Cache) advance(log replicatedlog.LogID, done replicatedlog.Index) {
	c.useLog(log)
	c.cursor = Cursor{
		Log:              log,
		Started:          c.cursor.Started,
		Done:             done,
		SafeAfterRestart: c.cursor.safeAfterRestart(log),
	}
	c.quickDeleted = max(c.quickDeleted, done)
	c.quickSent = max(c.quickSent, done)
	c.confirmingSent = max(c.confirmingSent, done)
}

// useLog says which log there is. In another one nothing was sent or answered yet.
func (c *Cache) useLog(log replicatedlog.LogID) {
	if log == c.logID {
		return
	}
	c.logID = log
	c.quickDeleted = 0
	c.quickSent = 0
	c.confirmingSent = 0
	c.quickSkipped = 0
	c.inFlight = nil
}

// OnDisconnect says that a connection ended, or could not be made, and returns the delay until the next attempt:
// exponential backoff with jitter; random is from 0 up to 1. Commands that were not answered are sent again.
func (c *Cache) OnDisconnect(now monotime.Instant, random float64) time.Duration {
	for _, command := range c.inFlight {
		if command.Kind == Flush {
			c.flush.allowedAt = now.Add(flushRetryDelay)
		}
	}
	c.inFlight = nil
	c.quickSent = max(c.quickDeleted, c.done())
	c.confirmingSent = c.done()
	ceiling := min(maxReconnectDelay, firstReconnectDelay<<min(c.failures, maxDoublings))
	c.failures++
	return ceiling/2 + time.Duration(random*float64(ceiling/2))
}
