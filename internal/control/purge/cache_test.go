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
	f := newFixture(t)
	f.publish("a", "b")
	f.log.add(replicatedlog.Config, "c")
	f.publish("a key", "a\r\nflush_all") // keys that cannot be sent to a cache
	f.expect("at once", "11 12 ", 0)
	f.answer(2)
	if f.QuickDeleted() != 5 {
		t.Errorf("quick deletes are answered up to %d, want 5", f.QuickDeleted())
	}
	f.wait(testConfig.MaxFillTime - 1)
	f.expect("while a fill may be under way", "", 0)
	f.wait(1)
	f.expect("after the longest fill", "21 22 ", 0)
	f.answer(1)
	f.expect("after one answer", "", 1)
	f.answer(1)
	f.expect("after both answers", "", 5)
	f.publish("a")
	f.expect("a key purged before", "16 ", 5)
}

// Ordering a purge takes time. The server that was asked to order it counts the longest fill from that request, since
// the purge was published before; other servers count from its arrival.
func TestFillsAreCountedFromTheRequest(t *testing.T) {
	f := newFixture(t)
	f.log.requestedAt = map[replicatedlog.Index]monotime.Instant{1: f.now, 3: f.now}
	f.wait(2 * time.Second)
	f.publish("a", "b", "c")
	f.expect("at once", "11 12 13 ", 0)
	f.answer(3)
	f.wait(testConfig.MaxFillTime - 2*time.Second)
	f.expect("fills from before the first are over", "21 ", 0)
	f.answer(1)
	f.wait(2*time.Second - 1)
	f.expect("those from before the second are not, and the third waits for it", "", 1)
	f.wait(1)
	f.expect("all fills are over", "22 23 ", 1)
}

// Commands that were unanswered when the connection broke are sent again over the next one, after a backoff that grows
// to a maximum. A cache that does not answer in time is detected.
func TestUnansweredCommandsAreSentAgain(t *testing.T) {
	f := newFixture(t)
	f.publish("a", "b", "c")
	f.expect("first", "11 12 13 ", 0)
	f.answer(1)
	var delays []time.Duration
	for range 7 {
		delays = append(delays, f.OnDisconnect(f.now, 0.999999))
	}
	if delays[0] > firstReconnectDelay || delays[1] < firstReconnectDelay {
		t.Errorf("first delays %v", delays)
	}
	if delays[6] < maxReconnectDelay*9/10 || delays[6] > maxReconnectDelay {
		t.Errorf("later delays %v", delays)
	}
	if least := f.OnDisconnect(f.now, 0); least != maxReconnectDelay/2 {
		t.Errorf("shortest delay %v", least)
	}
	f.expect("again", "12 13 ", 0)
	f.answer(2)
	f.wait(testConfig.MaxFillTime)
	f.expect("confirming deletes", "21 22 23 ", 0)
	f.answer(2)
	f.OnDisconnect(f.now, 0)
	f.expect("the last confirming delete again", "23 ", 2)
	f.wait(AnswerTimeout - 1)
	if f.AnswerOverdue(f.now) {
		t.Error("answer is overdue too early")
	}
	f.wait(1)
	if !f.AnswerOverdue(f.now) {
		t.Error("answer is not overdue after the timeout")
	}
}

// With three thousand purges at once, commands in flight are bounded, a burst is sent at once, and the rest is paced.
func TestBurstIsBoundedAndPaced(t *testing.T) {
	f := newFixture(t)
	for i := range 3000 {
		f.log.add(replicatedlog.Purge, fmt.Sprint("k", i))
	}
	f.record()
	f.sendAll()
	if len(f.inFlight) != MaxInFlight {
		t.Errorf("%d commands in flight, want MaxInFlight", len(f.inFlight))
	}
	sent := MaxInFlight
	for len(f.inFlight) > 0 {
		f.answer(MaxInFlight)
		f.sendAll()
		sent += len(f.inFlight)
	}
	if sent != MaxBurst {
		t.Errorf("%d commands sent at once, want MaxBurst", sent)
	}
	_, ready, at := f.NextCommand(f.now, &f.log, &f.arrivals, &f.limiter)
	if ready || at != f.now.Add(pacedBatchSize*testConfig.CommandInterval) {
		t.Errorf("command ready: %t; ask again in %v", ready, at.Since(f.now))
	}
	f.wait(100 * testConfig.CommandInterval)
	f.sendAll()
	if len(f.inFlight) != 100 {
		t.Errorf("%d paced commands, want 100", len(f.inFlight))
	}
}

