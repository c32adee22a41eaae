package proxy

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/discovery"
	"dahliapin/internal/wire/endpointlist"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

const (
	endpointListPath     = "/registry/instances"
	maxEndpointListBytes = 8 << 20 // bytes of a list: tens of thousands of caches
)

var lifecycleNames = map[string]policy.Lifecycle{"in_service": policy.Ready, "terminating": policy.Draining,
	"terminated": policy.Removed}

// endpointWatch is the one call for the list.
type endpointWatch struct {
	conn          upstreamConnID
	pollNumber    uint64 // counts calls, so that a deadline knows its own
	poll          discovery.Poll
	pollStartedAt policy.Instant // when the call began, its connection among it
	poller        discovery.Poller
	failure       discovery.Failure // how the call that is about to be lost has failed
	updatedAt     policy.Instant    // when the last answer was taken
	hasUnreadable bool              // the last list had entries that cannot be read
	reader        endpointlist.Reader
}

// startWatch starts a call for the list on a new connection. The first asks for the whole list.
func (p *Proxy) startWatch() {
	p.beginPoll()
	conn := &upstreamConn{purpose: purposeEndpointList}
	if err := p.openConn(conn, p.Discovery); err != nil {
		p.onPollFailed()
		return
	}
	p.watch.conn = conn.id
}

// beginPoll decides what to ask, and by when. The deadline is that of the whole call: connecting takes of it.
func (p *Proxy) beginPoll() {
	p.watch.pollNumber++
	p.watch.poll, p.watch.pollStartedAt = p.watch.poller.NextPoll(), p.now()
	p.timers.Push(p.watch.pollStartedAt.Add(p.watch.poll.Timeout), timerEvent{poll: p.watch.pollNumber})
}

// writePoll writes the call for the list on a connection that is up.
func (p *Proxy) writePoll(conn *upstreamConn) {
	path, poll := []byte(endpointListPath), p.watch.poll
	if !poll.Complete {
		wait := max(time.Millisecond, poll.LongPoll-p.now().Since(p.watch.pollStartedAt)) // so that it is over before it is given up
		path = strconv.AppendInt(append(path, "?since="...), int64(poll.SinceVersion), 10)
		path = strconv.AppendInt(append(path, "&timeout_ms="...), int64((wait+time.Millisecond-1)/time.Millisecond), 10)
	}
	if conn.wire.Write(http1.AppendRequest(nil, "GET", path, p.Discovery, nil, nil)) != nil {
		p.failConn(conn, policy.ConnectFailed)
	}
}

// changeDiscovery calls another address. Versions are the old one's, so the whole list is asked for there. The old call is
// closed first: one that still waits could bring an older list than the new address has told.
func (p *Proxy) changeDiscovery(addr string) {
	if addr == p.Discovery {
		return
	}
	p.Discovery = addr
	p.watch.poller.OnAddressChange()
	p.counters.DiscoveryChanges++
	if conn := p.conns.Get(p.watch.conn); conn != nil {
		p.dropConn(conn)
	}
	p.startWatch()
}

// onPollTimer ends a call that has gone unanswered; the list last held stays.
func (p *Proxy) onPollTimer(call uint64) {
	if conn := p.conns.Get(p.watch.conn); call == p.watch.pollNumber {
		if conn == nil {
			p.startWatch()
			return
		}
		p.failConn(conn, policy.TimedOut)
	}
}

// onPollFailed calls again after a pause. Only the first failure in a row is logged: at size nobody could read a line a call.
func (p *Proxy) onPollFailed() {
	p.counters.Reconnects++
	p.watch.conn = 0
	p.watch.pollNumber++
	failure := p.watch.failure
	p.watch.failure = discovery.ConnectionLost
	backoff, first := p.watch.poller.OnFailure(failure, p.now().Since(p.watch.pollStartedAt), p.jitter.Float64())
	if first {
		p.Log.WithField("how", failure).Warn("the list cannot be had; the last one stays")
	}
	p.timers.Push(p.now().Add(backoff), timerEvent{poll: p.watch.pollNumber})
}

