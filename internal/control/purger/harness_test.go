package purger

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/cachestub"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/monotime"
	"dahliapin/internal/scale/logscale/checker"
)

const (
	testMaxFillTime = 400 * time.Millisecond
	testLogID       = 7
)

func bootTime() monotime.Instant {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return monotime.Instant(t.Nano())
}

// testLog is a replicated log in memory.
type testLog struct {
	mu      sync.Mutex
	entries []replicatedlog.Entry
	floor   replicatedlog.Index
	changed chan struct{}
}

func (l *testLog) Position() (id replicatedlog.LogID, floor, last replicatedlog.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return testLogID, l.floor, replicatedlog.Index(len(l.entries))
}

func (l *testLog) Entry(index replicatedlog.Index) (replicatedlog.Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index <= l.floor || int(index) > len(l.entries) {
		return replicatedlog.Entry{}, false
	}
	return l.entries[index-1], true
}

func (l *testLog) RequestedAt(replicatedlog.Index) (monotime.Instant, bool) { return 0, false }

func (l *testLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *testLog) setFloor(floor replicatedlog.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = floor
}

// fixture has stub caches, the purgers of control servers, and the records for the checker.
type fixture struct {
	t        *testing.T
	log      testLog
	settings fleetconfig.Purges
	caches   []*cachestub.Cache
	purgers  []*Purger // nil for a stopped purger
	dirs     []string
	dial     func(addr string, within time.Duration) (net.Conn, error) // nil for TCP

	mu      sync.Mutex
	records []logtrace.CacheEvent
	purged  []logtrace.PublishedPurge
}

// newFixture starts caches and purgers.
func newFixture(t *testing.T, caches, purgers int) *fixture {
	t.Helper()
	f := &fixture{t: t, settings: *fleetconfig.DefaultPurges()}
	f.settings.MaxFillS = testMaxFillTime.Seconds()
	f.settings.FlushIntervalS = 0.1
	f.log.changed = make(chan struct{})
	for i := range caches {
		cache, err := cachestub.Open(fmt.Sprint("c", i), bootTime, f.record)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cache.Close)
		f.caches = append(f.caches, cache)
		f.settings.Caches = append(f.settings.Caches, fleetconfig.Cache{ID: cache.Name(), Addr: cache.Addr()})
	}
	for range purgers {
		f.addPurger()
	}
	t.Cleanup(func() {
		for i := range f.purgers {
			f.stop(i)
		}
	})
	return f
}

// record adds an action of a cache, or a change of a cursor, to the records.
func (f *fixture) record(r logtrace.CacheEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, r)
}

// flushes returns how often a cache was emptied.
func (f *fixture) flushes(cache string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, r := range f.records {
		if r.Cache == cache && r.Kind == logtrace.Emptied {
			count++
		}
	}
	return count
}

// addPurger starts another purger, with an empty directory.
func (f *fixture) addPurger() {
	f.t.Helper()
	f.purgers = append(f.purgers, nil)
	f.dirs = append(f.dirs, f.t.TempDir())
	f.start(len(f.purgers) - 1)
}

// start starts a purger with its existing directory.
func (f *fixture) start(i int) {
	f.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := f.settings
	p, err := Open(Config{
		Settings:    &settings,
		ServerCount: 4,
		Log:         &f.log,
		Dir:         f.dirs[i],
		Seed:        uint32(i),
		Logger:      logger,
		Now:         bootTime,
		Dial:        f.dial,
		OnProgress: func(id purge.CacheID, cursor purge.Cursor) {
			done := uint64(cursor.Done)
			f.record(logtrace.CacheEvent{At: bootTime(), Cache: string(id), Kind: logtrace.Confirmed, Index: done})
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.purgers[i] = p
}

func (f *fixture) stop(i int) {
	if f.purgers[i] != nil {
		f.purgers[i].Close()
		f.purgers[i] = nil
	}
}

// publish appends purges to the log. The origin already has the given version of each key.
func (f *fixture) publish(version uint64, keys ...string) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	for _, key := range keys {
		index := replicatedlog.Index(len(f.log.entries) + 1)
		proposal := replicatedlog.Proposal{Kind: replicatedlog.Purge, Body: []byte(key)}
		purged := logtrace.PublishedPurge{Index: uint64(index), Key: key, Version: version, Sent: bootTime()}
		f.purged = append(f.purged, purged)
		f.log.entries = append(f.log.entries, replicatedlog.Entry{Index: index, Proposal: proposal})
	}
	close(f.log.changed)
	f.log.changed = make(chan struct{})
}

// progress returns a purger's progress at a cache.
func (f *fixture) progress(i int, cache string) purge.Progress {
	all, _ := f.purgers[i].Progress()
	for _, progress := range all {
		if progress.Cache == cache {
			return progress
		}
	}
	return purge.Progress{Cache: "none"}
}

// eventually waits until a condition holds, and fails the test after a timeout.
func (f *fixture) eventually(what string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// waitDone waits until a purger has carried out all purges at a cache.
func (f *fixture) waitDone(i int, cache string) {
	f.t.Helper()
	last := uint64(len(f.log.entries))
	what := fmt.Sprintf("%s to have all %d purges", cache, last)
	f.eventually(what, func() bool { return f.progress(i, cache).Done >= last })
}

// report returns the checker's report on the records.
func (f *fixture) report() checker.CachesReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return checker.CheckCaches(f.purged, f.records, nil)
}

func (f *fixture) expectNoBreach() {
	f.t.Helper()
	if report := f.report(); len(report.Breaches) > 0 {
		f.t.Errorf("breaches: %+v", report.Breaches)
	}
}

// numberedKeys returns n different keys.
func numberedKeys(n int) []string {
	var keys []string
	for i := range n {
		keys = append(keys, fmt.Sprint("key-", i))
	}
	return keys
}
