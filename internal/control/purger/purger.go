package purger

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

const (
	maxListed      = 1024          // caches in a list; their reports fit into one frame between control servers
	maxCursors     = 2 * maxListed // including those of caches that have left the list
	maxIDBytes     = 100           // of a cache's name
	maxReasonBytes = 200           // of the reason why a connection ended
	saveInterval   = time.Second   // between writes of cursors to disk, which may lag by as much
)

// Log is this control server's copy of the replicated log.
type Log interface {
	purge.Log
	// Changed returns a channel that is closed when there are new entries. To miss none, a caller must get the channel
	// before it reads the log.
	Changed() <-chan struct{}
}

// Config configures a Purger.
type Config struct {
	Settings    *fleetconfig.Purges // settings of purges
	ServerCount int                 // number of control servers, all of which poll discovery
	Log         Log
	Dir         string // directory of the cursor file
	Seed        uint32 // seed of the backoff jitter
	Logger      *logrus.Logger
	Now         func() monotime.Instant                                   // clock that also advances during suspend
	Dial        func(addr string, within time.Duration) (net.Conn, error) // nil for TCP
	// OnProgress, if not nil, is called when a cursor has changed, and by Open once for each cursor loaded from disk,
	// with the lock held. The invariant checker of tests sets it.
	OnProgress func(purge.CacheID, purge.Cursor)
}

// Purger carries out purges at all caches.
type Purger struct {
	Config
	cursors    *cursorStore
	closed     chan struct{} // closed by Close, under the lock
	goroutines sync.WaitGroup

	mu       sync.Mutex // guards the fields below and what they refer to
	arrivals purge.ArrivalTimes
	limiter  purge.FlushLimiter
	caches   map[purge.CacheID]*cache // caches in the list and those that have left it; at most maxCursors
	changed  chan struct{}            // closed and replaced when there are new entries
	hasList  bool
}

// Open starts a Purger, which continues from the cursors on disk. It returns an error if their file cannot be opened.
func Open(config Config) (*Purger, error) {
	cursors, known, err := openCursorStore(config.Dir)
	if err != nil {
		return nil, err
	}
	if config.Dial == nil {
		config.Dial = func(addr string, within time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, within)
		}
	}
	p := &Purger{
		Config:  config,
		cursors: cursors,
		closed:  make(chan struct{}),
		limiter: purge.FlushLimiter{Interval: config.Settings.FlushInterval()},
		caches:  map[purge.CacheID]*cache{},
		changed: make(chan struct{}),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, cursor := range known {
		p.cacheOf(id, cursor)
		if p.OnProgress != nil {
			p.OnProgress(id, cursor)
		}
	}
	p.recordArrivals()
	p.goroutines.Go(p.followLog)
	p.goroutines.Go(p.saveCursors)
	if p.Settings.Discovery != "" {
		p.goroutines.Go(newListPoller(p).run)
	}
	for _, c := range p.Settings.Caches {
		p.setListed(listedCache{id: purge.CacheID(c.ID), addr: c.Addr}, p.Now())
	}
	p.hasList = len(p.Settings.Caches) > 0
	return p, nil
}

// Close saves the cursors and stops the Purger.
func (p *Purger) Close() {
	p.mu.Lock()
	close(p.closed)
	for _, c := range p.caches {
		p.unlist(c)
	}
	p.mu.Unlock()
	p.goroutines.Wait()
	p.cursors.close()
}

// cacheOf returns a cache, and creates it with the given cursor if it is not known. It returns nil if there is no
// capacity for another one. The caller must hold the lock.
func (p *Purger) cacheOf(id purge.CacheID, cursor purge.Cursor) *cache {
	if c := p.caches[id]; c != nil {
		return c
	}
	if len(p.caches) >= maxCursors && !p.evictUnlisted() {
		return nil
	}
	config := purge.Config{MaxFillTime: p.Settings.MaxFillTime(), CommandInterval: p.Settings.CommandInterval()}
	c := &cache{
		Cache:      purge.NewCache(config, cursor, p.Now()),
		purger:     p,
		id:         id,
		random:     keyhash.Source{Seed: p.Seed ^ uint32(keyhash.String(string(id)))},
		answered:   make(chan struct{}, 1),
		answeredAt: p.Now(),
		saved:      cursor,
	}
	p.caches[id] = c
	return c
}

// evictUnlisted removes the cache whose cursor is furthest behind among those that are not in the list. It returns
// false if all are listed. The caller must hold the lock.
func (p *Purger) evictUnlisted() bool {
	var oldest *cache
	for _, c := range p.caches {
		if c.stop != nil {
			continue
		}
		if oldest == nil || c.furtherBehind(oldest) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(p.caches, oldest.id)
	return true
}

// furtherBehind reports whether c's cursor is behind that of other; ties are resolved by name.
func (c *cache) furtherBehind(other *cache) bool {
	return cmp.Or(cmp.Compare(c.Cursor().Done, other.Cursor().Done), cmp.Compare(c.id, other.id)) < 0
}

// followLog records the arrival of new entries, and signals them, until the Purger is closed.
func (p *Purger) followLog() {
	for {
		logChanged := p.Log.Changed()
		p.mu.Lock()
		p.recordArrivals()
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
		select {
		case <-logChanged:
		case <-p.closed:
			return
		}
	}
}

// recordArrivals records the arrival of the newest entry. The caller must hold the lock.
func (p *Purger) recordArrivals() {
	id, _, last := p.Log.Position()
	p.arrivals.Record(p.Now(), id, last)
}

// saveCursors writes changed cursors to disk every saveInterval, and once more when the Purger is closed.
func (p *Purger) saveCursors() {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	failed := false
	for closing := false; !closing; {
		select {
		case <-ticker.C:
		case <-p.closed:
			closing = true
		}
		changed, all := p.unsavedCursors()
		if len(changed) == 0 {
			continue
		}
		err := p.cursors.put(changed, all)
		p.logSaving(failed, err)
		failed = err != nil
		if err == nil {
			p.markSaved(changed)
		}
	}
}

// logSaving logs the first failure to save cursors in a row, and the recovery. While cursors are not saved, a restart
// repeats the purges after the cursors on disk.
func (p *Purger) logSaving(failedBefore bool, err error) {
	switch {
	case err != nil && !failedBefore:
		p.Logger.WithError(err).Warn("purger: saving cache cursors failed; retrying every second")
	case err == nil && failedBefore:
		p.Logger.Info("purger: cache cursors are saved again")
	}
}

// unsavedCursors returns the cursors that differ from those on disk, and the names of all caches.
func (p *Purger) unsavedCursors() (changed map[purge.CacheID]purge.Cursor, all []purge.CacheID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = map[purge.CacheID]purge.Cursor{}
	for id, c := range p.caches {
		if cursor := c.Cursor(); cursor != c.saved {
			changed[id] = cursor
		}
	}
	return changed, slices.Collect(maps.Keys(p.caches))
}

func (p *Purger) markSaved(cursors map[purge.CacheID]purge.Cursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, cursor := range cursors {
		if c := p.caches[id]; c != nil {
			c.saved = cursor
		}
	}
}

// DoneEverywhere returns the index up to which purges are done at all caches in the list that have a cursor in this
// log; entries after it are still needed. known is false if there is no such cache.
func (p *Purger) DoneEverywhere() (least replicatedlog.Index, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, _, _ := p.Log.Position()
	for _, c := range p.caches {
		cursor := c.Cursor()
		if c.stop == nil || cursor.Log != log {
			continue
		}
		if !known || cursor.Done < least {
			least = cursor.Done
			known = true
		}
	}
	return least, known
}