// After a cache was unreachable for longer than a fill takes, old purges need only the confirming delete, and new ones
// need both.
func TestUnreachableCacheContinuesFromItsCursor(t *testing.T) {
	f := newFixture(t)
	f.publish("a")
	f.sendAll()
	f.wait(time.Minute)
	f.publish("b")
	f.OnDisconnect(f.now, 0)
	f.expect("old purges once, as their fills are over, and new ones at once", "12 21 ", 0)
	f.answer(1)
	if f.QuickDeleted() != 0 {
		t.Errorf("quick deletes are done up to %d, though an earlier key was never deleted", f.QuickDeleted())
	}
	f.answer(1)
	f.expect("after the answer to the confirming delete", "", 1)
	if f.Overdue(f.now, &f.arrivals, 0) != 0 || f.Overdue(f.now.Add(testConfig.MaxFillTime), &f.arrivals, 0) != 1 {
		t.Error("wrong number of overdue purges")
	}
}

// If the log no longer retains entries that a cache lacks, the cache is flushed, and flushed again after the longest
// fill, as a fill may have stored an old value. Other servers get time to report their cursors first. Unanswered
// flushes are retried with a delay, and flushes of several caches are spaced.
func TestCacheBehindTheFloorIsFlushedTwice(t *testing.T) {
	for name, cursor := range map[string]Cursor{
		"behind":      {Log: 7, Done: 1},
		"unknown":     {},
		"another log": {Log: 8, Done: 9},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.Cache = NewCache(testConfig, cursor, f.now)
			f.publish("a", "b", "c")
			f.log.floor = 2
			f.expect("waiting for the cursors of other servers", "", cursor.Done)
			f.wait(peerCursorWait)
			f.expect("first flush", "F3 ", cursor.Done)
			f.publish("d")
			f.answer(1)
			f.expect("new purges continue", "14 ", cursor.Done)
			f.answer(1)
			f.wait(testConfig.MaxFillTime - 1)
			f.expect("fills under way", "", cursor.Done)
			f.wait(1)
			f.expect("second flush", "L4 ", cursor.Done)
			f.answer(1)
			if cursor := f.Cursor(); cursor.Log != 7 || cursor.Done < 3 || f.Flushing(&f.log) {
				t.Errorf("after the second flush: flushing %t, cursor %+v", f.Flushing(&f.log), cursor)
			}
			expectFlushesSpaced(t, f)
		})
	}
}

// expectFlushesSpaced checks other caches behind the floor: one purged by another server, one whose flush was not
// answered, and one for which the limiter has no slot yet.
func expectFlushesSpaced(t *testing.T, f *fixture) {
	t.Helper()
	merged := NewCache(testConfig, Cursor{}, f.now)
	merged.MergeCursor(Cursor{Log: 7, Done: 4})
	if merged.Flushing(&f.log) || merged.Cursor().Done != 4 {
		t.Error("flushed, although another server has done the purges")
	}
	unanswered := NewCache(testConfig, Cursor{}, f.now.Add(-peerCursorWait))
	unanswered.markSent(f.now, Command{Kind: Flush})
	unanswered.OnDisconnect(f.now, 0)
	_, ready, at := unanswered.NextCommand(f.now, &f.log, &f.arrivals, &FlushLimiter{})
	if ready || at != f.now.Add(flushRetryDelay) {
		t.Error("unanswered flush is retried at once")
	}
	another := NewCache(testConfig, Cursor{}, f.now.Add(-peerCursorWait))
	_, ready, at = another.NextCommand(f.now, &f.log, &f.arrivals, &f.limiter)
	if ready || at != f.limiter.next {
		t.Error("second flush does not wait for the limiter")
	}
}

