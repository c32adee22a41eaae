package purge

import (
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	// MaxInFlight bounds the unanswered commands of a cache. It allows 1,800 commands per second over a link with a
	// round-trip time of 140 ms.
	MaxInFlight = 256
	// MaxBurst is how many commands may be sent at once before pacing starts: a burst of a thousand purges.
	MaxBurst = 1024
	// pacedBatchSize is how many commands are sent together while pacing, to avoid one wake-up per command.
	pacedBatchSize = 16
	// peerCursorWait is how long other control servers get to report their cursors of a cache before it is flushed.
	peerCursorWait = 5 * time.Second
	// flushRetryDelay is the delay after an unanswered flush, so that a cache that hangs does not use up the flushes
	// that FlushLimiter allows to other caches.
	flushRetryDelay = 30 * time.Second
)

// NextCommand returns the next command to send. If none is due, it returns false and the time to ask again; a time of 0
// means after the next entry or answer.
//
// It also switches to the current log, for which startAtBeginning may set the cursor, and skips entries that need no
// command, which may move the cursor. Both happen even if no command is returned.
func (c *Cache) NextCommand(
	now monotime.Instant, log Log, arrivals *ArrivalTimes, limiter *FlushLimiter,
) (command Command, ready bool, askAgain monotime.Instant) {
	id, floor, _ := log.Position()
	if id == 0 || arrivals.logID != id {
		return Command{}, false, 0
	}
	c.switchLog(id)
	if len(c.inFlight) > 0 {
		askAgain = c.inFlight[0].sentAt.Add(AnswerTimeout)
	}
	if len(c.inFlight) >= MaxInFlight {
		return Command{}, false, askAgain
	}
	if allowed, at := c.paced(now); !allowed {
		return Command{}, false, earlierOf(askAgain, at)
	}
	last := arrivals.Last()
	if c.mustFlush(id, floor) {
		command, ready, at := c.nextFlush(now, last, limiter)
		if ready {
			return command, true, 0
		}
		askAgain = earlierOf(askAgain, at)
		if !c.flush.firstAnswered {
			return Command{}, false, askAgain
		}
	} else {
		c.flush.firstAnswered = false
		c.startAtBeginning(id)
	}
	if command, ready := c.nextQuickDelete(now, log, arrivals); ready {
		return command, true, 0
	}
	if c.flush.firstAnswered { // the second flush replaces the confirming deletes
		return Command{}, false, askAgain
	}
	command, ready, at := c.nextConfirmingDelete(now, log, arrivals)
	if ready {
		return command, true, 0
	}
	return Command{}, false, earlierOf(askAgain, at)
}

// startAtBeginning sets the cursor of a cache without one to the start of the log. The caller has checked with
// mustFlush that all entries are still retained.
func (c *Cache) startAtBeginning(id replicatedlog.LogID) {
	if c.cursor.Log == 0 {
		c.setCursor(id, 0)
	}
}

// paced reports whether pacing allows a command now: a token bucket that holds at most MaxBurst commands and gains one
// per CommandInterval. It is stored as paceTime, which each command moves on by CommandInterval, from now at the
// earliest. The bucket is empty, and no command allowed, if paceTime is more than MaxBurst-1 intervals ahead of now.
// The time returned is then the one from which the bucket holds pacedBatchSize commands.
func (c *Cache) paced(now monotime.Instant) (allowed bool, at monotime.Instant) {
	c.paceTime = max(c.paceTime, now)
	if c.paceTime <= now.Add((MaxBurst-1)*c.CommandInterval) {
		return true, 0
	}
	return false, c.paceTime.Add((pacedBatchSize - MaxBurst) * c.CommandInterval)
}

// nextFlush returns the first flush, once other servers have had time to report their cursors and the limiter allows
// it, or the second one, once no fill from before the first can be under way. at is 0 while a flush is in flight, even
// one of an earlier log.
func (c *Cache) nextFlush(
	now monotime.Instant, last replicatedlog.Index, limiter *FlushLimiter,
) (command Command, ready bool, at monotime.Instant) {
	for _, command := range c.inFlight {
		if command.Kind >= Flush {
			return Command{}, false, 0
		}
	}
	if c.flush.firstAnswered {
		dueAt := c.flush.firstSentAt.Add(c.MaxFillTime)
		if now < dueAt {
			return Command{}, false, dueAt
		}
		return c.markSent(now, Command{Kind: ConfirmingFlush, Index: last}), true, 0
	}
	if now < c.flush.allowedAt {
		return Command{}, false, c.flush.allowedAt
	}
	if allowed, at := limiter.allow(now); !allowed {
		return Command{}, false, at
	}
	return c.markSent(now, Command{Kind: Flush, Index: last}), true, 0
}

