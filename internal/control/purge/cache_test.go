package purge

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// A purge's key is deleted at once, but the purge is done only with the answer to the second delete, sent once every
// fill that could store the old value is over. Entries that need no command are skipped.
func TestPurgeIsDoneWithTheConfirmingDelete(t *testing.T) {
	b := newBench(t)
	b.publish("a", "b")
	b.log.add(replicatedlog.Config, "c")
	b.publish("a key", "a\r\nflush_all") // keys that cannot be sent to a cache
	b.expect("at once", "11 12 ", 0)
	b.answer(2)
	if b.QuickDeleted() != 5 {
		t.Errorf("quick deletes are answered up to %d, want 5", b.QuickDeleted())
	}
	b.wait(testConfig.MaxFillTime - 1)
	b.expect("while a fill may be under way", "", 0)
	b.wait(1)
	b.expect("then", "21 22 ", 0)
	b.answer(1)
	b.expect("one answer", "", 1)
	b.answer(1)
	b.expect("both answers", "", 5)
	b.publish("a")
	b.expect("a key purged before", "16 ", 5)
}

// Ordering a purge takes time. The server that was asked to order it counts the longest fill from that request, since
// the purge was published before; other servers count from its arrival.
func TestFillsAreCountedFromTheRequest(t *testing.T) {
	b := newBench(t)
	b.log.requestedAt = map[replicatedlog.Index]monotime.Instant{1: b.now, 3: b.now}
	b.wait(2 * time.Second)
	b.publish("a", "b", "c")
	b.expect("at once", "11 12 13 ", 0)
	b.answer(3)
	b.wait(testConfig.MaxFillTime - 2*time.Second)
	b.expect("fills from before the first are over", "21 ", 0)
	b.answer(1)
	b.wait(2*time.Second - 1)
	b.expect("those from before the second are not, and the third waits for it", "", 1)
	b.wait(1)
	b.expect("then", "22 23 ", 1)
}

// Commands that were unanswered when the connection broke are sent again over the next one, after a backoff that grows
// to a maximum. A cache that does not answer in time is detected.
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
		t.Errorf("first delays %v", delays)
	}
	if delays[6] < maxReconnectDelay*9/10 || delays[6] > maxReconnectDelay {
		t.Errorf("later delays %v", delays)
	}
	if least := b.OnDisconnect(b.now, 0); least != maxReconnectDelay/2 {
		t.Errorf("shortest delay %v", least)
	}
	b.expect("again", "12 13 ", 0)
	b.answer(2)
	b.wait(testConfig.MaxFillTime)
	b.expect("confirming deletes", "21 22 23 ", 0)
	b.answer(2)
	b.OnDisconnect(b.now, 0)
	b.expect("the last confirming delete again", "23 ", 2)
	b.wait(AnswerTimeout - 1)
	if b.AnswerOverdue(b.now) {
		t.Error("answer is overdue too early")
	}
	b.wait(1)
	if !b.AnswerOverdue(b.now) {
		t.Error("answer is not overdue after the timeout")
	}
}

// With three thousand purges at once, commands in flight are bounded, a burst is sent at once, and the rest is paced.
func TestBurstIsBoundedAndPaced(t *testing.T) {
	b := newBench(t)
	for i := range 3000 {
		b.log.add(replicatedlog.Purge, fmt.Sprint("k", i))
	}
	b.record()
	b.sendAll()
	if len(b.inFlight) != MaxInFlight {
		t.Errorf("%d commands in flight, want MaxInFlight", len(b.inFlight))
	}
	sent := MaxInFlight
	for len(b.inFlight) > 0 {
		b.answer(MaxInFlight)
		b.sendAll()
		sent += len(b.inFlight)
	}
	if sent != MaxBurst {
		t.Errorf("%d commands sent at once, want MaxBurst", sent)
	}
	_, ready, at := b.NextCommand(b.now, &b.log, &b.arrivals, &b.limiter)
	if ready || at != b.now.Add(pacedBatchSize*testConfig.CommandInterval) {
		t.Errorf("command ready: %t; ask again in %v", ready, at.Since(b.now))
	}
	b.wait(100 * testConfig.CommandInterval)
	b.sendAll()
	if len(b.inFlight) != 100 {
		t.Errorf("%d paced commands, want 100", len(b.inFlight))
	}
}

// After a cache was unreachable for longer than a fill takes, old purges need only the confirming delete, and new ones
// need both.
func TestUnreachableCacheContinuesFromItsCursor(t *testing.T) {
	b := newBench(t)
	b.publish("a")
	b.sendAll()
	b.wait(time.Minute)
	b.publish("b")
	b.OnDisconnect(b.now, 0)
	b.expect("old purges once, as their fills are over, and new ones at once", "12 21 ", 0)
	b.answer(1)
	if b.QuickDeleted() != 0 {
		t.Errorf("quick deletes are done up to %d, though an earlier key was never deleted", b.QuickDeleted())
	}
	b.answer(1)
	b.expect("", "", 1)
	if b.Overdue(b.now, &b.arrivals, 0) != 0 || b.Overdue(b.now.Add(testConfig.MaxFillTime), &b.arrivals, 0) != 1 {
		t.Error("wrong number of overdue purges")
	}
}

