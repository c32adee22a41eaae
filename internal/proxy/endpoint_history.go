package proxy

import (
	"time"

	"github.com/valyala/fastjson"

	"dahliapin/internal/wire/endpointlist"
	"dahliapin/policy"
)

const (
	// maxOutdatedTime is how long discovery may state older versions than the node has, before the node takes them for
	// the versions of a discovery that has lost its data and counts anew.
	maxOutdatedTime = time.Minute
	// removalRetention is how long a removal is remembered, if there are maxRemovals of them.
	removalRetention = 10 * time.Minute
	// maxRemovals limits the removals that are remembered. It is more than the caches of the largest fleet.
	maxRemovals = 4096
)

// endpointHistory is what lists of earlier versions have stated and the endpoint table does not hold. An outdated list
// must not undo it: discovery may come back after a failure with a list that is older than the one that the node, or
// the process that it replaced, has received.
type endpointHistory struct {
	newest        int            // the newest version received from the present discovery; only valid if hasNewest
	hasNewest     bool           // a list has been received from it, by this process or its predecessor
	outdatedSince policy.Instant // since when discovery has stated older versions; 0 if it has not
	removed       map[policy.EndpointID]removal
}

// removal is the removal of an endpoint from the list.
type removal struct {
	statedMs float64 // when the endpoint's process had started, as stated by the list
	at       policy.Instant
}

// recordRemoval remembers that a process of an endpoint was removed.
func (h *endpointHistory) recordRemoval(now policy.Instant, id policy.EndpointID, statedMs float64) {
	if h.removed == nil {
		h.removed = map[policy.EndpointID]removal{}
	}
	if len(h.removed) >= maxRemovals {
		h.forgetRemovals(now)
	}
	h.removed[id] = removal{statedMs: max(statedMs, h.removed[id].statedMs), at: now}
}

// forgetRemovals makes space for another removal. It forgets those that are older than removalRetention, or else any.
func (h *endpointHistory) forgetRemovals(now policy.Instant) {
	for id, removed := range h.removed {
		if now.Since(removed.at) >= removalRetention {
			delete(h.removed, id)
		}
	}
	for id := range h.removed {
		if len(h.removed) < maxRemovals {
			return
		}
		delete(h.removed, id)
	}
}

// setNewest records the version of a list that is up to date.
func (h *endpointHistory) setNewest(version int) {
	h.newest = version
	h.hasNewest = true
	h.outdatedSince = 0
}

// onAddressChange records that the versions of another discovery follow.
func (h *endpointHistory) onAddressChange() {
	h.hasNewest = false
	h.outdatedSince = 0
}

// receive records the version of a list from discovery. outdated reports that the list is older than one received
// before. caughtUp reports that the lists before it were outdated and this one is not: then the complete list is
// needed, because endpoints that the outdated ones did not name have been kept.
func (h *endpointHistory) receive(now policy.Instant, version int) (outdated, caughtUp bool) {
	if h.hasNewest && version < h.newest {
		if h.outdatedSince == 0 {
			h.outdatedSince = now
		}
		if now.Since(h.outdatedSince) < maxOutdatedTime {
			return true, false
		}
	}
	caughtUp = h.outdatedSince != 0
	h.setNewest(version)
	return false, caughtUp
}

// applyOutdatedList applies a list that is older than one received before. It may make the node send less to an
// endpoint, but not more: an endpoint that is draining, has been removed or has restarted since stays so, and one that
// the list does not name is kept.
func (p *Proxy) applyOutdatedList(list *endpointlist.List) {
	p.applyEntries(list, policy.DeltaUpdate, func(row *fastjson.Value) bool { return !p.isSuperseded(row) })
}

// isSuperseded reports whether a row of an outdated list states what a newer list has replaced.
func (p *Proxy) isSuperseded(row *fastjson.Value) bool {
	id := policy.EndpointID(row.GetStringBytes("instanceId"))
	statedMs := endpointlist.StartMs(row.GetFloat64("startedAtMs"))
	if known := p.endpoints.byID[id]; known != nil {
		isSameProcess := statedMs == known.start.statedMs
		isReady := string(row.GetStringBytes("lifecycle")) == lifecycleName(policy.Ready)
		return statedMs < known.start.statedMs || isSameProcess && isReady
	}
	removed, wasRemoved := p.endpoints.history.removed[id]
	return wasRemoved && statedMs <= removed.statedMs
}

// lifecycleName returns the list's name of a lifecycle.
func lifecycleName(lifecycle policy.Lifecycle) string {
	for name, named := range lifecycleNames {
		if named == lifecycle {
			return name
		}
	}
	return ""
}

// snapshotEndpoints returns the list that the node holds, including what it knows of removed endpoints.
func (p *Proxy) snapshotEndpoints() endpointlist.Snapshot {
	history := &p.endpoints.history
	version, hasVersion := p.endpoints.watch.poller.Version()
	if history.hasNewest {
		version = max(version, history.newest)
	}
	snapshot := endpointlist.Snapshot{
		Source:     p.config.Discovery,
		Version:    version,
		HasVersion: hasVersion,
		Entries:    make([]endpointlist.Entry, 0, len(p.endpoints.byID)+len(history.removed)),
	}
	now := p.now()
	for _, endpoint := range p.endpoints.byID {
		snapshot.Entries = append(snapshot.Entries, endpoint.snapshot(now))
	}
	for id, removed := range history.removed {
		snapshot.Entries = append(snapshot.Entries, endpointlist.Entry{
			ID:        string(id),
			Lifecycle: lifecycleName(policy.Removed),
			StartedMs: removed.statedMs,
		})
	}
	return snapshot
}

// snapshot returns the entry of an endpoint in a snapshot.
func (e *knownEndpoint) snapshot(now policy.Instant) endpointlist.Entry {
	entry := endpointlist.Entry{
		ID:        string(e.id),
		Addr:      e.addr,
		Zone:      string(e.entry.Zone),
		Kind:      e.kind,
		Group:     int64(e.entry.Group),
		Lifecycle: lifecycleName(e.entry.Lifecycle),
		Weight:    e.entry.Weight,
		StartedMs: e.start.statedMs,
	}
	if e.start.statedMs != 0 {
		entry.AgeMs = float64(now.Since(e.start.at)) / float64(time.Millisecond)
	}
	return entry
}
