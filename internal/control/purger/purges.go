// Package purges carries purges out at caches: a control machine's connections to them, one each, its list of them, and what it keeps of its
// cursors on disk. When to send what is internal/control/purge' to say. All of it runs on goroutines of its own.
package purger

import (
	"cmp"
	"errors"
	"fmt"
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
	mostCaches    = 1024            // in a list: 20 times what is stated, and their rows fit into one frame
	mostKept      = 2 * mostCaches  // cursors, of caches that left the list among them
	longestID     = 100             // bytes of a cache's name
	longestReason = 200             // bytes of why a cache can't be reached
	saveEach      = time.Second     // between two writes of cursors to disk: so far they lag
	lateAfter     = 2 * time.Second // over what fills need, that a purge may take and is not late
)

// Log is what a control machine has of the log of changes.
type Log interface {
	purge.Log
	Changed() <-chan struct{} // closed when there is more
}

// Config is what is started with.
type Config struct {
	Terms    *fleetconfig.Purges
	Machines int // control machines, which call for the list as this one does
	Log      Log
	Dir      string // of the cursors
	Seed     uint32
	Logger   *logrus.Logger
	Now      func() monotime.Instant
	Dial     func(addr string, within time.Duration) (net.Conn, error) // nil for TCP
	// Counted is told of a cursor that has moved, as it moves: for a judge. nil for nobody.
	OnProgress func(purge.CacheID, purge.Cursor)
}

// Progress is how a control machine stands with a cache, as machines tell each other and operators.
type Progress struct {
	Cache    string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint,omitempty"`
	Log      uint64 `cbor:"3,keyasint,omitempty"`
	Done     uint64 `cbor:"4,keyasint,omitempty"`
	First    uint64 `cbor:"5,keyasint,omitempty"`  // each key up to here was deleted at least once
	Late     uint64 `cbor:"6,keyasint,omitempty"`  // entries that should be done by now
	Flushing bool   `cbor:"7,keyasint,omitempty"`  // what it lacks is not kept: all of it has to go
	Reason   string `cbor:"8,keyasint,omitempty"`  // why the last connection ended; empty once something was answered
	QuietMs  uint64 `cbor:"9,keyasint,omitempty"`  // since something was answered, and something was due
	Machine  uint64 `cbor:"10,keyasint,omitempty"` // whose row it is
	AgoMs    uint64 `cbor:"11,keyasint,omitempty"` // since it was told
	Foreign  bool   `cbor:"12,keyasint,omitempty"` // the cursor is of another log
}

// Purger carries purges out at all caches.
type Purger struct {
	Config
	mu      sync.Mutex // of all that follows, and of all rules
	times   purge.ArrivalTimes
	gate    purge.FlushLimiter
	caches  map[purge.CacheID]*cache
	fresh   chan struct{} // closed once there is more
	hasList bool
	closed  chan struct{}
	done    sync.WaitGroup
	disk    *disk
}

