package purge

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// A purge is deleted at once, and counts as done only with the answer to the second delete, once every fill that
// could put the old value back is over. Entries that no command can be made of are passed.
func TestPurgeIsDoneWithTheConfirmingDelete(t *testing.T) {
	b := newBench(t)
	b.publish("a", "b")
	b.log.add(replicatedlog.Config, "c")
	b.publish("a key", "a\r\nflush_all") // of these no command can be made
	b.expect("at once", "11 12 ", 0)
	b.answer(2)
	if b.QuickDeleted() != 5 {
		t.Errorf("first %d", b.QuickDeleted())
	}
	b.wait(testConfig.LongestFill - 1)
	b.expect("while a fill may be under way", "", 0)
	b.wait(1)
	b.expect("then", "21 22 ", 0)
	b.answer(1)
	b.expect("one answer", "", 1)
	b.answer(1)
	b.expect("both", "", 5)
	b.publish("a")
	b.expect("what is purged already", "16 ", 5)
}

// Ordering a purge takes a while. The server that was asked to have it ordered knows that it was published before
// that, and counts the longest fill from then on; others count from its arrival.
func TestFillsAreCountedFromTheRequest(t *testing.T) {
	b := newBench(t)
	b.log.requestedAt = map[replicatedlog.Index]monotime.Instant{1: b.now, 3: b.now}
	b.wait(2 * time.Second)
	b.publish("a", "b", "c")
	b.expect("at once", "11 12 13 ", 0)
	b.answer(3)
	b.wait(testConfig.LongestFill - 2*time.Second)
	b.expect("the fills of the first are over", "21 ", 0)
	b.answer(1)
	b.wait(2*time.Second - 1)
	b.expect("those of the second are not, and the third waits for it", "", 1)
	b.wait(1)
	b.expect("then", "22 23 ", 1)
}

// Connections break before commands are answered. They are sent again over the next one, after a backoff that grows
// to a maximum; and a cache that does not answer in time is noticed.
func TestUnansweredCommandsAreSentAgain(t *testing.T) {
	b := newBench(t)
	b.publish("a", "b", "c")
	b.expect("first", "11 12 13 ", 0)
	b.answer(1)
	var delays []time.Duration
	for range 7 {
		delays = append(delays, b.OnDisconnect(b.now, 0.999999))
	}
	if delays[0] > firstReconnectDelay || delays[1] < firstReconnectDelay {
		t.Errorf("delays at first %v", delays)
	}
	if delays[6] < maxReconnectDelay*9/10 || delays[6] > maxReconnectDelay {
		t.Errorf("delays later %v", delays)
	}
	if least := b.OnDisconnect(b.now, 0); least != maxReconnectDelay/2 {
		t.Errorf("the least delay is %v", least)
	}
	b.expect("again", "12 13 ", 0)
	b.answer(2)
	b.wait(testConfig.LongestFill)
	b.expect("final", "21 22 23 ", 0)
	b.answer(2)
	b.OnDisconnect(b.now, 0)
	b.expect("the last final again", "23 ", 2)
	b.wait(AnswerTimeout - 1)
	if b.AnswerOverdue(b.now) {
		t.Error("overdue too early")
	}
	b.wait(1)
	if !b.AnswerOverdue(b.now) {
		t.Error("not overdue")
	}
}

// Three thousand purges at once: commands in flight are bounded, a burst goes at once, and the rest by the pace.
func TestBurstIsBoundedAndPaced(t *testing.T) {
	b := newBench(t)
	for i := range 3000 {
		b.log.add(replicatedlog.Purge, fmt.Sprint("k", i))
	}
	b.record()
	b.sendAll()
	if len(b.inFlight) != MaxInFlight {
		t.Errorf("%d in flight", len(b.inFlight))
	}
	sent := MaxInFlight
	for len(b.inFlight) > 0 {
		b.answer(MaxInFlight)
		b.sendAll()
		sent += len(b.inFlight)
	}
	if sent != MaxBurst {
		t.Errorf("%d went at once", sent)
	}
	_, ready, at := b.NextCommand(b.now, &b.log, &b.arrivals, &b.limiter)
	if ready || at != b.now.Add(pacedBatchSize*testConfig.CommandInterval) {
		t.Errorf("%t, %v later", ready, at.Since(b.now))
	}
	b.wait(100 * testConfig.CommandInterval)
	b.sendAll()
	if len(b.inFlight) != 100 {
		t.Errorf("%d by the pace", len(b.inFlight))
	}
}

// A cache was unreachable for longer than a fill takes. Old purges need only the confirming delete, new ones both.
func TestUnreachableCacheContinuesFromItsCursor(t *testing.T) {
	b := newBench(t)
	b.publish("a")
	b.sendAll()
	b.wait(time.Minute)
	b.publish("b")
	b.OnDisconnect(b.now, 0)
	b.expect("old ones once, as their fills are over, and what is new at once", "12 21 ", 0)
	b.answer(1)
	if b.QuickDeleted() != 0 {
		t.Errorf("first %d, though the one before was never deleted", b.QuickDeleted())
	}
	b.answer(1)
	b.expect("", "", 1)
	if b.Overdue(b.now, &b.arrivals, 0) != 0 || b.Overdue(b.now.Add(testConfig.LongestFill), &b.arrivals, 0) != 1 {
		t.Error("late")
	}
}