func (p *Proxy) readEndpointList(conn *upstreamConn) {
	answer, size, err := conn.progress.ReadResponse(conn.buf.Unread(), maxEndpointListBytes, conn.eof)
	if err == nil && size == 0 {
		conn.buf.Reserve(answer.TotalSize)
		return
	}
	if err != nil || answer.Status != 200 {
		p.watch.failure = discovery.Unreadable
		if err == nil && (answer.Status == http1.Unavailable || answer.Status == http1.TooMany) {
			p.watch.failure = discovery.Refused
		}
		p.failConn(conn, policy.ConnectionBroken)
		return
	}
	list, err := p.watch.reader.Read(answer.Body) // refuses half a list, which would read as one without caches
	if err != nil || !list.HasVersion || !p.watch.poller.Accepts(list.Version, list.Complete) {
		p.watch.failure = discovery.Unreadable
		p.failConn(conn, policy.ConnectionBroken)
		return
	}
	p.counters.EndpointUpdates++
	p.stalls.lists++
	kind, again := p.watch.poller.OnUpdate(list.Version, list.Complete)
	if again {
		p.Log.Info("the list is had again")
	}
	p.applyEndpointList(&list, kind)
	p.watch.updatedAt = p.now()
	conn.consumeResponse(size)
	p.serveIfReady()
	if answer.Close {
		p.dropConn(conn)
		p.startWatch()
		return
	}
	p.beginPoll()
	p.writePoll(conn)
}

// applyEndpointList passes a list on, and closes idle connections to caches that are gone or started anew.
func (p *Proxy) applyEndpointList(list *endpointlist.List, kind policy.UpdateKind) {
	entries := make([]policy.Endpoint, 0, list.Len())
	named, unreadable := map[policy.EndpointID]bool{}, 0
	list.Each(func(row *fastjson.Value) {
		id := policy.EndpointID(row.GetStringBytes("instanceId"))
		endpoint := p.endpoints[id]
		start := p.processStartOf(endpoint, row.GetFloat64("startedAtMs"))
		entry := policy.Endpoint{
			ID: id, Kind: p.Settings.Names.Kind(row.GetStringBytes("machineType")),
			Lifecycle: policy.Draining, StartedAt: start.at,
			Zone: policy.ZoneID(row.GetStringBytes("zone")), Group: policy.GroupID(row.GetInt("cell")),
			Weight: settings.Number(row.Get("weight")),
		}
		addr := string(row.GetStringBytes("hostPort"))
		if entry.ID == "" {
			unreadable++
			return
		}
		if s, ok := lifecycleNames[string(row.GetStringBytes("lifecycle"))]; ok { // nothing new to what is in an unknown state
			entry.Lifecycle = s
		}
		entries, named[entry.ID] = append(entries, entry), true
		if endpoint != nil && (entry.Lifecycle == policy.Removed || endpoint.addr != addr || entry.StartedAt > endpoint.start.at) {
			p.forgetEndpoint(endpoint)
			endpoint = nil
		}
		if endpoint == nil && entry.Lifecycle != policy.Removed {
			endpoint = &knownEndpoint{id: entry.ID, addr: addr, start: start}
			p.endpoints[entry.ID] = endpoint
		}
		if endpoint != nil {
			endpoint.codec = metaUpstream{}
			switch kind := string(row.GetStringBytes("machineType")); {
			case p.isOrigin(entry.Kind):
				endpoint.codec = originUpstream{}
			case slices.Contains(p.Listeners.Servers.HTTPKinds, kind):
				endpoint.codec = httpUpstream{&p.Listeners.Servers, p.Settings.Policy.CacheAside}
			}
		}
	})
	if unreadable > 0 && !p.watch.hasUnreadable { // each list has them from now on, and a line for each would bury the log
		p.Log.WithField("entries", unreadable).Warn("the list has entries that cannot be read; caches that it does not name stay")
	}
	if p.watch.hasUnreadable = unreadable > 0; unreadable > 0 && kind == policy.CompleteUpdate { // an entry that cannot be read may be that of any cache which is not named
		kind = policy.DeltaUpdate
	}
	for id, endpoint := range p.endpoints {
		if kind != policy.DeltaUpdate && !named[id] {
			p.forgetEndpoint(endpoint)
		}
	}
	p.countMembers()
	if len(entries) > 0 || kind != policy.DeltaUpdate {
		p.dispatcher.UpdateEndpoints(p.now(), kind, entries)
	}
}

// countMembers counts the caches without the origin, as the list has changed.
func (p *Proxy) countMembers() {
	p.memberCount = 0
	for _, endpoint := range p.endpoints {
		if _, isOrigin := endpoint.codec.(originUpstream); !isOrigin {
			p.memberCount++
		}
	}
	if p.endpointStats != nil {
		p.endpointStats.retain(func(id policy.EndpointID) bool { return p.endpoints[id] != nil })
	}
}

// forgetEndpoint closes what is idle; legs that are out go on.
func (p *Proxy) forgetEndpoint(endpoint *knownEndpoint) {
	delete(p.endpoints, endpoint.id)
	for len(endpoint.idleConns) > 0 {
		p.dropConn(p.conns.Get(endpoint.idleConns[len(endpoint.idleConns)-1]))
	}
}