// A new log that replaces the old one between the two flushes has indexes of its own. The second flush must not count
// more of its purges as done than it has, or the next ones would not be carried out.
func TestLogReplacedBetweenFlushesCountsNoLaterPurgeAsDone(t *testing.T) {
	f := newFixture(t)
	f.Cache = NewCache(testConfig, Cursor{Log: 7, Done: 1}, f.now)
	f.publish("a", "b", "c", "d")
	f.log.floor = 2
	f.wait(peerCursorWait)
	f.expect("first flush", "F4 ", 1)
	f.answer(1)

	f.log = testLog{id: 8}
	f.publish("x")
	f.sendAll()
	f.wait(testConfig.MaxFillTime)
	for f.sendAll() != "" || len(f.inFlight) > 0 {
		f.answer(len(f.inFlight))
	}
	if cursor := f.Cursor(); cursor.Log == 8 && cursor.Done > f.log.last() {
		t.Errorf("cursor %+v, but the new log ends at %d", cursor, f.log.last())
	}
}

// replaceLog replaces the log by a new one with another id and one purge.
func (f *fixture) replaceLog(id replicatedlog.LogID) {
	f.log = testLog{id: id}
	f.publish("x")
}

// expectBothFlushes checks that the cache is flushed twice for a new log with one purge, and that its cursor is in that
// log only then. The next purge needs both deletes.
func (f *fixture) expectBothFlushes() {
	f.t.Helper()
	done := f.Cursor().Done
	f.expect("first flush", "F1 ", done)
	f.answer(1)
	f.wait(testConfig.MaxFillTime - 1)
	f.expect("fills under way", "", done)
	f.wait(1)
	f.expect("second flush", "L1 ", done)
	if f.Cursor().Log == f.log.id {
		f.t.Errorf("before the answer to the second flush: cursor %+v", f.Cursor())
	}
	f.answer(1)
	f.publish("y")
	f.expect("the next purge", "12 ", 1)
	f.answer(1)
	f.wait(testConfig.MaxFillTime)
	f.expect("fills over", "22 ", 1)
	f.answer(1)
	if cursor := f.Cursor(); cursor.Log != f.log.id || cursor.Done != 2 || f.Flushing(&f.log) {
		f.t.Errorf("at the end: flushing %t, cursor %+v", f.Flushing(&f.log), cursor)
	}
}

// flushStage is how far the flushes for the first log are when another one replaces it.
type flushStage int

const (
	firstInFlight flushStage = iota
	firstAnswered
	secondInFlight
	flushStages
)

// startFlushes carries out the flushes for the first log up to a stage.
func (f *fixture) startFlushes(cursor Cursor, stage flushStage) {
	f.t.Helper()
	f.Cache = NewCache(testConfig, cursor, f.now.Add(-peerCursorWait))
	f.publish("a", "b", "c", "d")
	f.log.floor = 2
	f.expect("first flush", "F4 ", cursor.Done)
	if stage >= firstAnswered {
		f.answer(1)
	}
	if stage >= secondInFlight {
		f.wait(testConfig.MaxFillTime)
		f.expect("second flush", "L4 ", cursor.Done)
	}
}

var flushedCursors = map[string]Cursor{
	"behind":      {Log: 7, Done: 1},
	"unknown":     {},
	"another log": {Log: 6, Done: 9},
}

// A flush that was sent or answered before the log is replaced does not count for the new log, whether it is answered
// before or after the server switches to the new log, and also if that log is replaced as well.
func TestFlushesOfAReplacedLogDoNotCount(t *testing.T) {
	for name, cursor := range flushedCursors {
		for stage := range flushStages {
			for _, answeredLate := range []bool{false, true} {
				for _, logs := range [][]replicatedlog.LogID{{8}, {8, 9}} {
					t.Run(fmt.Sprint(name, stage, answeredLate, logs), func(t *testing.T) {
						f := newFixture(t)
						f.startFlushes(cursor, stage)
						for _, id := range logs {
							f.replaceLog(id)
							if answeredLate {
								f.expect("while a flush is in flight, or the limiter has no slot", "", cursor.Done)
							}
						}
						f.answer(len(f.inFlight))
						f.wait(f.limiter.Interval)
						f.expectBothFlushes()
					})
				}
			}
		}
	}
}

