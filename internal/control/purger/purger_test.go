package purger

import (
	"testing"
	"time"

	"dahliapin/internal/emulator/cachestub"
)

// A fill that was under way during the first delete stores the old value again. The purge must not be done before the
// confirming delete, which removes that value.
func TestConfirmingDeleteRemovesOldValueStoredByFill(t *testing.T) {
	t.Parallel()
	b := newBench(t, 1, 1)
	cache := b.caches[0]
	cache.Fill("a", 1)
	b.publish(2, "a")
	b.eventually("the first delete", func() bool { return b.progress(0, "c0").QuickDeleted == 1 })
	if _, ok := cache.Serve("a"); ok {
		t.Error("the first delete did not remove the value")
	}
	cache.Fill("a", 1)
	if b.progress(0, "c0").Done != 0 {
		t.Error("purge done while a fill may be under way")
	}
	b.waitDone(0, "c0")
	if _, ok := cache.Serve("a"); ok {
		t.Error("the old value is still there")
	}
	b.expectNoBreach()
}

// Four control servers carry out a thousand purges at ten caches at once.
func TestBurstOfThousandPurges(t *testing.T) {
	t.Parallel()
	b := newBench(t, 10, 4)
	b.publish(2, numberedKeys(1000)...)
	for _, cache := range b.caches {
		b.waitDone(3, cache.Name())
	}
	b.publish(2, numberedKeys(5)...) // purged already
	for _, cache := range b.caches {
		b.waitDone(0, cache.Name())
	}
	b.expectNoBreach()
}

// reportedWithin is how soon after its start a server without its disk must get another server's progress for the test
// to require that it does not flush. It is well below the time that the server waits for such reports.
const reportedWithin = 500 * time.Millisecond

// A control server restarted with its disk must not lose a purge, but may repeat some. Restarted without its disk after
// the log was trimmed, it must not repeat purges that another server reports as done, and must flush caches for which
// it gets no report.
func TestRestartedServerContinuesFromItsDisk(t *testing.T) {
	t.Parallel()
	b := newBench(t, 2, 2)
	b.publish(2, numberedKeys(10)...)
	b.waitDone(0, "c0")
	b.waitDone(0, "c1")
	b.eventually("the cursor is on disk", func() bool {
		b.purgers[0].mu.Lock()
		defer b.purgers[0].mu.Unlock()
		return b.purgers[0].caches["c0"].saved.Done == 10
	})
	b.caches[0].SetFault(cachestub.Silent, 0)
	b.publish(3, numberedKeys(10)...)
	b.stop(0)
	b.publish(4, numberedKeys(10)...)
	b.start(0)
	if progress := b.progress(0, "c0"); progress.Done != 10 {
		t.Errorf("%+v", progress)
	}
	b.caches[0].SetFault(cachestub.None, 0)
	b.waitDone(0, "c0")
	b.waitDone(0, "c1")

	// Before the trim, or the other server may have to flush a cache for the entries that it still lacks.
	b.eventually("all purges done by the other server", func() bool {
		return b.progress(1, "c0").Done == 30 && b.progress(1, "c1").Done == 30
	})
	b.log.setFloor(15)
	b.stop(0)
	b.dirs[0] = t.TempDir()
	b.start(0)
	startedAt := bootTime()
	reports, _ := b.purgers[1].Progress()
	b.purgers[0].MergeProgress(reports[1:])
	inTime := bootTime().Since(startedAt) < reportedWithin
	if progress := b.progress(0, "c1"); progress.Done != 30 || progress.Flushing {
		t.Errorf("%+v", progress)
	}
	b.caches[0].Fill("key-1", 1)
	if !b.progress(0, "c0").Flushing {
		t.Error("a cache with unknown missing purges is not flushed")
	}
	b.waitDone(0, "c0")
	if _, ok := b.caches[0].Serve("key-1"); ok || b.flushes("c0") != 2 {
		t.Errorf("flushed %d times, want 2, or the old value is still there", b.flushes("c0"))
	}
	if flushes := b.flushes("c1"); inTime && flushes != 0 {
		t.Errorf("flushed %d times, though another server has done the purges", flushes)
	}
	b.expectNoBreach()
}
