// Package purges says how a control machine carries purges out at one cache: what is due there, what is done, and when to try again. It does
// no I/O; time and chance are arguments.
//
// A purge is *done* at a cache once the cache has answered a delete that was sent later than any fill may take since the purge was known:
// a fill that began before it, and would put the old value back, is over by then. A first delete is sent at once; it counts for nothing
// but the time until the second. What is done at a process of the cache stays done there.
//
// Invariants: the cursor never leads what the cache has answered; it never falls but with another process or log; what is in flight is
// bounded, and answers are taken in the order in which it was sent.
package purge

import (
	"math/bits"
	"sort"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	Window     = 256                    // commands in flight at a cache: 1,800 a second over a way of 140 ms there and back
	Burst      = 1024                   // commands that may go at once before the pace holds: a burst of a thousand purges
	together   = 16                     // commands that go together by the pace: one at a time would wake somebody for each
	AnswerBy   = 2 * time.Second        // for a command to be answered, then the connection is dead
	firstRest  = 100 * time.Millisecond // after a connection that broke, by chance from half of it; doubled
	mostRest   = 3 * time.Second        // up to this: a cache that is back is found within it
	flushAgain = 30 * time.Second       // after a flush without an answer: one that hangs is not to take the others' turns
	othersBy   = 5 * time.Second        // for other control machines to tell of a cache's cursor before all of it has to go
	NewsBy     = 30 * time.Second       // that the list of caches may be behind although it is answered: five times what discovery states
	mostPoints = 65_536                 // points of time that are remembered: as many as entries are kept
)

// CacheID names a cache, Incarnation one process of it: when it was started, as discovery states it (Unix, ms; 0 for not known).
type (
	CacheID     string
	Incarnation int64
)

// Cursor is up to where purges are done at a cache.
type Cursor struct {
	Log     replicatedlog.LogID // of which log; 0 for none yet
	Started Incarnation         // at which process of the cache
	Done    replicatedlog.Index
	Sure    replicatedlog.Index // up to where a later process has nothing to do: it began empty, after their fills were over
}

// Config are how purges are carried out.
type Config struct {
	LongestFill     time.Duration // the longest that a fill may take: from reading the value at the origin until it is in a cache
	CommandInterval time.Duration // between two commands to a cache, once a burst has gone
}

// Log is what a control machine has of the log of changes.
type Log interface {
	Position() (id replicatedlog.LogID, floor, last replicatedlog.Index)
	Entry(replicatedlog.Index) (replicatedlog.Entry, bool) // false where it is not kept
	// Asked is when this machine was first asked to have an entry ordered; false where it was not, or that is forgotten.
	RequestedAt(replicatedlog.Index) (monotime.Instant, bool)
}

type point struct {
	at   monotime.Instant
	last replicatedlog.Index
}

// ArrivalTimes remembers when this machine had which entries. A purge was published before that, as before this machine was asked to have it ordered.
type ArrivalTimes struct {
	log    replicatedlog.LogID
	points []point
}

// Record says which entries there are now. With another log all begins anew.
func (t *ArrivalTimes) Record(now monotime.Instant, log replicatedlog.LogID, last replicatedlog.Index) {
	if log != t.log {
		t.log, t.points = log, nil
	}
	if n := len(t.points); n > 0 && t.points[n-1].last >= last {
		return
	}
	if t.points = append(t.points, point{now, last}); len(t.points) > mostPoints {
		t.points = t.points[1:]
	}
}

// Last is the newest entry that was noted.
func (t *ArrivalTimes) Last() replicatedlog.Index {
	if len(t.points) == 0 {
		return 0
	}
	return t.points[len(t.points)-1].last
}

// KnownAt is when an entry was there at the latest; false for not yet.
func (t *ArrivalTimes) KnownAt(i replicatedlog.Index) (monotime.Instant, bool) {
	n := sort.Search(len(t.points), func(n int) bool { return t.points[n].last >= i })
	if n == len(t.points) {
		return 0, false
	}
	return t.points[n].at, true
}

// NewestAt is the newest entry that was there at a time; 0 where that is not known.
func (t *ArrivalTimes) NewestAt(at monotime.Instant) replicatedlog.Index {
	n := sort.Search(len(t.points), func(n int) bool { return t.points[n].at > at })
	if n == 0 {
		return 0
	}
	return t.points[n-1].last
}

