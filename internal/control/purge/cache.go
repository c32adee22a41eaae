package purge

import (
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	// AnswerTimeout is how long a command may go unanswered before the connection is considered dead.
	AnswerTimeout = 2 * time.Second

	firstReconnectDelay = 100 * time.Millisecond // backoff after the first broken connection, jittered from half of it
	maxReconnectDelay   = 3 * time.Second        // a cache that is reachable again is contacted within this time
	maxDoublings        = 8                      // of the first delay; the maximum is reached before

	// maxListLag is the assumed maximum age of the list of caches in an answer of discovery: five times the delay that
	// discovery specifies. Cursor.SafeAfterRestart is raised only with such an answer, and from the time of its
	// request, so it stays as it is while discovery does not answer.
	maxListLag = 30 * time.Second
)

// Config configures how purges are carried out.
type Config struct {
	MaxFillTime     time.Duration // the longest time from a fill's read at the origin until the value is stored
	CommandInterval time.Duration // between two commands to a cache, after an initial burst
}

// Log is this control server's copy of the replicated log.
type Log interface {
	// Position returns the id of the log (0 if not known yet), the index up to which entries are no longer retained,
	// and the index of the newest entry.
	Position() (id replicatedlog.LogID, floor, last replicatedlog.Index)
	// Entry returns an entry; false if it is not retained.
	Entry(replicatedlog.Index) (replicatedlog.Entry, bool)
	// RequestedAt returns when this server was first asked to order an entry; false if it was not asked, or no longer
	// knows the time.
	RequestedAt(replicatedlog.Index) (monotime.Instant, bool)
}

// Cache is the state of one cache at one control server. It is not safe for concurrent use. The choice of the next
// command is in schedule.go.
type Cache struct {
	Config
	cursor         Cursor
	logID          replicatedlog.LogID // the log that the following indexes and flush belong to; 0 if not known yet
	quickDeleted   replicatedlog.Index // QuickDelete was answered up to here
	quickSent      replicatedlog.Index // QuickDelete was sent up to here
	confirmingSent replicatedlog.Index // ConfirmingDelete was sent up to here
	quickSkipped   replicatedlog.Index // QuickDelete was omitted up to here, since ConfirmingDelete was already due
	flush          flushProgress
	inFlight       []inFlightCommand // in the order of sending, at most MaxInFlight, perhaps some of earlier logs
	paceTime       monotime.Instant  // moved on by CommandInterval with each command, see paced
	failures       int               // consecutive connections that ended without an answer
}

// flushProgress is the progress of the two flushes.
type flushProgress struct {
	allowedAt     monotime.Instant    // no first flush before this time, see peerCursorWait and flushRetryDelay
	firstAnswered bool                // the first flush was answered, the second was not
	firstSentAt   monotime.Instant    // when the first flush was sent
	upTo          replicatedlog.Index // the newest entry that the first flush covers
}

// NewCache returns a Cache whose purges are done up to the cursor loaded from disk, or the zero Cursor.
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

// Cursor returns the position up to which purges are done.
func (c *Cache) Cursor() Cursor { return c.cursor }

// done returns the cursor's index in the current log; 0 if the cursor is of another log.
func (c *Cache) done() replicatedlog.Index {
	if c.cursor.Log != c.logID {
		return 0
	}
	return c.cursor.Done
}

// QuickDeleted returns the index up to which each key was deleted at least once. Until the purges whose quick delete
// was omitted are done, only the purges up to the cursor count.
func (c *Cache) QuickDeleted() replicatedlog.Index {
	if c.done() < c.quickSkipped {
		return c.done()
	}
	return max(c.quickDeleted, c.done())
}

// Flushing reports whether the cache is being flushed or has to be.
func (c *Cache) Flushing(log Log) bool {
	id, floor, _ := log.Position()
	return c.mustFlush(id, floor)
}

// mustFlush reports whether the cache lacks entries that are no longer retained, so that their keys are not known.
func (c *Cache) mustFlush(log replicatedlog.LogID, floor replicatedlog.Index) bool {
	if c.cursor.Log != log {
		return c.cursor.Log != 0 || floor > 0
	}
	return c.cursor.Done < floor
}

// Idle reports whether there is nothing to do, now or later, until new entries arrive.
func (c *Cache) Idle(log Log, arrivals *ArrivalTimes) bool {
	id, floor, _ := log.Position()
	return id == 0 || c.cursor.Log == id && c.cursor.Done >= max(floor, arrivals.Last())
}

