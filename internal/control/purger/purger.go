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
	maxListed      = 1024          // caches in a list: their reports fit into one frame between control servers
	maxCursors     = 2 * maxListed // with those of caches that have left the list
	maxIDBytes     = 100           // of a cache's name
	maxReasonBytes = 200           // of why a cache cannot be reached
	saveInterval   = time.Second   // between two writes of cursors to disk: so far they may lag
)

// Log is the replicated log as this control server has it.
type Log interface {
	purge.Log
	// Changed is closed when there is more. Who waits for it takes it before it looks at the log.
	Changed() <-chan struct{}
}

// Config is what a Purger is started with.
type Config struct {
	Settings    *fleetconfig.Purges // the settings
	ServerCount int                 // control servers, which all poll discovery
	Log         Log
	Dir         string // for the cursors
	Seed        uint32 // of the backoffs' jitter
	Logger      *logrus.Logger
	Now         func() monotime.Instant                                   // of a clock that runs through suspends
	Dial        func(addr string, within time.Duration) (net.Conn, error) // nil for TCP
	// OnProgress is called, with the lock held, when a cursor has changed. The invariant checker of tests sets it; nil
	// for nobody.
	OnProgress func(purge.CacheID, purge.Cursor)
}

// Purger carries purges out at all caches.
type Purger struct {
	Config
	cursors    *cursorStore
	closed     chan struct{} // closed by Close, under the lock
	goroutines sync.WaitGroup

	mu       sync.Mutex // of all that follows, and of what it refers to
	arrivals purge.ArrivalTimes
	limiter  purge.FlushLimiter
	caches   map[purge.CacheID]*cache // listed ones, and those that have left the list; at most maxCursors
	changed  chan struct{}            // closed when there are more entries, and replaced by another
	hasList  bool
}

// Open starts to carry purges out, from the cursors on disk on. It returns an error where these cannot be opened.
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
		limiter: purge.FlushLimiter{Interval: config.Settings.FlushEach()},
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

// Close ends it, after the cursors were saved.
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

// cacheOf returns a cache, after it was made with a cursor if it was not known; nil where there is no capacity for
// one more. The lock is held.
func (p *Purger) cacheOf(id purge.CacheID, cursor purge.Cursor) *cache {
	if c := p.caches[id]; c != nil {
		return c
	}
	if len(p.caches) >= maxCursors && !p.evictUnlisted() {
		return nil
	}
	config := purge.Config{LongestFill: p.Settings.Fills(), CommandInterval: p.Settings.Each()}
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

// evictUnlisted removes a cache that is not in the list, the one whose cursor is furthest behind; false where all are
// listed. The lock is held.
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

// furtherBehind orders caches by their cursors, and by name where these are the same.
func (c *cache) furtherBehind(other *cache) bool {
	return cmp.Or(cmp.Compare(c.Cursor().Done, other.Cursor().Done), cmp.Compare(c.id, other.id)) < 0
}

// followLog notes when there are more entries.
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

// recordArrivals notes which entries there are. The lock is held.
func (p *Purger) recordArrivals() {
	id, _, last := p.Log.Position()
	p.arrivals.Record(p.Now(), id, last)
}

// saveCursors writes cursors that have changed to disk, now and then and at the end.
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
		// Logged once when it begins to fail, and once when it works again. What is not on disk is done once more.
		if (err != nil) != failed {
			failed = err != nil
			p.Logger.WithError(err).Warn("cursors of caches on disk")
		}
		if err == nil {
			p.markSaved(changed)
		}
	}
}

// unsavedCursors returns the cursors that are not on disk, and the names of all caches.
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

// DoneEverywhere is up to where purges are done at all caches in the list: entries after it are still needed. It is
// false where there are none with a cursor in this log.
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
