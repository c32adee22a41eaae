package purger

import (
	"net/netip"
	"slices"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/monotime"
	"dahliapin/internal/wire/endpointlist"
	"dahliapin/policy"
)

// lifecycleRemoved is the lifecycle value with which discovery marks a removed cache.
const lifecycleRemoved = "terminated"

// listedInstance is an entry of discovery's list, with discovery's field names.
type listedInstance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Kind      string  `json:"machineType"`
	Lifecycle string  `json:"lifecycle"`
	Started   float64 `json:"startedAtMs"`
}

// listedCache is a cache as described by the list.
type listedCache struct {
	id      purge.CacheID
	addr    string
	started purge.Incarnation
	removed bool
}

// cache returns the cache that the entry describes; false if the entry is invalid. The address of a removed cache is
// not checked.
func (i listedInstance) cache() (listedCache, bool) {
	removed := i.Lifecycle == lifecycleRemoved
	_, err := netip.ParseAddrPort(i.Addr)
	if i.ID == "" || len(i.ID) > maxIDBytes || err != nil && !removed {
		return listedCache{}, false
	}
	return listedCache{
		id:      purge.CacheID(i.ID),
		addr:    i.Addr,
		started: purge.Incarnation(endpointlist.StartMs(i.Started)),
		removed: removed,
	}, true
}

// applyList applies a list, or the changes to it, that was requested at a given time. A cache that is missing from a
// complete list has left it. If any entry is invalid, no cache counts as missing, since that entry may stand for it.
func (p *Purger) applyList(instances []listedInstance, kind policy.UpdateKind, at monotime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.closed:
		return
	default:
	}
	hasInvalid := false
	named := map[purge.CacheID]bool{}
	for _, instance := range instances {
		if slices.Contains(p.Settings.Origins, instance.Kind) {
			continue
		}
		listed, valid := instance.cache()
		if !valid {
			hasInvalid = true
			continue
		}
		named[listed.id] = true
		p.setListed(listed, at)
	}
	complete := kind != policy.DeltaUpdate
	for id, c := range p.caches {
		switch {
		case c.stop == nil || named[id] || hasInvalid:
		case complete:
			p.unlist(c)
		default: // unchanged, and confirmed as of this time
			p.setListed(listedCache{id: id, addr: c.addr, started: c.Cursor().Incarnation}, at)
		}
	}
	p.hasList = true
}

// setListed applies the list's entry for a cache, which was valid at a given time, and starts or ends the cache's
// connection. The caller must hold the lock.
func (p *Purger) setListed(listed listedCache, at monotime.Instant) {
	c := p.cacheOf(listed.id, purge.Cursor{})
	if c == nil {
		return
	}
	if listed.removed {
		p.unlist(c)
		return
	}
	before := c.Cursor().Incarnation
	c.update(func() { c.OnListed(at, listed.started, &p.arrivals) })
	moved := c.addr != listed.addr || c.Cursor().Incarnation != before
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

// unlist ends the connection to a cache and keeps its cursor. The caller must hold the lock.
func (p *Purger) unlist(c *cache) {
	if c.stop == nil {
		return
	}
	close(c.stop)
	c.stop = nil
	c.OnDisconnect(p.Now(), 0)
}