// The progress of a flush is not stored: after a restart of the control server, which has the cursor only, the flushes
// start over. That the cache has to be flushed is not forgotten.
func TestFlushesStartOverAfterARestartOfTheServer(t *testing.T) {
	for name, cursor := range flushedCursors {
		for stage := range flushStages {
			t.Run(fmt.Sprint(name, stage), func(t *testing.T) {
				f := newFixture(t)
				f.startFlushes(cursor, stage)
				f.Cache = NewCache(testConfig, f.Cursor(), f.now)
				f.wait(f.limiter.Interval)
				f.expect("first flush again", "F4 ", cursor.Done)
				f.answer(1)
				f.replaceLog(8)
				f.expect("the limiter has no slot", "", cursor.Done)
				f.Cache = NewCache(testConfig, f.Cursor(), f.now)
				f.wait(f.limiter.Interval)
				f.expectBothFlushes()
			})
		}
	}
}

// Commands of the replaced log may still be unanswered when the flush for the new log is sent over the same connection.
// Their answers come first and must not be taken for that of the flush.
func TestAnswersToAReplacedLogAreNotTakenForLaterOnes(t *testing.T) {
	f := newFixture(t)
	f.limiter = FlushLimiter{}
	f.startFlushes(Cursor{Log: 7, Done: 1}, firstAnswered)
	f.publish("e")
	f.expect("quick delete", "15 ", 1)
	f.replaceLog(8)
	f.expect("flush for the new log", "F1 ", 1)
	f.answer(1)
	if due, awaiting := f.AwaitingAnswer(); !awaiting || due.Kind != Flush || f.QuickDeleted() != 0 {
		t.Errorf("awaiting %t %+v, quick deletes up to %d", awaiting, due, f.QuickDeleted())
	}
	f.wait(testConfig.MaxFillTime)
	f.expect("the flush is not answered", "", 1)
	f.answer(1)
	f.expect("the flush is answered", "L1 ", 1)
}

// Other control servers may report cursors of the replaced log for a while. They do not disturb the flushes for the new
// one, and count if the server follows the replaced log again.
func TestCursorOfAReplacedLogDoesNotDisturbFlushes(t *testing.T) {
	f := newFixture(t)
	f.startFlushes(Cursor{Log: 7, Done: 1}, firstAnswered)
	oldLog := f.log
	f.replaceLog(8)
	f.wait(f.limiter.Interval)
	f.expect("first flush", "F1 ", 1)
	f.MergeCursor(Cursor{Log: 7, Done: 2})
	f.answer(1)
	f.MergeCursor(Cursor{Log: 7, Done: 3})
	f.wait(testConfig.MaxFillTime)
	f.expect("second flush", "L1 ", 3)
	f.OnDisconnect(f.now, 0)

	f.log = oldLog
	f.log.floor = 3
	f.record()
	f.expect("the purge after the cursor", "14 ", 3)
	f.answer(1)
	f.wait(testConfig.MaxFillTime)
	f.expect("fills over", "24 ", 3)
}

// Another control server's cursor in the new log says nothing about the purges of the replaced one, which a cache
// without a cursor lacks. The cache is flushed all the same.
func TestFirstCursorOfANewLogDoesNotReplaceFlushes(t *testing.T) {
	for _, switched := range []bool{false, true} {
		t.Run(fmt.Sprint(switched), func(t *testing.T) {
			f := newFixture(t)
			f.startFlushes(Cursor{}, firstAnswered)
			f.replaceLog(8)
			if switched {
				f.expect("the limiter has no slot", "", 0)
			}
			f.MergeCursor(Cursor{Log: 8, Done: 1})
			f.wait(f.limiter.Interval)
			f.expectBothFlushes()
		})
	}
}

// After all control servers lost their disks, a new empty log is created. Progress in the old log does not count: the
// cache is flushed, and its cursor must not be ahead of the new log.
func TestCursorIsNotAheadOfANewLog(t *testing.T) {
	f := newFixture(t)
	f.Cache = NewCache(testConfig, Cursor{Log: 8, Done: 9}, f.now.Add(-peerCursorWait))
	f.record()
	f.expect("flush", "F0 ", 9)
	f.answer(1)
	f.wait(testConfig.MaxFillTime)
	f.expect("second flush", "L0 ", 9)
	f.answer(1)
	f.expect("after the second flush", "", 0)
	f.publish("a")
	f.expect("the first purge of the new log", "11 ", 0)
}

