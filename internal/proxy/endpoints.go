package proxy

import (
	"slices"

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/wire/endpointlist"
	"dahliapin/policy"
)

// endpointTable holds the endpoints that the list names, and follows the list. The loop writes it: the list by
// endpoint_watch.go, the table here. The dispatcher gets each update in the same call, so that decisions and the table
// are of one list. Of the same endpoints, policy.endpointList has what decisions need; here are their connections.
type endpointTable struct {
	byID    map[policy.EndpointID]*knownEndpoint
	members int // how many of them are not the origin
	watch   endpointWatch
}

// knownEndpoint is what the list says of an endpoint, and the idle connections to it.
type knownEndpoint struct {
	id        policy.EndpointID
	addr      string
	codec     upstreamCodec
	start     processStart
	idleConns []upstreamConnID // the one used last at the end
}

// lifecycleNames are the list's words for an endpoint's lifecycle.
var lifecycleNames = map[string]policy.Lifecycle{
	"in_service":  policy.Ready,
	"terminating": policy.Draining,
	"terminated":  policy.Removed,
}

func (p *Proxy) isOrigin(kind int) bool {
	return p.config.Settings.Policy.CacheAside && kind == p.config.Settings.Policy.OriginKind
}

// applyLastKnownEndpoints applies the list as an earlier process last received it, if that can be read. The next poll
// then asks only for what is newer.
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

// applyEndpointList applies an update of the list to the table and passes it on to the dispatcher. Idle connections to
// endpoints that are gone or were started anew are closed; attempts in flight to them go on.
func (p *Proxy) applyEndpointList(list *endpointlist.List, kind policy.UpdateKind) {
	entries := make([]policy.Endpoint, 0, list.Len())
	named := map[policy.EndpointID]bool{}
	unreadable := 0
	list.Each(func(row *fastjson.Value) {
		id := policy.EndpointID(row.GetStringBytes("instanceId"))
		start := p.processStartOf(p.endpoints.byID[id], row.GetFloat64("startedAtMs"))
		if id == "" {
			unreadable++
			return
		}
		entry := p.readEntry(row, id, start)
		entries = append(entries, entry)
		named[id] = true
		p.applyEntry(row, &entry, start)
	})
	p.noteUnreadable(unreadable)
	if unreadable > 0 && kind == policy.CompleteUpdate {
		// Guards against the loss of an endpoint whose entry can't be read: it may be any that is not named.
		kind = policy.DeltaUpdate
	}
	if kind != policy.DeltaUpdate {
		p.forgetUnnamed(named)
	}
	p.countMembers()
	if len(entries) > 0 || kind != policy.DeltaUpdate {
		p.dispatcher.UpdateEndpoints(p.now(), kind, entries)
	}
}

// readEntry maps a row of the list to the terms of package policy. An endpoint of an unknown lifecycle counts as
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

// applyEntry applies an entry to the table. One with another address or start is another process: nothing of the old
// one's connections is of use.
func (p *Proxy) applyEntry(row *fastjson.Value, entry *policy.Endpoint, start processStart) {
	addr := string(row.GetStringBytes("hostPort"))
	isRemoved := entry.Lifecycle == policy.Removed
	endpoint := p.endpoints.byID[entry.ID]
	if endpoint != nil && (isRemoved || endpoint.addr != addr || entry.StartedAt > endpoint.start.at) {
		p.forgetEndpoint(endpoint)
		endpoint = nil
	}
	if isRemoved {
		return
	}
	if endpoint == nil {
		endpoint = &knownEndpoint{id: entry.ID, addr: addr, start: start}
		p.endpoints.byID[entry.ID] = endpoint
	}
	endpoint.codec = p.codecFor(entry.Kind, string(row.GetStringBytes("machineType")))
}

// codecFor returns the codec of endpoints of a kind.
func (p *Proxy) codecFor(kind int, kindName string) upstreamCodec {
	switch {
	case p.isOrigin(kind):
		return originUpstream{}
	case slices.Contains(p.config.Listeners.Servers.HTTPKinds, kindName):
		return httpUpstream{servers: &p.config.Listeners.Servers, cacheAside: p.config.Settings.Policy.CacheAside}
	}
	return metaUpstream{}
}

// noteUnreadable logs that a list has entries that can't be read, once for the lists in a row that have some: a line
// for each list would bury the log.
func (p *Proxy) noteUnreadable(entries int) {
	if entries > 0 && !p.endpoints.watch.hasUnreadable {
		p.config.Log.WithField("entries", entries).
			Warn("the list has entries that cannot be read; caches that it does not name stay")
	}
	p.endpoints.watch.hasUnreadable = entries > 0
}

func (p *Proxy) forgetUnnamed(named map[policy.EndpointID]bool) {
	for id, endpoint := range p.endpoints.byID {
		if !named[id] {
			p.forgetEndpoint(endpoint)
		}
	}
}

// countMembers counts the endpoints without the origin, as the list has changed.
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

// forgetEndpoint removes an endpoint and closes its idle connections; attempts in flight go on.
func (p *Proxy) forgetEndpoint(endpoint *knownEndpoint) {
	delete(p.endpoints.byID, endpoint.id)
	for len(endpoint.idleConns) > 0 {
		newest := endpoint.idleConns[len(endpoint.idleConns)-1]
		p.dropConn(p.upstream.conns.Get(newest))
	}
}
