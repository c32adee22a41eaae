package policy

import (
	"cmp"
	"slices"

	"dahliapin/internal/keyhash"
)

// upstream is an endpoint of the list with everything that this router has learned about it. Each group of fields is
// written by one component.
type upstream struct {
	Endpoint                // entry of the list; written by endpointList
	hash     uint64         // hash of the id; written by endpointList
	load     observedLoad   // written by loadEstimator
	health   observedHealth // written by outlierDetector
	// nextAttemptAt is when the next attempt may start in slow start; 0 before the first. Written by slowStart.
	nextAttemptAt Instant
	// notifiedState is the state that the observer was last notified of. Written by Router.NotifyStateChanges.
	notifiedState EndpointState
}

// placementScope selects the caches that a placement covers.
type placementScope int

const (
	// homeZone is the caches in this node's zone, or all caches if the zone has no placement of its own.
	homeZone placementScope = iota
	// otherZones is all caches outside this node's zone.
	otherZones
	// allZones is all caches.
	allZones
)

// cacheScopeCount is the number of scopes that a cache can belong to: homeZone and otherZones. allZones comprises both.
const cacheScopeCount = 2

// endpointList owns the endpoints: their entries in the list, and the placements derived from the list. A placement
// depends only on the set of caches, so nodes with the same list agree on where keys are.
type endpointList struct {
	settings *Settings
	byID     map[EndpointID]*upstream
	caches   []*upstream // without the origin, sorted by hash
	origin   *upstream   // nil in read-through mode, and while the list has none
	// zoneLocal is set if the home zone has a placement of its own.
	zoneLocal bool
	// placements holds the placements of homeZone (index 0) and allZones (index 1, which also serves otherZones); nil
	// until first needed.
	placements [2]*placement
}

// update applies an update of the list. It discards the placements only when the caches or the origin change, not for a
// change of lifecycle or a restart, since building placements is most of the cost of an update.
func (l *endpointList) update(kind UpdateKind, entries []Endpoint) {
	listed := map[EndpointID]bool{}
	setChanged := false
	for _, entry := range entries {
		listed[entry.ID] = true
		changed := l.put(entry)
		setChanged = setChanged || changed
	}
	for id, u := range l.byID {
		missing := kind != DeltaUpdate && !listed[id]
		if u.Lifecycle == Removed || missing {
			delete(l.byID, id)
			setChanged = true
		}
	}
	if setChanged {
		l.rebuild()
	}
}

// put adds or replaces an entry and reports whether the caches or the origin changed.
func (l *endpointList) put(entry Endpoint) (setChanged bool) {
	entry.StartedAt = cmp.Or(entry.StartedAt, LongAgo)
	entry.Weight = cmp.Or(max(entry.Weight, 0), 1)
	u := l.byID[entry.ID]
	if u == nil {
		u = &upstream{}
		l.byID[entry.ID] = u
	}
	isNew := u.ID == ""
	if isNew || entry.StartedAt > u.StartedAt {
		// A restarted process shares no state with its predecessor, so nothing learned about the latter applies to it.
		u.reset(keyhash.String(string(entry.ID)), len(l.settings.Classes))
	}
	setChanged = isNew || u.Zone != entry.Zone || u.Kind != entry.Kind
	u.Endpoint = entry
	return setChanged
}

// reset discards everything learned about an endpoint.
func (u *upstream) reset(hash uint64, classes int) {
	*u = upstream{
		Endpoint: u.Endpoint,
		hash:     hash,
		load:     observedLoad{reportedAt: LongAgo, lastUsedAt: LongAgo},
		health:   observedHealth{errorScores: make([]uint8, classes+1)}, // the last one is for unknown classes
	}
}

// rebuild derives the caches and the origin from the entries, and discards the placements.
func (l *endpointList) rebuild() {
	l.caches = nil
	l.origin = nil
	l.placements = [2]*placement{}
	cachesAtHome := 0
	for _, u := range l.byID {
		if l.settings.CacheAside && u.Kind == l.settings.OriginKind {
			if l.origin == nil || u.ID < l.origin.ID {
				l.origin = u
			}
			continue
		}
		l.caches = append(l.caches, u)
		if u.Zone == l.settings.Zone {
			cachesAtHome++
		}
	}
	slices.SortFunc(l.caches, func(a, b *upstream) int {
		if a.hash != b.hash {
			return cmp.Compare(a.hash, b.hash)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	l.zoneLocal = l.settings.CrossZoneCost > 0 && cachesAtHome >= replicaCount && cachesAtHome < len(l.caches)
}

// scopeOf returns the scope that an endpoint belongs to: homeZone for all endpoints if the zone has no placement of its
// own.
func (l *endpointList) scopeOf(u *upstream) placementScope {
	if l.zoneLocal && u.Zone != l.settings.Zone {
		return otherZones
	}
	return homeZone
}

// placement returns the placement that serves a scope, and builds it on first use. otherZones has none of its own: its
// caches are those of the allZones placement that are outside the home zone.
func (l *endpointList) placement(scope placementScope) *placement {
	index := min(scope, otherZones)
	if l.placements[index] == nil {
		var members []*upstream
		for _, u := range l.caches {
			if scope != homeZone || l.scopeOf(u) == homeZone {
				members = append(members, u)
			}
		}
		l.placements[index] = newPlacement(members)
	}
	return l.placements[index]
}

// lookup returns the cache at the location of a key in a segment; nil if the segment is empty. A key whose slot has an
// unreachable cache is looked up in the left neighbour of the slot.
func (l *endpointList) lookup(now Instant, scope placementScope, segment int, key uint64) *upstream {
	unreachable := func(u *upstream) bool { return u.health.unreachable(now) }
	return l.placement(scope)[segment].lookup(keyhash.Salted(key, segmentCount+segment), unreachable)
}
