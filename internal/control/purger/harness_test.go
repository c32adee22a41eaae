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
	testLongestFill = 400 * time.Millisecond
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

// bench has caches, the purgers of control servers, and the records for the checker.
type bench struct {
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

// newBench starts caches and purgers.
func newBench(t *testing.T, caches, purgers int) *bench {
	t.Helper()
	b := &bench{t: t, settings: *fleetconfig.DefaultPurges()}
	b.settings.MaxFillS = testLongestFill.Seconds()
	b.settings.FlushIntervalS = 0.1
	b.log.changed = make(chan struct{})
	for i := range caches {
		cache, err := cachestub.Open(fmt.Sprint("c", i), bootTime, b.record)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cache.Close)
		b.caches = append(b.caches, cache)
		b.settings.Caches = append(b.settings.Caches, fleetconfig.Cache{ID: cache.Name(), Addr: cache.Addr()})
	}
	for range purgers {
		b.addPurger()
	}
	t.Cleanup(func() {
		for i := range b.purgers {
			b.stop(i)
		}
	})
	return b
}

// record records an action of a cache or a change of a cursor.
func (b *bench) record(r logtrace.CacheEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = append(b.records, r)
}

// flushes returns how often a cache was emptied.
func (b *bench) flushes(cache string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, r := range b.records {
		if r.Cache == cache && r.Kind == logtrace.Emptied {
			count++
		}
	}
	return count
}

// addPurger starts another purger, with an empty folder.
func (b *bench) addPurger() {
	b.t.Helper()
	b.purgers = append(b.purgers, nil)
	b.dirs = append(b.dirs, b.t.TempDir())
	b.start(len(b.purgers) - 1)
}

// start starts a purger with its existing folder.
func (b *bench) start(i int) {
	b.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings := b.settings
	p, err := Open(Config{
		Settings:    &settings,
		ServerCount: 4,
		Log:         &b.log,
		Dir:         b.dirs[i],
		Seed:        uint32(i),
		Logger:      logger,
		Now:         bootTime,
		Dial:        b.dial,
		OnProgress: func(id purge.CacheID, cursor purge.Cursor) {
			done := uint64(cursor.Done)
			b.record(logtrace.CacheEvent{At: bootTime(), Cache: string(id), Kind: logtrace.Confirmed, Index: done})
		},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	b.purgers[i] = p
}

func (b *bench) stop(i int) {
	if b.purgers[i] != nil {
		b.purgers[i].Close()
		b.purgers[i] = nil
	}
}

// publish appends purges to the log. The origin already has the given version of each key.
func (b *bench) publish(version uint64, keys ...string) {
	b.log.mu.Lock()
	defer b.log.mu.Unlock()
	for _, key := range keys {
		index := replicatedlog.Index(len(b.log.entries) + 1)
		proposal := replicatedlog.Proposal{Kind: replicatedlog.Purge, Body: []byte(key)}
		purged := logtrace.PublishedPurge{Index: uint64(index), Key: key, Version: version, Sent: bootTime()}
		b.purged = append(b.purged, purged)
		b.log.entries = append(b.log.entries, replicatedlog.Entry{Index: index, Proposal: proposal})
	}
	close(b.log.changed)
	b.log.changed = make(chan struct{})
}

// progress returns a purger's progress at a cache.
func (b *bench) progress(i int, cache string) purge.Progress {
	all, _ := b.purgers[i].Progress()
	for _, progress := range all {
		if progress.Cache == cache {
			return progress
		}
	}
	return purge.Progress{Cache: "none"}
}

// eventually waits until a condition holds, and fails the test after a timeout.
func (b *bench) eventually(what string, holds func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// waitDone waits until a purger has carried out all purges at a cache.
func (b *bench) waitDone(i int, cache string) {
	b.t.Helper()
	last := uint64(len(b.log.entries))
	what := fmt.Sprintf("%s to have all %d purges", cache, last)
	b.eventually(what, func() bool { return b.progress(i, cache).Done >= last })
}

// report returns the checker's report on the records.
func (b *bench) report() checker.CachesReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return checker.CheckCaches(b.purged, b.records, nil)
}

func (b *bench) expectNoBreach() {
	b.t.Helper()
	if report := b.report(); len(report.Breaches) > 0 {
		b.t.Errorf("%+v", report.Breaches)
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