// Overdue returns the number of entries that should be done by now, if a purge may take MaxFillTime plus tolerance.
func (c *Cache) Overdue(now monotime.Instant, arrivals *ArrivalTimes, tolerance time.Duration) uint64 {
	due := arrivals.NewestAt(now.Add(-c.MaxFillTime - tolerance))
	if c.cursor.Log != arrivals.logID {
		return uint64(due)
	}
	return uint64(max(due, c.cursor.Done) - c.cursor.Done)
}

// OnListed handles a list of caches, obtained at a given time, that names a process of the cache by its start time.
//
// If the process is a later one, purges may have been carried out at the previous process after the later one was
// started, and fills of old values may still reach the later one. The cursor is therefore set to
// Cursor.SafeAfterRestart. While the list names the same process, that index is raised to the newest purge that arrived
// at least maxListLag plus MaxFillTime ago: all fills of values from before it are over, even if the list lags.
func (c *Cache) OnListed(now monotime.Instant, started Incarnation, arrivals *ArrivalTimes) {
	if started < c.cursor.Incarnation { // an older list, or a clock set back: purges were done at the later process
		return
	}
	if started > c.cursor.Incarnation {
		c.restarted(now, started)
	}
	if c.cursor.Log == arrivals.logID {
		safe := arrivals.NewestAt(now.Add(-maxListLag - c.MaxFillTime))
		c.cursor.SafeAfterRestart = max(c.cursor.SafeAfterRestart, safe)
	}
}

// restarted resets the state for a later process of the cache.
func (c *Cache) restarted(now monotime.Instant, started Incarnation) {
	c.cursor.Incarnation = started
	c.cursor.Done = c.cursor.SafeAfterRestart // 0 if there is no cursor
	c.quickDeleted = c.done()
	c.quickSent = c.done()
	c.confirmingSent = c.done()
	c.quickSkipped = 0
	c.OnDisconnect(now, 0) // drops the commands in flight, which went to the previous process
	c.flush.firstAnswered = false
	c.failures = 0
}

// MergeCursor adopts the cursor of another control server for the same process of the cache, if it is ahead or
// there is no cursor yet. A cursor of another log than the current one may be ahead, but cannot be the first one.
func (c *Cache) MergeCursor(other Cursor) {
	if other.Log == 0 || other.Incarnation != c.cursor.Incarnation {
		return
	}
	further := other.Log == c.cursor.Log && other.Done > c.cursor.Done
	first := c.cursor.Log == 0 && (c.logID == 0 || c.logID == other.Log)
	if first || further {
		c.setCursor(other.Log, other.Done)
	}
}

// setCursor sets the cursor to an index, which is further on or in another log. It also switches to the log if none is
// known yet.
func (c *Cache) setCursor(log replicatedlog.LogID, done replicatedlog.Index) {
	if c.logID == 0 {
		c.switchLog(log)
	}
	c.cursor = Cursor{
		Log:              log,
		Incarnation:      c.cursor.Incarnation,
		Done:             done,
		SafeAfterRestart: c.cursor.safeAfterRestart(log),
	}
	c.quickDeleted = max(c.quickDeleted, c.done())
	c.quickSent = max(c.quickSent, c.done())
	c.confirmingSent = max(c.confirmingSent, c.done())
}

// switchLog switches to a log. If it differs from the previous one, nothing after the cursor was sent or answered in it
// yet. Commands of the previous log stay in flight, so that their answers do not count as those to later commands.
//
// Both flushes start over, since the first one covers no entry of the new log, and may not cover the last ones of the
// previous log. A cache without a cursor lacks the entries of the previous log, or it would have got a cursor by
// startAtBeginning. It gets one in that log, by which it has to be flushed.
func (c *Cache) switchLog(log replicatedlog.LogID) {
	if log == c.logID {
		return
	}
	if c.cursor.Log == 0 {
		c.cursor.Log = c.logID
	}
	c.logID = log
	c.quickDeleted = c.done()
	c.quickSent = c.done()
	c.confirmingSent = c.done()
	c.quickSkipped = 0
	c.flush.firstAnswered = false
}

// OnDisconnect handles a connection that ended or could not be established, and returns the delay until the next
// attempt: between half and all of an exponential backoff, chosen by random, which is in [0, 1). Unanswered commands
// will be sent again.
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
