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
	listPath = "/registry/instances"
	maxList  = 8 << 20 // bytes of a list: tens of thousands of caches
)

var states = map[string]policy.Lifecycle{"in_service": policy.Ready, "terminating": policy.Draining,
	"terminated": policy.Removed}

// listCall is the one call for the list.
type listCall struct {
	link    linkID
	call    uint64 // counts calls, so that a deadline knows its own
	asks    discovery.Poll
	since   policy.Instant // when the call began, its connection among it
	caller  discovery.Poller
	failed  discovery.Failure // how the call that is about to be lost has failed
	heardAt policy.Instant    // when the last answer was taken
	odd     bool              // the last list had entries that cannot be read
	reader  endpointlist.Reader
}

// follow starts a call for the list on a new connection. The first asks for the whole list.
func (r *Proxy) follow() {
	r.beginCall()
	l := &link{does: theList}
	if err := r.open(l, r.Discovery); err != nil {
		r.listLost()
		return
	}
	r.list.link = l.id
}

// beginCall decides what to ask, and by when. The deadline is that of the whole call: connecting takes of it.
func (r *Proxy) beginCall() {
	r.list.call++
	r.list.asks, r.list.since = r.list.caller.NextPoll(), r.now()
	r.due.Push(r.list.since.Add(r.list.asks.Timeout), due{list: r.list.call})
}

// askForList writes the call for the list on a connection that is up.
func (r *Proxy) askForList(l *link) {
	path, call := []byte(listPath), r.list.asks
	if !call.Complete {
		wait := max(time.Millisecond, call.LongPoll-r.now().Since(r.list.since)) // so that it is over before it is given up
		path = strconv.AppendInt(append(path, "?since="...), int64(call.SinceVersion), 10)
		path = strconv.AppendInt(append(path, "&timeout_ms="...), int64((wait+time.Millisecond-1)/time.Millisecond), 10)
	}
	if l.wire.Write(http1.AppendRequest(nil, "GET", path, r.Discovery, nil, nil)) != nil {
		r.lose(l, policy.ConnectFailed)
	}
}

// moveList calls another address. Versions are the old one's, so the whole list is asked for there. The old call is
// closed first: one that still waits could bring an older list than the new address has told.
func (r *Proxy) moveList(addr string) {
	if addr == r.Discovery {
		return
	}
	r.Discovery = addr
	r.list.caller.OnAddressChange()
	r.count.DiscoveryChanges++
	if l := r.links.Get(r.list.link); l != nil {
		r.dropLink(l)
	}
	r.follow()
}

// listSilent ends a call that has gone unanswered; the list last held stays.
func (r *Proxy) listSilent(call uint64) {
	if l := r.links.Get(r.list.link); call == r.list.call {
		if l == nil {
			r.follow()
			return
		}
		r.lose(l, policy.TimedOut)
	}
}

// listLost calls again after a pause. Only the first failure in a row is logged: at size nobody could read a line a call.
func (r *Proxy) listLost() {
	r.count.Reconnects++
	r.list.link = 0
	r.list.call++
	how := r.list.failed
	r.list.failed = discovery.ConnectionLost
	rest, first := r.list.caller.OnFailure(how, r.now().Since(r.list.since), r.chance.Float64())
	if first {
		r.Log.WithField("how", how).Warn("the list cannot be had; the last one stays")
	}
	r.due.Push(r.now().Add(rest), due{list: r.list.call})
}