// If entries that a cache lacks are no longer kept, it is flushed, and flushed again after the longest fill, as a fill
// may have stored an old value. Other servers get time to report their cursors first. Unanswered flushes are retried
// with a delay, and flushes of several caches are spaced.
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
			b.expect("waiting for the cursors of other servers", "", cursor.Done)
			b.wait(peerCursorWait)
			b.expect("first flush", "F3 ", cursor.Done)
			b.publish("d")
			b.answer(1)
			b.expect("new purges continue", "14 ", cursor.Done)
			b.answer(1)
			b.wait(testConfig.MaxFillTime - 1)
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

// expectFlushesSpaced checks other caches behind the floor: one purged by another server, one whose flush was not
// answered, and one for which the limiter has no slot yet.
func expectFlushesSpaced(t *testing.T, b *bench) {
	t.Helper()
	merged := NewCache(testConfig, Cursor{}, b.now)
	merged.MergeCursor(Cursor{Log: 7, Done: 4})
	if merged.Flushing(&b.log) || merged.Cursor().Done != 4 {
		t.Error("flushed, although another server has done the purges")
	}
	unanswered := NewCache(testConfig, Cursor{}, b.now.Add(-peerCursorWait))
	unanswered.send(b.now, Command{Kind: Flush})
	unanswered.OnDisconnect(b.now, 0)
	_, ready, at := unanswered.NextCommand(b.now, &b.log, &b.arrivals, &FlushLimiter{})
	if ready || at != b.now.Add(flushRetryDelay) {
		t.Error("unanswered flush is retried at once")
	}
	another := NewCache(testConfig, Cursor{}, b.now.Add(-peerCursorWait))
	_, ready, at = another.NextCommand(b.now, &b.log, &b.arrivals, &b.limiter)
	if ready || at != b.limiter.next {
		t.Error("second flush does not wait for the limiter")
	}
}

// After all control servers lost their disks, a new empty log is created. Progress in the old log does not count: the
// cache is flushed, and its cursor must not be ahead of the new log.
func TestCursorIsNotAheadOfANewLog(t *testing.T) {
	b := newBench(t)
	b.Cache = NewCache(testConfig, Cursor{Log: 8, Done: 9}, b.now.Add(-peerCursorWait))
	b.record()
	b.expect("flush", "F0 ", 9)
	b.answer(1)
	b.wait(testConfig.MaxFillTime)
	b.expect("second flush", "L0 ", 9)
	b.answer(1)
	b.expect("", "", 0)
	b.publish("a")
	b.expect("the first purge of the new log", "11 ", 0)
}

// A cache is restarted, and the list names the new process only later. Purges done in between were done at the old
// process, and fills of old values may reach the new one, so these purges are repeated. An older list, or another
// server's cursor of the old process, has no effect.
func TestRestartedCacheGetsRecentPurgesAgain(t *testing.T) {
	b := newBench(t)
	b.OnListed(b.now, 5, &b.arrivals)
	b.publish("a")
	b.expect("no answer while the cache is down", "11 ", 0)
	b.wait(maxListLag + testConfig.MaxFillTime)
	b.OnListed(b.now, 5, &b.arrivals)
	b.publish("b") // a fill from before may still reach the new process
	b.expect("still down", "12 21 ", 0)
	b.wait(time.Second)
	b.OnListed(b.now, 6, &b.arrivals)
	b.expect("purges from before all its fills are left out", "12 ", 1)
	b.answer(1)
	b.wait(testConfig.MaxFillTime)
	b.expect("the others are not", "22 ", 1)
	b.answer(1)
	b.publish("c")
	b.OnListed(b.now, 5, &b.arrivals)
	b.expect("an older list", "13 ", 2)
	if b.Cursor().Incarnation != 6 {
		t.Error("older process accepted as a later one")
	}
	b.MergeCursor(Cursor{Log: 7, Incarnation: 5, Done: 3})
	if b.Cursor().Done != 2 {
		t.Error("cursor of another process adopted")
	}
	b.wait(2*maxListLag + testConfig.MaxFillTime)
	b.OnListed(b.now, 5, &b.arrivals)
	b.OnListed(b.now, 7, &b.arrivals)
	if b.Cursor().Done != 1 { // the older list had no effect; recent purges were done at the old process
		t.Errorf("done up to %d", b.Cursor().Done)
	}
	b.expect("recent purges again", "22 23 ", 1)
	saved := b.Cursor()
	b.Cache = NewCache(testConfig, saved, b.now) // control server killed and restarted with its disk
	b.OnListed(b.now, 8, &b.arrivals)
	if b.Cursor().Done != saved.SafeAfterRestart {
		t.Errorf("cursor %+v after a restart with %+v", b.Cursor(), saved)
	}
}
