package purger

import (
	"net/netip"
	"slices"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

// lifecycleRemoved is discovery's word for a cache that is removed.
const lifecycleRemoved = "terminated"

// listedInstance is an entry of discovery's list, by its own names.
type listedInstance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Kind      string  `json:"machineType"`
	Lifecycle string  `json:"lifecycle"`
	Started   float64 `json:"startedAtMs"`
}

// listedCache is a cache as the list has it.
type listedCache struct {
	id      purge.CacheID
	addr    string
	started purge.Incarnation
	removed bool
}

// cache returns the entry as a cache; false where it cannot be read. The address of one that is removed does not
// matter.
func (i listedInstance) cache() (listedCache, bool) {
	removed := i.Lifecycle == lifecycleRemoved
	_, err := netip.ParseAddrPort(i.Addr)
	if i.ID == "" || len(i.ID) > maxIDBytes || err != nil && !removed {
		return listedCache{}, false
	}
	return listedCache{
		id:      purge.CacheID(i.ID),
		addr:    i.Addr,
		started: purge.Incarnation(i.Started),
		removed: removed,
	}, true
}

// applyList takes a list, or what has changed in it, that was asked for at a time. A cache that a complete list does
// not name has left, unless some entry cannot be read: that one may be any cache, so all stay.
func (p *Purger) applyList(instances []listedInstance, kind policy.UpdateKind, at monotime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return
	default:
	}
	unreadable := false
	named := map[purge.CacheID]bool{}
	for _, instance := range instances {
		if slices.Contains(p.Settings.Origins, instance.Kind) {
			continue
		}
		listed, readable := instance.cache()
		if !readable {
			unreadable = true
			continue
		}
		named[listed.id] = true
		p.setListed(listed, at)
	}
	complete := kind != policy.DeltaUpdate
	for id, c := range p.caches {
		switch {
		case c.stop == nil || named[id] || unreadable:
		case complete:
			p.unlist(c)
		default: // it is as it was, and that is news of this time
			p.setListed(listedCache{id: id, addr: c.addr, started: c.Cursor().Started}, at)
		}
	}
	p.hasList = true
}

// setListed takes what the list said of a cache at a time, and starts or ends its connection. The lock is held.
func (p *Purger) setListed(listed listedCache, at monotime.Instant) {
	c := p.cacheOf(listed.id, purge.Cursor{})
	if c == nil {
		return
	}
	if listed.removed {
		p.unlist(c)
		return
	}
	before := c.Cursor().Started
	c.update(func() { c.OnListed(at, listed.started, &p.arrivals) })
	moved := c.addr != listed.addr || c.Cursor().Started != before
	if c.stop != nil && moved {
		p.unlist(c)
	}
	if c.stop != nil {
		return
	}
	stop := make(chan struct{})
	c.addr = listed.addr
	c.stop = stop
	c.reason = ""
	p.goroutines.Go(func() { c.run(listed.addr, stop) })
}

// unlist ends the connection to a cache; its cursor stays. The lock is held.
func (p *Purger) unlist(c *cache) {
	if c.stop == nil {
		return
	}
	close(c.stop)
	c.stop = nil
	c.OnDisconnect(p.Now(), 0)
}