// FlushLimiter spreads flushes over time, as each empties a cache whose load goes to the origin.
type FlushLimiter struct {
	Each time.Duration
	next monotime.Instant
}

// pass takes a turn, or tells when there is one.
func (g *FlushLimiter) pass(now monotime.Instant) (is bool, at monotime.Instant) {
	if now < g.next {
		return false, g.next
	}
	g.next = now.Add(g.Each)
	return true, now
}

// Kind is what a command does.
type Kind uint8

// The kinds of commands.
const (
	FirstDelete      Kind = iota + 1 // deletes a key at once
	ConfirmingDelete                 // deletes it once no fill from before can be under way
	Flush                            // has all of it go: what is lacking is not kept
	ConfirmingFlush                  // the same, once no fill from before can be under way
)

// Command is one to be sent.
type Command struct {
	Kind  Kind
	Index replicatedlog.Index // of the purge; of a flush, up to where it goes
	Key   []byte
}

type flight struct {
	Command
	upTo replicatedlog.Index // entries after it that are no purges
	sent monotime.Instant
}

// Cache is one cache, as one control machine knows it. It is used by one goroutine at a time.
type Cache struct {
	Config
	cursor  Cursor
	log     replicatedlog.LogID // that all of the following are of
	first   replicatedlog.Index // first deletes are answered up to here
	sent1   replicatedlog.Index // and sent
	sent2   replicatedlog.Index // final ones are sent
	flights []flight            // at most Window
	tat     monotime.Instant
	asks    monotime.Instant    // from when on it may be presumed that nobody knows what is done
	emptied bool                // the first of two flushes was answered
	flushed monotime.Instant    // when it was sent
	flush   replicatedlog.Index // up to where it went
	skipped replicatedlog.Index // up to here first deletes were left out, as it was time for final ones
	fails   int
}

// NewCache has what its cursor says.
func NewCache(t Config, c Cursor, now monotime.Instant) *Cache {
	return &Cache{Config: t, cursor: c, log: c.Log, first: c.Done, sent1: c.Done, sent2: c.Done, asks: now.Add(othersBy)}
}

// Cursor is up to where purges are done.
func (c *Cache) Cursor() Cursor { return c.cursor }

// FirstDeleted is up to where each key was deleted at least once.
func (c *Cache) FirstDeleted() replicatedlog.Index {
	if c.done() < c.skipped {
		return c.done()
	}
	return max(c.first, c.done())
}

// done is the cursor in the log that there is.
func (c *Cache) done() replicatedlog.Index {
	if c.cursor.Log != c.log {
		return 0
	}
	return c.cursor.Done
}

// Flushing tells whether all of it has to go, or is going.
func (c *Cache) Flushing(log Log) bool {
	id, floor, _ := log.Position()
	return c.lacks(id, floor)
}

// OnListed says that the list has a process of the cache now. A later one may be elsewhere, and what was done since it began was done at the one
// before it: it gets all that its fills could bring, which is what was known since so long before the list last had the one before.
func (c *Cache) OnListed(now monotime.Instant, started Incarnation, t *ArrivalTimes) {
	if started < c.cursor.Started { // an older list, or a clock set back: what is done is done at the later one
		return
	}
	if started > c.cursor.Started {
		if c.cursor.Started = started; c.cursor.Log != 0 {
			c.cursor.Done = c.cursor.Sure
			c.first, c.sent1, c.sent2, c.skipped = c.done(), c.done(), c.done(), 0
		}
		c.OnDisconnect(now, 0) // what is in flight is to the process before
		c.emptied, c.fails = false, 0
	}
	if c.cursor.Log == t.log {
		c.cursor.Sure = max(c.cursor.Sure, t.NewestAt(now.Add(-NewsBy-c.LongestFill)))
	}
}

// MergeCursor takes what another control machine knows to be done at the same process of the cache: that does not become untrue.
func (c *Cache) MergeCursor(o Cursor) {
	if o.Log != 0 && o.Started == c.cursor.Started && (c.cursor.Log == 0 || o.Log == c.cursor.Log && o.Done > c.cursor.Done) {
		c.goOn(Cursor{o.Log, o.Started, o.Done, c.sure(o.Log)})
	}
}

