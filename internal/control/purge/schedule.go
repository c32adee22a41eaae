package purge

import (
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	// MaxInFlight bounds the commands that a cache has not answered: 1,800 a second over a link with a round trip of
	// 140 ms.
	MaxInFlight = 256
	// MaxBurst is how many commands may go at once before they are paced: a burst of a thousand purges.
	MaxBurst = 1024
	// pacedBatchSize is how many commands go together once they are paced: one at a time would be a wake-up each.
	pacedBatchSize = 16
	// peerCursorWait is for other control servers to say what they have done at a cache, before it is flushed.
	peerCursorWait = 5 * time.Second
	// flushRetryDelay is the pause after a flush without an answer, so that a cache that hangs does not take the
	// slots of others.
	flushRetryDelay = 30 * time.Second
)

// NextCommand returns the command to send now. Without one it returns false and when to ask again; a time of 0 is for
// the next entry or answer.
//
// It also takes over the log that there is now (useLog, adoptLog), and passes entries that need no command (skip): both
// may move the cursor, even where no command is returned.
func (c *Cache) NextCommand(
	now monotime.Instant, log Log, arrivals *ArrivalTimes, limiter *FlushLimiter,
) (command Command, ready bool, askAgain monotime.Instant) {
	id, floor, _ := log.Position()
	if id == 0 || arrivals.logID != id {
		return Command{}, false, 0
	}
	c.useLog(id)
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
		c.adoptLog(id)
	}
	if command, ready := c.nextQuickDelete(now, log, arrivals); ready {
		return command, true, 0
	}
	if c.flush.firstAnswered { // the second flush covers what would be confirmed
		return Command{}, false, askAgain
	}
	command, ready, at := c.nextConfirmingDelete(now, log, arrivals)
	if ready {
		return command, true, 0
	}
	return Command{}, false, earlierOf(askAgain, at)
}

// adoptLog begins the cursor of a cache at which nothing was purged yet at the start of the log, of which everything is
// kept.
func (c *Cache) adoptLog(id replicatedlog.LogID) {
	if c.cursor.Log == 0 {
		c.advance(id, 0)
	}
}

// paced says whether a command may go by the pace, else when the next ones may: a leaky bucket of MaxBurst commands,
// as the theoretical arrival time of the next one.
func (c *Cache) paced(now monotime.Instant) (allowed bool, at monotime.Instant) {
	c.paceTime = max(c.paceTime, now)
	if c.paceTime <= now.Add((MaxBurst-1)*c.CommandInterval) {
		return true, 0
	}
	return false, c.paceTime.Add((pacedBatchSize - MaxBurst) * c.CommandInterval)
}

// nextFlush returns the first flush, once other servers had the time to say what they have done and the limiter
// allows it; and the second one, once no fill from before the first can be under way. at is 0 while one is in flight.
func (c *Cache) nextFlush(
	now monotime.Instant, last replicatedlog.Index, limiter *FlushLimiter,
) (command Command, ready bool, at monotime.Instant) {
	for _, command := range c.inFlight {
		if command.Kind >= Flush {
			return Command{}, false, 0
		}
	}
	if c.flush.firstAnswered {
		dueAt := c.flush.firstSentAt.Add(c.LongestFill)
		if now < dueAt {
			return Command{}, false, dueAt
		}
		return c.send(now, Command{Kind: ConfirmingFlush, Index: last}), true, 0
	}
	if now < c.flush.allowedAt {
		return Command{}, false, c.flush.allowedAt
	}
	if allowed, at := limiter.allow(now); !allowed {
		return Command{}, false, at
	}
	return c.send(now, Command{Kind: Flush, Index: last}), true, 0
}

