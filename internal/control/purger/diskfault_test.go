package purger

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/diskfault"
)

// cursorsToGrow is a number of cursors for which the file has to grow.
const cursorsToGrow = 250

// cursorSteps returns the cursors of a run after each write: some change, one is deleted, and then there are so many
// that the file has to grow.
var cursorSteps = sync.OnceValue(func() []map[purge.CacheID]purge.Cursor {
	first := map[purge.CacheID]purge.Cursor{"a": {Log: 7, Done: 1}, "b": {Log: 7, Done: 1}}
	changed := map[purge.CacheID]purge.Cursor{"a": {Log: 7, Done: 2}, "b": {Log: 7, Done: 3, SafeAfterRestart: 2}}
	forgotten := map[purge.CacheID]purge.Cursor{"b": {Log: 7, Done: 4}}
	many := maps.Clone(forgotten)
	for i := range cursorsToGrow {
		many[purge.CacheID(fmt.Sprint("cache-", i))] = purge.Cursor{Log: 7, Done: replicatedlog.Index(i)}
	}
	last := maps.Clone(many)
	last["b"] = purge.Cursor{Log: 7, Done: 9}
	return []map[purge.CacheID]purge.Cursor{first, changed, forgotten, many, last}
})

// cursorRun writes the cursors of all steps. Failed calls are retried, up to a total number of retries.
type cursorRun struct {
	dir          string
	retries      int
	acknowledged func(step int)
	refused      error // why the file could not be opened
}

func (r *cursorRun) run() {
	var store *cursorStore
	for store == nil {
		var err error
		if store, _, err = openCursorStore(r.dir); err != nil && !r.retry() {
			r.refused = err
			return
		}
	}
	defer store.close()
	written := map[purge.CacheID]purge.Cursor{}
	for step, cursors := range cursorSteps() {
		changed := maps.Clone(cursors)
		maps.DeleteFunc(changed, func(id purge.CacheID, cursor purge.Cursor) bool { return written[id] == cursor })
		written = cursors
		for store.put(changed, slices.Collect(maps.Keys(cursors))) != nil {
			if !r.retry() {
				return
			}
		}
		r.acknowledged(step)
	}
}

func (r *cursorRun) retry() bool {
	r.retries--
	return r.retries >= 0
}

// expectCursors opens the store in a directory. It must have the cursors acknowledged last, or the complete next ones;
// before the first acknowledgement it may have none.
func expectCursors(t *testing.T, what, dir string, last int) {
	t.Helper()
	store, got, err := openCursorStore(dir)
	if err != nil {
		t.Errorf("%s: %v", what, err)
		return
	}
	defer store.close()
	steps := cursorSteps()
	is := func(step int) bool { return step >= 0 && step < len(steps) && maps.Equal(got, steps[step]) }
	if !is(last) && !is(last+1) && (last >= 0 || len(got) > 0) {
		t.Errorf("%s: after %d steps the store has %d cursors", what, last+1, len(got))
	}
}

// Kills a control server, or cuts its power, at each call that changes the cursor file. A lost cursor makes the server
// repeat all purges at the cache; a cursor that is ahead leaves stale values in the cache.
func TestCursorsSurviveCrashAtEachCall(t *testing.T) {
	var recording diskfault.Recording
	var acknowledged []int // calls by then, of each step
	run := cursorRun{dir: diskfault.TempDir(t), acknowledged: func(int) {
		acknowledged = append(acknowledged, recording.Count())
	}}
	if err := diskfault.Record(run.dir, &recording, run.run); err != nil {
		t.Fatal(err)
	}
	killed, powerLost := 0, 0
	for call := range recording.Calls {
		last := -1
		for last+1 < len(acknowledged) && acknowledged[last+1] <= call {
			last++
		}
		check := func(what string, image diskfault.Image) {
			dir := diskfault.TempDir(t)
			if err := image.WriteTo(dir); err != nil {
				t.Fatal(err)
			}
			expectCursors(t, fmt.Sprintf("%s at call %d", what, call), dir, last)
		}
		for _, image := range recording.KilledAt(call) {
			killed++
			check("killed", image)
		}
		for _, image := range recording.PowerLostAt(call) {
			powerLost++
			check("power lost", image)
		}
	}
	grows := func(c diskfault.Call) bool { return c.Operation == diskfault.Truncate }
	if !slices.ContainsFunc(recording.Calls, grows) {
		t.Error("the file did not grow")
	}
	calls := len(recording.Calls)
	t.Logf("cursors: %d calls; %d images after a kill, %d after a power loss", calls, killed, powerLost)
}

// Makes each call that changes the cursor file fail once, a few times or permanently. The store stays in use, since
// cursors are written again each second; all must be there once the disk works again.
func TestCursorsSurviveFaultAtEachCall(t *testing.T) {
	const permanently = 1 << 30
	var recording diskfault.Recording
	run := cursorRun{dir: diskfault.TempDir(t), acknowledged: func(int) {}}
	if err := diskfault.Record(run.dir, &recording, run.run); err != nil {
		t.Fatal(err)
	}
	tried := 0
	for call := range recording.Calls {
		for _, failing := range []int{1, 3, permanently} {
			for _, written := range recording.Calls[call].FailingSizes() {
				errno := []unix.Errno{unix.EIO, unix.ENOSPC}[tried%2]
				what := fmt.Sprintf("%v at call %d, %d times, after %d bytes", errno, call, failing, written)
				last := -1
				run := cursorRun{dir: diskfault.TempDir(t), retries: 4, acknowledged: func(step int) { last = step }}
				calls := 0
				err := diskfault.Run(run.dir, func(diskfault.Call) diskfault.Action {
					calls++
					if calls <= call || calls > call+failing {
						return diskfault.Action{}
					}
					return diskfault.Action{Errno: errno, Written: written}
				}, run.run)
				if err != nil {
					t.Fatal(err)
				}
				if failing != permanently && last != len(cursorSteps())-1 {
					t.Errorf("%s: ended after %d steps, %v", what, last+1, run.refused)
				}
				if run.refused != nil && strings.Contains(run.refused.Error(), "\n") {
					t.Errorf("%s: error of several lines: %v", what, run.refused)
				}
				expectCursors(t, what, run.dir, last)
				tried++
			}
		}
	}
	t.Logf("cursors: %d calls, %d faults", len(recording.Calls), tried)
}