// nextQuickDelete returns the quick delete of the next purge that has had none. It omits the quick delete of purges
// whose confirming delete is already due, for example after the cache was unreachable.
func (c *Cache) nextQuickDelete(now monotime.Instant, log Log, arrivals *ArrivalTimes) (Command, bool) {
	dueUpTo := arrivals.NewestAt(now.Add(-c.MaxFillTime)) // the newest entry whose confirming delete is due
	sent := max(c.quickSent, c.done())
	if dueUpTo > sent && !c.flush.firstAnswered {
		c.quickSkipped = dueUpTo
	}
	for index := max(sent, dueUpTo) + 1; index <= arrivals.Last(); index++ {
		entry, retained := log.Entry(index)
		if !retained {
			break
		}
		c.quickSent = index
		if deletable(entry) {
			return c.markSent(now, Command{Kind: QuickDelete, Index: index, Key: entry.Body}), true
		}
		c.skip(QuickDelete, index)
	}
	return Command{}, false
}

// nextConfirmingDelete returns the second delete of the next purge if fills from before it are over, or else the time
// when they will be; 0 if no purge is waiting.
func (c *Cache) nextConfirmingDelete(
	now monotime.Instant, log Log, arrivals *ArrivalTimes,
) (command Command, ready bool, at monotime.Instant) {
	for index := c.confirmingSent + 1; index <= arrivals.Last(); index++ {
		entry, retained := log.Entry(index)
		if !retained {
			break
		}
		if !deletable(entry) {
			c.confirmingSent = index
			c.skip(ConfirmingDelete, index)
			continue
		}
		dueAt := requestedBy(index, log, arrivals).Add(c.MaxFillTime)
		if dueAt > now {
			return Command{}, false, dueAt
		}
		c.confirmingSent = index
		return c.markSent(now, Command{Kind: ConfirmingDelete, Index: index, Key: entry.Body}), true, 0
	}
	return Command{}, false, 0
}

// requestedBy returns a time by which an entry had been requested: the time when this server was asked to order it if
// that is known, since it is earlier, or else the time of its arrival.
func requestedBy(index replicatedlog.Index, log Log, arrivals *ArrivalTimes) monotime.Instant {
	at, _ := arrivals.KnownAt(index)
	if requestedAt, ok := log.RequestedAt(index); ok {
		at = min(at, requestedAt)
	}
	return at
}

// earlierOf returns the earlier of two times, where 0 means none.
func earlierOf(a, b monotime.Instant) monotime.Instant {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// markSent records a command as sent, and returns it.
func (c *Cache) markSent(now monotime.Instant, command Command) Command {
	sent := inFlightCommand{Command: command, logID: c.logID, upTo: command.Index, sentAt: now}
	c.inFlight = append(c.inFlight, sent)
	c.paceTime = c.paceTime.Add(c.CommandInterval)
	return command
}

// skip skips an entry that needs no command. The entry counts as answered together with the last command of this kind
// in flight, or at once if there is none.
func (c *Cache) skip(kind CommandKind, index replicatedlog.Index) {
	for i := len(c.inFlight) - 1; i >= 0; i-- {
		if c.inFlight[i].Kind == kind && c.inFlight[i].logID == c.logID {
			c.inFlight[i].upTo = index
			return
		}
	}
	if kind == ConfirmingDelete {
		c.cursor.Done = index
	}
	c.quickDeleted = max(c.quickDeleted, index)
}

// AwaitingAnswer returns the command whose answer comes next; false if there is none.
func (c *Cache) AwaitingAnswer() (Command, bool) {
	if len(c.inFlight) == 0 {
		return Command{}, false
	}
	return c.inFlight[0].Command, true
}

// AnswerOverdue reports whether the next answer has taken longer than AnswerTimeout.
func (c *Cache) AnswerOverdue(now monotime.Instant) bool {
	return len(c.inFlight) > 0 && now >= c.inFlight[0].sentAt.Add(AnswerTimeout)
}

// OnAnswer handles the cache's answer to the command of AwaitingAnswer. The answer to a command of an earlier log has no
// effect on the progress in the current one.
func (c *Cache) OnAnswer(log Log, arrivals *ArrivalTimes) {
	if len(c.inFlight) == 0 {
		return
	}
	answered := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	c.failures = 0
	if answered.logID != c.logID {
		return
	}
	switch answered.Kind {
	case QuickDelete:
		c.quickDeleted = max(c.quickDeleted, answered.upTo)
	case ConfirmingDelete:
		c.cursor.Done = max(c.cursor.Done, answered.upTo)
		c.quickDeleted = max(c.quickDeleted, answered.upTo)
	case Flush:
		c.flush.firstAnswered = true
		c.flush.upTo = answered.Index
		c.flush.firstSentAt = answered.sentAt
		c.quickDeleted = max(c.quickDeleted, answered.Index)
		c.quickSent = max(c.quickSent, answered.Index)
	case ConfirmingFlush:
		id, floor, _ := log.Position()
		if id == answered.logID && id == arrivals.logID && c.mustFlush(id, floor) {
			// The purges covered by the first flush are done, and so are those that arrived at least MaxFillTime before
			// the second flush was sent. A cursor merged meanwhile may be further on.
			fillsOver := arrivals.NewestAt(answered.sentAt.Add(-c.MaxFillTime))
			c.setCursor(id, max(c.done(), c.flush.upTo, fillsOver))
		}
		c.flush.firstAnswered = false
	}
}