// A cache is restarted, and the list names the new process only later. Purges done in between were done at the old
// process, and fills of old values may reach the new one, so these purges are repeated. An older list, or another
// server's cursor of the old process, has no effect.
func TestRestartedCacheGetsRecentPurgesAgain(t *testing.T) {
	f := newFixture(t)
	f.OnListed(f.now, 5, &f.arrivals)
	f.publish("a")
	f.expect("no answer while the cache is down", "11 ", 0)
	f.wait(maxListLag + testConfig.MaxFillTime)
	f.OnListed(f.now, 5, &f.arrivals)
	f.publish("b") // a fill from before may still reach the new process
	f.expect("still down", "12 21 ", 0)
	f.wait(time.Second)
	f.OnListed(f.now, 6, &f.arrivals)
	f.expect("purges older than all its fills are not repeated", "12 ", 1)
	f.answer(1)
	f.wait(testConfig.MaxFillTime)
	f.expect("the others are", "22 ", 1)
	f.answer(1)
	f.publish("c")
	f.OnListed(f.now, 5, &f.arrivals)
	f.expect("an older list", "13 ", 2)
	if f.Cursor().Incarnation != 6 {
		t.Error("older process accepted as a later one")
	}
	f.MergeCursor(Cursor{Log: 7, Incarnation: 5, Done: 3})
	if f.Cursor().Done != 2 {
		t.Error("cursor of another process adopted")
	}
	f.wait(2*maxListLag + testConfig.MaxFillTime)
	f.OnListed(f.now, 5, &f.arrivals)
	f.OnListed(f.now, 7, &f.arrivals)
	if f.Cursor().Done != 1 { // the older list had no effect; recent purges were done at the old process
		t.Errorf("done up to %d", f.Cursor().Done)
	}
	f.expect("recent purges again", "22 23 ", 1)
	saved := f.Cursor()
	f.Cache = NewCache(testConfig, saved, f.now) // control server killed and restarted with its disk
	f.OnListed(f.now, 8, &f.arrivals)
	if f.Cursor().Done != saved.SafeAfterRestart {
		t.Errorf("cursor %+v after a restart with %+v", f.Cursor(), saved)
	}
}

// While the cache is being flushed, another control server may report a cursor that is further on than the purges which
// the flushes cover, and still behind the floor. The second flush must not set the cursor back.
func TestSecondFlushDoesNotSetBackAMergedCursor(t *testing.T) {
	f := newFixture(t)
	f.startFlushes(Cursor{Log: 7, Done: 1}, firstAnswered)
	f.wait(testConfig.MaxFillTime)
	f.publish("e", "f")
	f.log.floor = 6
	f.MergeCursor(Cursor{Log: 7, Done: 5})
	f.expect("second flush", "L6 ", 5)
	f.answer(1)
	if cursor := f.Cursor(); cursor.Done != 5 {
		t.Errorf("cursor %+v after the second flush, want 5 purges done", cursor)
	}
}

// Deletes and flushes at the previous process of a cache do not count for the next one, also without a cursor.
func TestRestartedCacheWithoutACursorHasNoQuickDeletes(t *testing.T) {
	f := newFixture(t)
	f.startFlushes(Cursor{}, firstAnswered)
	f.publish("e")
	f.expect("quick delete", "15 ", 0)
	f.answer(1)
	if f.QuickDeleted() != 5 {
		t.Errorf("quick deletes up to %d, want 5", f.QuickDeleted())
	}
	f.OnListed(f.now, 9, &f.arrivals)
	if f.QuickDeleted() != 0 {
		t.Errorf("after the restart: quick deletes up to %d, want none", f.QuickDeleted())
	}
	f.wait(f.limiter.Interval)
	f.expect("first flush again", "F5 ", 0)
	f.answer(1)
	if f.QuickDeleted() != 5 {
		t.Errorf("after the flush: quick deletes up to %d, want 5", f.QuickDeleted())
	}
}