// What a cache lacks is no longer kept, so the keys are not known: it is flushed at once and, as a fill may have put
// old values back, once more after the longest fill. Other servers are given time to say that they have done it; a
// flush without an answer, and another cache's, do not follow at once.
func TestCacheBehindTheFloorIsFlushedTwice(t *testing.T) {
	for name, cursor := range map[string]Cursor{
		"behind":      {Log: 7, Done: 1},
		"unknown":     {},
		"another log": {Log: 8, Done: 9},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.Cache = NewCache(testConfig, cursor, b.now)
			b.publish("a", "b", "c")
			b.log.floor = 2
			b.expect("others are waited for", "", cursor.Done)
			b.wait(peerCursorWait)
			b.expect("first flush", "F3 ", cursor.Done)
			b.publish("d")
			b.answer(1)
			b.expect("new purges go on", "14 ", cursor.Done)
			b.answer(1)
			b.wait(testConfig.LongestFill - 1)
			b.expect("fills under way", "", cursor.Done)
			b.wait(1)
			b.expect("second flush", "L4 ", cursor.Done)
			b.answer(1)
			if done := b.Cursor(); done.Log != 7 || done.Done < 3 || b.Flushing(&b.log) {
				t.Errorf("%+v", done)
			}
			expectFlushesSpaced(t, b)
		})
	}
}

// expectFlushesSpaced looks at other caches that are behind the floor: one whose purges another server has done, one
// whose flush was not answered, and one for which the limiter has no slot yet.
func expectFlushesSpaced(t *testing.T, b *bench) {
	t.Helper()
	merged := NewCache(testConfig, Cursor{}, b.now)
	merged.MergeCursor(Cursor{Log: 7, Done: 4})
	if merged.Flushing(&b.log) || merged.Cursor().Done != 4 {
		t.Error("flushed, although another server has done it")
	}
	unanswered := NewCache(testConfig, Cursor{}, b.now.Add(-peerCursorWait))
	unanswered.send(b.now, Command{Kind: Flush})
	unanswered.OnDisconnect(b.now, 0)
	_, ready, at := unanswered.NextCommand(b.now, &b.log, &b.arrivals, &FlushLimiter{})
	if ready || at != b.now.Add(flushRetryDelay) {
		t.Error("a flush without an answer is repeated at once")
	}
	another := NewCache(testConfig, Cursor{}, b.now.Add(-peerCursorWait))
	_, ready, at = another.NextCommand(b.now, &b.log, &b.arrivals, &b.limiter)
	if ready || at != b.limiter.next {
		t.Error("two flushes at once")
	}
}

// All control servers lost their disks, and a new log without entries begins. What was done of the old one says
// nothing: the cache is flushed, and the cursor is not ahead of the new log.
func TestCursorIsNotAheadOfANewLog(t *testing.T) {
	b := newBench(t)
	b.Cache = NewCache(testConfig, Cursor{Log: 8, Done: 9}, b.now.Add(-peerCursorWait))
	b.record()
	b.expect("flush", "F0 ", 9)
	b.answer(1)
	b.wait(testConfig.LongestFill)
	b.expect("again", "L0 ", 9)
	b.answer(1)
	b.expect("", "", 0)
	b.publish("a")
	b.expect("the first of it", "11 ", 0)
}

// A cache is restarted, and the list names the new process only later. Purges that were done meanwhile were done at
// the old process, and fills of old values may reach the new one: they are done again. An older list, or another
// server's cursor of the old process, changes nothing.
func TestRestartedCacheGetsRecentPurgesAgain(t *testing.T) {
	b := newBench(t)
	b.OnListed(b.now, 5, &b.arrivals)
	b.publish("a")
	b.expect("it is down, and nothing answers", "11 ", 0)
	b.wait(maxListLag + testConfig.LongestFill)
	b.OnListed(b.now, 5, &b.arrivals)
	b.publish("b") // a fill from before may be under way to the new one
	b.expect("still", "12 21 ", 0)
	b.wait(time.Second)
	b.OnListed(b.now, 6, &b.arrivals)
	b.expect("what its fills can't bring is left out", "12 ", 1)
	b.answer(1)
	b.wait(testConfig.LongestFill)
	b.expect("and what they can is not", "22 ", 1)
	b.answer(1)
	b.publish("c")
	b.OnListed(b.now, 5, &b.arrivals)
	b.expect("an older list", "13 ", 2)
	if b.Cursor().Started != 6 {
		t.Error("an older process is taken for a later one")
	}
	b.MergeCursor(Cursor{Log: 7, Started: 5, Done: 3})
	if b.Cursor().Done != 2 {
		t.Error("another process's cursor is adopted")
	}
	b.wait(2*maxListLag + testConfig.LongestFill)
	b.OnListed(b.now, 5, &b.arrivals)
	b.OnListed(b.now, 7, &b.arrivals)
	if b.Cursor().Done != 1 { // the older list said nothing, and what was done lately was done at the process before
		t.Errorf("done up to %d", b.Cursor().Done)
	}
	b.expect("all of it once more", "22 23 ", 1)
	was := b.Cursor()
	b.Cache = NewCache(testConfig, was, b.now) // killed, and back with its disk
	b.OnListed(b.now, 8, &b.arrivals)
	if b.Cursor().Done != was.SafeAfterRestart {
		t.Errorf("%+v after %+v", b.Cursor(), was)
	}
}
