package proxy

import (
	"slices"

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/wire/endpointlist"
	"dahliapin/policy"
)

// endpointTable holds the listed endpoints and the connections to them. Only the event loop writes it:
// endpoint_watch.go receives the list, and this file applies it to the table. The dispatcher gets each update in the
// same call, so that decisions and the table are based on the same list. What decisions need to know about an endpoint
// is kept by package policy.
type endpointTable struct {
	byID    map[policy.EndpointID]*knownEndpoint
	members int // number of endpoints in byID without the origin
	watch   endpointWatch
	history endpointHistory
}

// knownEndpoint is what the list states about an endpoint, and the idle connections to it.
type knownEndpoint struct {
	id        policy.EndpointID
	addr      string
	kind      string // the list's name of its kind
	entry     policy.Endpoint
	codec     upstreamCodec
	start     processStart
	idleConns []upstreamConnID // the most recently used last
}

// lifecycleNames maps the list's names of an endpoint's lifecycle.
var lifecycleNames = map[string]policy.Lifecycle{
	"in_service":  policy.Ready,
	"terminating": policy.Draining,
	"terminated":  policy.Removed,
}

func (p *Proxy) isOrigin(kind int) bool {
	return p.config.Settings.Policy.CacheAside && kind == p.config.Settings.Policy.OriginKind
}

// applyLastKnownEndpoints applies the list last received by an earlier process, if it can be read. The next poll then
// asks only for changes since.
func (p *Proxy) applyLastKnownEndpoints() {
	list, err := p.endpoints.watch.reader.Read(p.config.LastKnownEndpoints)
	p.config.LastKnownEndpoints = nil
	if err != nil {
		return
	}
	p.applyEndpointList(&list, policy.LastKnownUpdate)
	if list.HasVersion && len(p.endpoints.byID) > 0 {
		p.endpoints.watch.poller.SetVersion(list.Version)
	}
}

// applyEndpointList applies an update of the list to the table, and passes it on to the dispatcher and to a successor.
// Idle connections to endpoints that were removed or restarted are closed; attempts in flight to them continue.
func (p *Proxy) applyEndpointList(list *endpointlist.List, kind policy.UpdateKind) {
	p.applyEntries(list, kind, func(*fastjson.Value) bool { return true })
}

// applyEntries is applyEndpointList for those entries of a list that are to be applied.
func (p *Proxy) applyEntries(
	list *endpointlist.List, kind policy.UpdateKind, applies func(row *fastjson.Value) bool,
) {
	entries := make([]policy.Endpoint, 0, list.Len())
	listed := map[policy.EndpointID]bool{}
	unreadable := 0
	list.Each(func(row *fastjson.Value) {
		id := policy.EndpointID(row.GetStringBytes("instanceId"))
		if id == "" {
			unreadable++
			return
		}
		if !applies(row) {
			return
		}
		start := p.readStart(list, row, id)
		entry := p.readEntry(row, id, start)
		entries = append(entries, entry)
		listed[id] = true
		p.applyEntry(row, &entry, start)
	})
	p.logUnreadableEntries(unreadable)
	if unreadable > 0 && kind == policy.CompleteUpdate {
		// Any endpoint that the list does not name may be the one whose entry can't be read, so none is removed.
		kind = policy.DeltaUpdate
	}
	if kind != policy.DeltaUpdate {
		p.removeUnlisted(listed)
	}
	p.countMembers()
	if len(entries) > 0 || kind != policy.DeltaUpdate {
		p.dispatcher.UpdateEndpoints(p.now(), kind, entries)
	}
	p.sendEndpointsToSuccessor()
}

// readStart returns the start of an endpoint that a row of the list states. A snapshot also states how long ago that
// was, which does not depend on the wall clock.
func (p *Proxy) readStart(list *endpointlist.List, row *fastjson.Value, id policy.EndpointID) processStart {
	statedMs := endpointlist.StartMs(row.GetFloat64("startedAtMs"))
	if age, ok := endpointlist.Age(row); ok && list.Source != "" && statedMs != 0 {
		return processStart{statedMs: statedMs, at: p.now().Add(-age) | 1} // never 0
	}
	return p.processStartOf(p.endpoints.byID[id], statedMs)
}