// Open starts to carry purges out.
func Open(b Config) (*Purger, error) {
	d, known, err := openDisk(b.Dir)
	if err != nil {
		return nil, err
	}
	if b.Dial == nil {
		b.Dial = func(addr string, within time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", addr, within) }
	}
	p := &Purger{Config: b, gate: purge.FlushLimiter{Each: b.Terms.FlushEach()}, caches: map[purge.CacheID]*cache{}, fresh: make(chan struct{}), closed: make(chan struct{}), disk: d}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range known {
		if p.know(id, c); b.OnProgress != nil {
			b.OnProgress(id, c)
		}
	}
	p.note()
	p.done.Add(2)
	go p.follow()
	go p.save()
	if b.Terms.Discovery != "" {
		p.done.Add(1)
		go p.askForList()
	}
	for _, c := range b.Terms.Caches {
		p.list(entry{purge.CacheID(c.ID), c.Addr, 0, false}, b.Now())
	}
	p.hasList = len(b.Terms.Caches) > 0
	return p, nil
}

// Close ends it, and keeps the cursors.
func (p *Purger) Close() {
	p.mu.Lock()
	close(p.closed)
	for _, c := range p.caches {
		p.unlist(c)
	}
	p.mu.Unlock()
	p.done.Wait()
	p.disk.close()
}

// know has rules for a cache; the lock is held. It is nil where there is no room for one more.
func (p *Purger) know(id purge.CacheID, c purge.Cursor) *cache {
	if k := p.caches[id]; k != nil {
		return k
	}
	if len(p.caches) >= mostKept && !p.forget() {
		return nil
	}
	k := &cache{p: p, id: id, chance: keyhash.Source{Seed: p.Seed ^ uint32(keyhash.String(string(id)))}, nudge: make(chan struct{}, 1), heard: p.Now(), saved: c,
		Cache: purge.NewCache(purge.Config{LongestFill: p.Terms.Fills(), CommandInterval: p.Terms.Each()}, c, p.Now())}
	p.caches[id] = k
	return k
}

// forget makes room: for a cache that is not in the list, the one whose cursor is furthest back.
func (p *Purger) forget() bool {
	var out *cache
	for _, c := range p.caches {
		if c.stop == nil && (out == nil || cmp.Or(cmp.Compare(c.Cursor().Done, out.Cursor().Done), cmp.Compare(c.id, out.id)) < 0) {
			out = c
		}
	}
	if out != nil {
		delete(p.caches, out.id)
	}
	return out != nil
}

// follow notes when there is more in the log.
func (p *Purger) follow() {
	defer p.done.Done()
	for {
		fresh := p.Log.Changed()
		p.mu.Lock()
		p.note()
		close(p.fresh)
		p.fresh = make(chan struct{})
		p.mu.Unlock()
		select {
		case <-fresh:
		case <-p.closed:
			return
		}
	}
}

func (p *Purger) note() {
	id, _, last := p.Log.Position()
	p.times.Record(p.Now(), id, last)
}

// save keeps cursors that have moved. Those on disk lag, and never lead.
func (p *Purger) save() {
	defer p.done.Done()
	t := time.NewTicker(saveEach)
	defer t.Stop()
	failed := false
	for ends := false; !ends; {
		select {
		case <-t.C:
		case <-p.closed:
			ends = true
		}
		moved := map[purge.CacheID]purge.Cursor{}
		p.mu.Lock()
		for id, c := range p.caches {
			if now := c.Cursor(); now != c.saved {
				moved[id] = now
			}
		}
		all := slices.Collect(maps.Keys(p.caches))
		p.mu.Unlock()
		if len(moved) == 0 {
			continue
		}
		err := p.disk.put(moved, all)
		if (err != nil) != failed { // what is lacking on disk is carried out again
			failed = err != nil
			p.Logger.WithError(err).Warn("cursors of caches on disk")
		}
		if err == nil {
			p.mu.Lock()
			for id, now := range moved {
				if c := p.caches[id]; c != nil {
					c.saved = now
				}
			}
			p.mu.Unlock()
		}
	}
}

// Progress are how this machine stands with each cache in the list. Listed is false until there is a list.
func (p *Purger) Progress() (all []Progress, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	log, _, _ := p.Log.Position()
	for id, c := range p.caches {
		if c.stop == nil {
			continue
		}
		at := c.Cursor()
		r := Progress{Cache: string(id), Started: int64(at.Started), Log: uint64(at.Log), Done: uint64(at.Done), First: uint64(c.FirstDeleted()), Late: c.Overdue(now, &p.times, lateAfter),
			Flushing: c.Flushing(p.Log), Reason: c.reason, Foreign: at.Log != log}
		if _, is := c.AwaitingAnswer(); is || c.reason != "" {
			r.QuietMs = uint64(max(0, now.Since(c.heard)) / time.Millisecond)
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Compare(a.Cache, b.Cache) })
	return all, p.hasList
}

// MergeProgress takes what another control machine tells to be done.
func (p *Purger) MergeProgress(rows []Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range rows {
		if c := p.caches[purge.CacheID(r.Cache)]; c != nil {
			c.moves(func() {
				c.MergeCursor(purge.Cursor{Log: replicatedlog.LogID(r.Log), Started: purge.Incarnation(r.Started), Done: replicatedlog.Index(r.Done)})
			})
		}
	}
}

// DoneEverywhere is up to where purges are done at all caches in the list: what comes after it is needed yet.
func (p *Purger) DoneEverywhere() (least replicatedlog.Index, is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, _, _ := p.Log.Position()
	for _, c := range p.caches {
		if at := c.Cursor(); c.stop != nil && at.Log == log && (!is || at.Done < least) {
			least, is = at.Done, true
		}
	}
	return least, is
}

// entry is a cache in the list.
type entry struct {
	id      purge.CacheID
	addr    string
	started purge.Incarnation
	gone    bool
}

// list takes a cache's place in the list, as of a time; the lock is held.
func (p *Purger) list(e entry, at monotime.Instant) {
	c := p.know(e.id, purge.Cursor{})
	if c == nil || e.gone {
		if c != nil {
			p.unlist(c)
		}
		return
	}
	before := c.Cursor().Started
	c.moves(func() { c.OnListed(at, e.started, &p.times) })
	if c.stop != nil && (c.addr != e.addr || c.Cursor().Started != before) {
		p.unlist(c)
	}
	if c.stop == nil {
		c.addr, c.stop, c.reason = e.addr, make(chan struct{}), ""
		p.done.Add(1)
		go c.run(c.addr, c.stop)
	}
}

// unlist ends what is done at a cache; its cursor stays. The lock is held.
func (p *Purger) unlist(c *cache) {
	if c.stop != nil {
		close(c.stop)
		c.stop = nil
		c.OnDisconnect(p.Now(), 0)
	}
}

// errSaid says that a cache said what it should not.
var errSaid = errors.New("an answer that is none to what was sent")

func short(err error) string {
	text := fmt.Sprint(err)
	return text[:min(len(text), longestReason)]
}