// sure is the same of a log.
func (c *Cache) sure(log replicatedlog.LogID) replicatedlog.Index {
	if c.cursor.Log != log {
		return 0
	}
	return c.cursor.Sure
}

// of says which log there is. With another one nothing is sent or answered yet.
func (c *Cache) of(log replicatedlog.LogID) {
	if log != c.log {
		c.log, c.first, c.sent1, c.sent2, c.skipped, c.flights = log, 0, 0, 0, 0, nil
	}
}

// goOn has a cursor further on.
func (c *Cache) goOn(to Cursor) {
	c.of(to.Log)
	c.cursor = to
	c.first, c.sent1, c.sent2 = max(c.first, to.Done), max(c.sent1, to.Done), max(c.sent2, to.Done)
}

// lacks tells whether what is to be done can't be known: presume-purged, all of it has to go.
func (c *Cache) lacks(log replicatedlog.LogID, floor replicatedlog.Index) bool {
	return c.cursor.Log != log && (c.cursor.Log != 0 || floor > 0) || c.cursor.Done < floor
}

// Idle tells whether there is nothing to do, now or later, until there is more in the log.
func (c *Cache) Idle(log Log, t *ArrivalTimes) bool {
	id, floor, _ := log.Position()
	return id == 0 || c.cursor.Log == id && c.cursor.Done >= max(floor, t.Last())
}

// NextCommand is the command to send now, or when to ask again; a time of 0 is at the next entry or answer.
func (c *Cache) NextCommand(now monotime.Instant, log Log, t *ArrivalTimes, g *FlushLimiter) (cmd Command, is bool, again monotime.Instant) {
	id, floor, _ := log.Position()
	last := t.Last()
	if id == 0 || t.log != id {
		return cmd, false, 0
	}
	c.of(id)
	if len(c.flights) > 0 {
		again = c.flights[0].sent.Add(AnswerBy)
	}
	if len(c.flights) >= Window {
		return cmd, false, again
	}
	if c.tat = max(c.tat, now); c.tat > now.Add((Burst-1)*c.CommandInterval) {
		return cmd, false, sooner(again, c.tat.Add((together-Burst)*c.CommandInterval))
	}
	if c.lacks(id, floor) {
		if cmd, is, again = c.nextFlush(now, last, g, again); is || !c.emptied {
			return cmd, is, again
		}
	} else if c.emptied = false; c.cursor.Log == 0 {
		c.goOn(Cursor{Log: id, Started: c.cursor.Started}) // all that the log has ever had is kept
	}
	over := t.NewestAt(now.Add(-c.LongestFill)) // fills from before these are over
	if over > max(c.sent1, c.done()) && !c.emptied {
		c.skipped = over
	}
	for n := max(c.sent1, c.done(), over) + 1; n <= last; n++ {
		e, is := log.Entry(n)
		if !is {
			break
		}
		if c.sent1 = n; purge(e) {
			return c.send(now, FirstDelete, e), true, 0
		}
		c.pass(FirstDelete, n)
	}
	for n := c.sent2 + 1; n <= last && !c.emptied; n++ {
		e, is := log.Entry(n)
		if !is {
			break
		}
		if !purge(e) {
			c.sent2 = n
			c.pass(ConfirmingDelete, n)
			continue
		}
		had, _ := t.KnownAt(n)
		if at, is := log.RequestedAt(n); is { // it was published before that: what ordering took is no matter to fills
			had = min(had, at)
		}
		if had.Add(c.LongestFill) > now {
			return cmd, false, sooner(again, had.Add(c.LongestFill))
		}
		c.sent2 = n
		return c.send(now, ConfirmingDelete, e), true, 0
	}
	return cmd, false, again
}