// readEntry converts a row of the list to the terms of package policy. An endpoint of an unknown lifecycle counts as
// draining: it gets nothing new.
func (p *Proxy) readEntry(row *fastjson.Value, id policy.EndpointID, start processStart) policy.Endpoint {
	lifecycle, known := lifecycleNames[string(row.GetStringBytes("lifecycle"))]
	if !known {
		lifecycle = policy.Draining
	}
	return policy.Endpoint{
		ID:        id,
		Kind:      p.config.Settings.Names.Kind(row.GetStringBytes("machineType")),
		Lifecycle: lifecycle,
		StartedAt: start.at,
		Zone:      policy.ZoneID(row.GetStringBytes("zone")),
		Group:     policy.GroupID(row.GetInt("cell")),
		Weight:    settings.Number(row.Get("weight")),
	}
}

// applyEntry applies an entry to the table. An entry with another address or a later start describes another process,
// so the connections to the old one are closed.
func (p *Proxy) applyEntry(row *fastjson.Value, entry *policy.Endpoint, start processStart) {
	addr := string(row.GetStringBytes("hostPort"))
	isRemoved := entry.Lifecycle == policy.Removed
	endpoint := p.endpoints.byID[entry.ID]
	if endpoint != nil && isRemoved { // the entry need not state when the process started
		start.statedMs = max(start.statedMs, endpoint.start.statedMs)
	}
	if endpoint != nil && (isRemoved || endpoint.addr != addr || entry.StartedAt > endpoint.start.at) {
		p.removeEndpoint(endpoint)
		endpoint = nil
	}
	if isRemoved {
		p.endpoints.history.recordRemoval(p.now(), entry.ID, start.statedMs)
		return
	}
	delete(p.endpoints.history.removed, entry.ID)
	if endpoint == nil {
		endpoint = &knownEndpoint{id: entry.ID, addr: addr, start: start}
		p.endpoints.byID[entry.ID] = endpoint
	}
	if entry.StartedAt != 0 {
		endpoint.start = start
	}
	endpoint.entry = *entry
	endpoint.kind = string(row.GetStringBytes("machineType"))
	endpoint.codec = p.codecFor(entry.Kind, endpoint.kind)
}

// codecFor returns the codec for endpoints of a kind.
func (p *Proxy) codecFor(kind int, kindName string) upstreamCodec {
	switch {
	case p.isOrigin(kind):
		return originUpstream{}
	case slices.Contains(p.config.Listeners.HTTPCaches.HTTPKinds, kindName):
		return httpUpstream{servers: &p.config.Listeners.HTTPCaches, cacheAside: p.config.Settings.Policy.CacheAside}
	}
	return metaUpstream{}
}

// logUnreadableEntries logs that a list has unreadable entries, once for consecutive lists that have some: a line for
// each list would flood the log.
func (p *Proxy) logUnreadableEntries(entries int) {
	if entries > 0 && !p.endpoints.watch.hadUnreadableEntries {
		p.config.Log.WithField("entries", entries).
			Warn("endpoint list has unreadable entries; keeping the endpoints that it does not name")
	}
	p.endpoints.watch.hadUnreadableEntries = entries > 0
}

func (p *Proxy) removeUnlisted(listed map[policy.EndpointID]bool) {
	for id, endpoint := range p.endpoints.byID {
		if !listed[id] {
			p.removeEndpoint(endpoint)
			p.endpoints.history.recordRemoval(p.now(), id, endpoint.start.statedMs)
		}
	}
}

// countMembers recounts the endpoints other than the origin after a change of the list.
func (p *Proxy) countMembers() {
	p.endpoints.members = 0
	for _, endpoint := range p.endpoints.byID {
		if _, isOrigin := endpoint.codec.(originUpstream); !isOrigin {
			p.endpoints.members++
		}
	}
	if p.metrics.endpoints != nil {
		p.metrics.endpoints.retain(func(id policy.EndpointID) bool { return p.endpoints.byID[id] != nil })
	}
}

// removeEndpoint removes an endpoint and closes its idle connections; attempts in flight continue.
func (p *Proxy) removeEndpoint(endpoint *knownEndpoint) {
	delete(p.endpoints.byID, endpoint.id)
	for len(endpoint.idleConns) > 0 {
		newest := endpoint.idleConns[len(endpoint.idleConns)-1]
		p.dropConn(p.upstream.conns.Get(newest))
	}
}