// nextQuickDelete returns the delete of the next purge that is new. Purges for which the confirming delete is due
// already, as after the cache was unreachable for a while, are left to that one.
func (c *Cache) nextQuickDelete(now monotime.Instant, log Log, arrivals *ArrivalTimes) (Command, bool) {
	confirmable := arrivals.NewestAt(now.Add(-c.LongestFill)) // fills from before these entries are over
	sent := max(c.quickSent, c.done())
	if confirmable > sent && !c.flush.firstAnswered {
		c.quickSkipped = confirmable
	}
	for index := max(sent, confirmable) + 1; index <= arrivals.Last(); index++ {
		entry, kept := log.Entry(index)
		if !kept {
			break
		}
		c.quickSent = index
		if deletable(entry) {
			return c.send(now, Command{Kind: QuickDelete, Index: index, Key: entry.Body}), true
		}
		c.skip(QuickDelete, index)
	}
	return Command{}, false
}

// nextConfirmingDelete returns the second delete of the next purge, once fills from before it are over, or when that
// will be; 0 for not before the next entry.
func (c *Cache) nextConfirmingDelete(
	now monotime.Instant, log Log, arrivals *ArrivalTimes,
) (command Command, ready bool, at monotime.Instant) {
	for index := c.confirmingSent + 1; index <= arrivals.Last(); index++ {
		entry, kept := log.Entry(index)
		if !kept {
			break
		}
		if !deletable(entry) {
			c.confirmingSent = index
			c.skip(ConfirmingDelete, index)
			continue
		}
		dueAt := publishedBefore(index, log, arrivals).Add(c.LongestFill)
		if dueAt > now {
			return Command{}, false, dueAt
		}
		c.confirmingSent = index
		return c.send(now, Command{Kind: ConfirmingDelete, Index: index, Key: entry.Body}), true, 0
	}
	return Command{}, false, 0
}

// publishedBefore is a time at which an entry was published already: when this server was asked to have it ordered,
// by which the time that ordering took is saved, or else when it arrived.
func publishedBefore(index replicatedlog.Index, log Log, arrivals *ArrivalTimes) monotime.Instant {
	at, _ := arrivals.KnownAt(index)
	if requestedAt, is := log.RequestedAt(index); is {
		at = min(at, requestedAt)
	}
	return at
}

// earlierOf is the earlier of two times, of which 0 is none.
func earlierOf(a, b monotime.Instant) monotime.Instant {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// send notes a command as sent.
func (c *Cache) send(now monotime.Instant, command Command) Command {
	c.inFlight = append(c.inFlight, inFlightCommand{Command: command, upTo: command.Index, sentAt: now})
	c.paceTime = c.paceTime.Add(c.CommandInterval)
	return command
}

// skip passes an entry that needs no command. It counts as answered with the last command of the kind before it, or
// at once.
func (c *Cache) skip(kind CommandKind, index replicatedlog.Index) {
	for i := len(c.inFlight) - 1; i >= 0; i-- {
		if c.inFlight[i].Kind == kind {
			c.inFlight[i].upTo = index
			return
		}
	}
	if kind == ConfirmingDelete {
		c.cursor.Done = index
	}
	c.quickDeleted = max(c.quickDeleted, index)
}

// AwaitingAnswer is the command whose answer comes next; false for none.
func (c *Cache) AwaitingAnswer() (Command, bool) {
	if len(c.inFlight) == 0 {
		return Command{}, false
	}
	return c.inFlight[0].Command, true
}

// AnswerOverdue says whether the next answer takes longer than AnswerTimeout.
func (c *Cache) AnswerOverdue(now monotime.Instant) bool {
	return len(c.inFlight) > 0 && now >= c.inFlight[0].sentAt.Add(AnswerTimeout)
}

// OnAnswer says that the cache has answered the command of AwaitingAnswer.
func (c *Cache) OnAnswer(log Log, arrivals *ArrivalTimes) {
	if len(c.inFlight) == 0 {
		return
	}
	answered := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	c.failures = 0
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
		if id == arrivals.logID && c.mustFlush(id, floor) {
			// Done is what the first flush covered, and what else was known so long before the second that fills are
			// over.
			fillsOver := arrivals.NewestAt(answered.sentAt.Add(-c.LongestFill))
			c.advance(id, max(c.flush.upTo, fillsOver))
		}
		c.flush.firstAnswered = false
	}
}