func (r *Proxy) listData(l *link) {
	a, size, err := l.read.ReadResponse(l.buf.Unread(), maxList, l.ended)
	if err == nil && size == 0 {
		l.buf.Reserve(a.TotalSize)
		return
	}
	if err != nil || a.Status != 200 {
		r.list.failed = discovery.Unreadable
		if err == nil && (a.Status == http1.Unavailable || a.Status == http1.TooMany) {
			r.list.failed = discovery.Refused
		}
		r.lose(l, policy.ConnectionBroken)
		return
	}
	news, err := r.list.reader.Read(a.Body) // refuses half a list, which would read as one without caches
	if err != nil || !news.HasVersion || !r.list.caller.Accepts(news.Version, news.Complete) {
		r.list.failed = discovery.Unreadable
		r.lose(l, policy.ConnectionBroken)
		return
	}
	r.count.EndpointUpdates++
	r.stalls.lists++
	form, again := r.list.caller.OnUpdate(news.Version, news.Complete)
	if again {
		r.Log.Info("the list is had again")
	}
	r.hear(&news, form)
	r.list.heardAt = r.now()
	l.use(size)
	r.ready()
	if a.Close {
		r.dropLink(l)
		r.follow()
		return
	}
	r.beginCall()
	r.askForList(l)
}

// hear passes a list on, and closes idle connections to caches that are gone or started anew.
func (r *Proxy) hear(news *endpointlist.List, form policy.UpdateKind) {
	entries := make([]policy.Endpoint, 0, news.Len())
	named, odd := map[policy.EndpointID]bool{}, 0
	news.Each(func(row *fastjson.Value) {
		id := policy.EndpointID(row.GetStringBytes("instanceId"))
		c := r.caches[id]
		began := r.startOf(c, row.GetFloat64("startedAtMs"))
		e := policy.Endpoint{
			ID: id, Kind: r.Settings.Names.Kind(row.GetStringBytes("machineType")),
			Lifecycle: policy.Draining, StartedAt: began.at,
			Zone: policy.ZoneID(row.GetStringBytes("zone")), Group: policy.GroupID(row.GetInt("cell")),
			Weight: settings.Number(row.Get("weight")),
		}
		addr := string(row.GetStringBytes("hostPort"))
		if e.ID == "" {
			odd++
			return
		}
		if s, ok := states[string(row.GetStringBytes("lifecycle"))]; ok { // nothing new to what is in an unknown state
			e.Lifecycle = s
		}
		entries, named[e.ID] = append(entries, e), true
		if c != nil && (e.Lifecycle == policy.Removed || c.addr != addr || e.StartedAt > c.start.at) {
			r.forget(c)
			c = nil
		}
		if c == nil && e.Lifecycle != policy.Removed {
			c = &cache{id: e.ID, addr: addr, start: began}
			r.caches[e.ID] = c
		}
		if c != nil {
			c.carrier = metaCarrier{}
			switch kind := string(row.GetStringBytes("machineType")); {
			case r.isOrigin(e.Kind):
				c.carrier = originCarrier{}
			case slices.Contains(r.Listeners.Servers.HTTPKinds, kind):
				c.carrier = httpCarrier{&r.Listeners.Servers, r.Settings.Policy.CacheAside}
			}
		}
	})
	if odd > 0 && !r.list.odd { // each list has them from now on, and a line for each would bury the log
		r.Log.WithField("entries", odd).Warn("the list has entries that cannot be read; caches that it does not name stay")
	}
	if r.list.odd = odd > 0; odd > 0 && form == policy.CompleteUpdate { // an entry that cannot be read may be that of any cache which is not named
		form = policy.DeltaUpdate
	}
	for id, c := range r.caches {
		if form != policy.DeltaUpdate && !named[id] {
			r.forget(c)
		}
	}
	r.countMembers()
	if len(entries) > 0 || form != policy.DeltaUpdate {
		r.host.UpdateEndpoints(r.now(), form, entries)
	}
}

// countMembers counts the caches without the origin, as the list has changed.
func (r *Proxy) countMembers() {
	r.members = 0
	for _, c := range r.caches {
		if _, isOrigin := c.carrier.(originCarrier); !isOrigin {
			r.members++
		}
	}
	if r.stance != nil {
		r.stance.keep(func(id policy.EndpointID) bool { return r.caches[id] != nil })
	}
}

// forget closes what is idle; legs that are out go on.
func (r *Proxy) forget(c *cache) {
	delete(r.caches, c.id)
	for len(c.idle) > 0 {
		r.dropLink(r.links.Get(c.idle[len(c.idle)-1]))
	}
}
