package purger

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/emulator/cachestub"
)

// A fill that was under way during the first delete stores the old value again. The purge must not be done before the
// confirming delete, which removes that value.
func TestConfirmingDeleteRemovesOldValueStoredByFill(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, 1)
	cache := f.caches[0]
	cache.Fill("a", 1)
	f.publish(2, "a")
	f.eventually("the first delete", func() bool { return f.progress(0, "c0").QuickDeleted == 1 })
	if _, ok := cache.Serve("a"); ok {
		t.Error("the first delete did not remove the value")
	}
	cache.Fill("a", 1)
	if f.progress(0, "c0").Done != 0 {
		t.Error("purge done while a fill may be under way")
	}
	f.waitDone(0, "c0")
	if _, ok := cache.Serve("a"); ok {
		t.Error("the old value is still there")
	}
	f.expectNoBreach()
}

// Four control servers carry out a thousand purges at ten caches at once.
func TestBurstOfThousandPurges(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 10, 4)
	f.publish(2, numberedKeys(1000)...)
	for _, cache := range f.caches {
		f.waitDone(3, cache.Name())
	}
	f.publish(2, numberedKeys(5)...) // purged already
	for _, cache := range f.caches {
		f.waitDone(0, cache.Name())
	}
	f.expectNoBreach()
}

// maxReportDelay is well below the time that a server waits for other servers' progress before it flushes. If a report
// arrives within maxReportDelay of the start, the test requires that the reported cache is not flushed.
const maxReportDelay = 500 * time.Millisecond

// A control server restarted with its disk must not lose a purge, but may repeat some. Restarted without its disk after
// the log was trimmed, it must not repeat purges that another server reports as done, and must flush caches for which
// it gets no report.
func TestRestartedServerContinuesFromItsDisk(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, 2)
	f.publish(2, numberedKeys(10)...)
	f.waitDone(0, "c0")
	f.waitDone(0, "c1")
	f.eventually("the cursor is on disk", func() bool {
		f.purgers[0].mu.Lock()
		defer f.purgers[0].mu.Unlock()
		return f.purgers[0].caches["c0"].saved.Done == 10
	})
	f.caches[0].SetFault(cachestub.Silent, 0)
	f.publish(3, numberedKeys(10)...)
	f.stop(0)
	f.publish(4, numberedKeys(10)...)
	f.start(0)
	if progress := f.progress(0, "c0"); progress.Done != 10 {
		t.Errorf("progress after the restart: %+v, want 10 purges done", progress)
	}
	f.caches[0].SetFault(cachestub.None, 0)
	f.waitDone(0, "c0")
	f.waitDone(0, "c1")

	// Before the trim, or the other server may have to flush a cache for the entries that it still lacks.
	f.eventually("all purges done by the other server", func() bool {
		return f.progress(1, "c0").Done == 30 && f.progress(1, "c1").Done == 30
	})
	f.log.setFloor(15)
	f.stop(0)
	f.dirs[0] = t.TempDir()
	f.start(0)
	startedAt := bootTime()
	reports, _ := f.purgers[1].Progress()
	f.purgers[0].MergeProgress(reports[1:])
	inTime := bootTime().Since(startedAt) < maxReportDelay
	if progress := f.progress(0, "c1"); progress.Done != 30 || progress.Flushing {
		t.Errorf("progress with another server's report: %+v, want 30 purges done and no flush", progress)
	}
	f.caches[0].Fill("key-1", 1)
	if !f.progress(0, "c0").Flushing {
		t.Error("a cache with unknown missing purges is not flushed")
	}
	f.waitDone(0, "c0")
	if _, ok := f.caches[0].Serve("key-1"); ok || f.flushes("c0") != 2 {
		t.Errorf("flushed %d times, want 2, or the old value is still there", f.flushes("c0"))
	}
	if flushes := f.flushes("c1"); inTime && flushes != 0 {
		t.Errorf("flushed %d times, though another server has done the purges", flushes)
	}
	f.expectNoBreach()
}

// Only the first failure in a row to save cursors is a warning. The recovery is none, and has no error.
func TestRecoveredSavingIsNoWarning(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	p := &Purger{Config: Config{Logger: logger}}
	failure := errors.New("disk full")
	p.logSaving(false, nil)
	p.logSaving(false, failure)
	p.logSaving(true, failure)
	p.logSaving(true, nil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "level=warning") || !strings.Contains(lines[0], failure.Error()) ||
		!strings.Contains(lines[1], "level=info") || strings.Contains(lines[1], "error=") {
		t.Errorf("logged %q, want a warning with the error, then an info line without one", lines)
	}
}