// nextFlush has all of it go twice: at once, and once no fill from before can be under way.
func (c *Cache) nextFlush(now monotime.Instant, last replicatedlog.Index, g *FlushLimiter, again monotime.Instant) (cmd Command, is bool, at monotime.Instant) {
	for _, f := range c.flights {
		if f.Kind >= Flush {
			return cmd, false, again
		}
	}
	kind, ready := Flush, c.asks
	if c.emptied {
		kind, ready = ConfirmingFlush, c.flushed.Add(c.LongestFill)
	}
	if now < ready {
		return cmd, false, sooner(again, ready)
	}
	if kind == Flush {
		if is, at := g.pass(now); !is {
			return cmd, false, sooner(again, at)
		}
	}
	return c.send(now, kind, replicatedlog.Entry{Index: last}), true, 0
}

func sooner(a, b monotime.Instant) monotime.Instant {
	if a == 0 || b < a {
		return b
	}
	return a
}

// purge tells whether an entry is one that a cache can have something to do with: no command can be made of other keys, and none kept.
func purge(e replicatedlog.Entry) bool {
	if e.Kind != replicatedlog.Purge || len(e.Body) > replicatedlog.MaxKeyBytes {
		return false
	}
	for _, b := range e.Body {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return len(e.Body) > 0
}

// pass goes past an entry that is no purge, with the one before it.
func (c *Cache) pass(kind Kind, n replicatedlog.Index) {
	for i := len(c.flights) - 1; i >= 0; i-- {
		if c.flights[i].Kind == kind {
			c.flights[i].upTo = n
			return
		}
	}
	if kind == ConfirmingDelete {
		c.cursor.Done = n
	}
	c.first = max(c.first, n)
}

func (c *Cache) send(now monotime.Instant, kind Kind, e replicatedlog.Entry) Command {
	cmd := Command{kind, e.Index, e.Body}
	c.flights = append(c.flights, flight{cmd, e.Index, now})
	c.tat = c.tat.Add(c.CommandInterval)
	return cmd
}

// AwaitingAnswer is the command whose answer comes next; false for none.
func (c *Cache) AwaitingAnswer() (Command, bool) {
	if len(c.flights) == 0 {
		return Command{}, false
	}
	return c.flights[0].Command, true
}

// OnAnswer takes the cache's word that the command due is carried out.
func (c *Cache) OnAnswer(log Log, t *ArrivalTimes) {
	if len(c.flights) == 0 {
		return
	}
	f := c.flights[0]
	c.flights = c.flights[1:]
	c.fails = 0
	switch f.Kind {
	case FirstDelete:
		c.first = max(c.first, f.upTo)
	case ConfirmingDelete:
		c.cursor.Done = max(c.cursor.Done, f.upTo)
		c.first = max(c.first, f.upTo)
	case Flush:
		c.emptied, c.flush, c.flushed = true, f.Index, f.sent
		c.first, c.sent1 = max(c.first, c.flush), max(c.sent1, c.flush)
	case ConfirmingFlush:
		if id, floor, _ := log.Position(); id == t.log && c.lacks(id, floor) {
			c.goOn(Cursor{id, c.cursor.Started, max(c.flush, t.NewestAt(f.sent.Add(-c.LongestFill))), c.sure(id)})
		}
		c.emptied = false
	}
}

// AnswerOverdue tells whether an answer is overdue.
func (c *Cache) AnswerOverdue(now monotime.Instant) bool {
	return len(c.flights) > 0 && now >= c.flights[0].sent.Add(AnswerBy)
}

// OnDisconnect says that a connection ended, or never came up: what was not answered is sent again, after a rest. Chance is from 0 up to 1.
func (c *Cache) OnDisconnect(now monotime.Instant, chance float64) (rest time.Duration) {
	for _, f := range c.flights {
		if f.Kind == Flush {
			c.asks = now.Add(flushAgain)
		}
	}
	c.flights = nil
	c.sent1, c.sent2 = max(c.first, c.done()), c.done()
	span := min(mostRest, firstRest<<min(c.fails, 8))
	c.fails = min(c.fails+1, bits.UintSize)
	return span/2 + time.Duration(chance*float64(span/2))
}

// Overdue counts entries that should be done by now, with so long a reserve.
func (c *Cache) Overdue(now monotime.Instant, t *ArrivalTimes, reserve time.Duration) uint64 {
	due := t.NewestAt(now.Add(-c.LongestFill - reserve))
	if c.cursor.Log != t.log {
		return uint64(due)
	}
	return uint64(max(due, c.cursor.Done) - c.cursor.Done)
}
