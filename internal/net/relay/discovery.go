package relay

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"dahliapin/internal/houserules"
	"dahliapin/internal/net/http1"
	"dahliapin/policy"
)

const (
	listPath     = "/registry/instances"
	watchFor     = 5 * time.Second        // that a watch may wait: short, so that a silent one is soon known
	wholeWithin  = 500 * time.Millisecond // that the whole list may take: the agent answers at once
	watchSlack   = 500 * time.Millisecond // that a watch may take over its wait
	listAgain    = 50 * time.Millisecond  // between calls that fail: far under the 200 ms of a watch's renewal
	maxList      = 8 << 20                // bytes of a list: tens of thousands of caches
	unknownSince = -1
)

var states = map[string]policy.State{"in_service": policy.Ready, "terminating": policy.Draining,
	"terminated": policy.Gone}

// discovery is the one call for the list.
type discovery struct {
	link   linkID
	call   uint64 // counts calls, so that a deadline knows its own
	since  int    // the version held
	parser fastjson.Parser
}

// follow starts a call for the list on a new connection. The first asks for the whole list.
func (r *Relay) follow() {
	r.list.call++
	l := &link{does: theList}
	if err := r.open(l, r.Discovery); err != nil {
		r.listLost()
		return
	}
	r.list.link = l.id
}

func (r *Relay) askForList(l *link) {
	r.list.call++
	path, within := []byte(listPath), wholeWithin
	if r.list.since != unknownSince {
		path = strconv.AppendInt(append(path, "?since="...), int64(r.list.since), 10)
		path = strconv.AppendInt(append(path, "&timeout_ms="...), int64(watchFor/time.Millisecond), 10)
		within = watchFor + watchSlack
	}
	r.due.Put(r.now().Add(within), due{list: r.list.call})
	if l.wire.Write(http1.AppendRequest(nil, "GET", path, r.Discovery, nil, nil)) != nil {
		r.lose(l, policy.Unconnected)
	}
}

// moveList calls another address. Versions are the old one's, so the whole list is asked for there. The old call is
// closed first: one that still waits could bring an older list than the new address has told.
func (r *Relay) moveList(addr string) {
	if addr == r.Discovery {
		return
	}
	r.Discovery, r.list.since = addr, unknownSince
	r.count.Moves++
	if l := r.links.Get(r.list.link); l != nil {
		r.dropLink(l)
	}
	r.follow()
}

// listSilent ends a call that has gone unanswered; the list last held stays.
func (r *Relay) listSilent(call uint64) {
	if l := r.links.Get(r.list.link); call == r.list.call {
		if l == nil {
			r.follow()
			return
		}
		r.lose(l, policy.TimedOut)
	}
}

// listLost calls again soon.
func (r *Relay) listLost() {
	r.count.Reconnects++
	r.list.link = 0
	r.list.call++
	r.due.Put(r.now().Add(listAgain), due{list: r.list.call})
}

func (r *Relay) listData(l *link) {
	a, size, err := http1.ReadAnswer(l.buf.Unused(), maxList, l.ended)
	if err == nil && size == 0 {
		return
	}
	if err != nil || a.Status != 200 {
		r.list.since = unknownSince // it may not know our version any more
		r.lose(l, policy.Broken)
		return
	}
	news, err := r.list.parser.ParseBytes(a.Body)
	if err != nil || news.Type() != fastjson.TypeObject {
		r.lose(l, policy.Broken)
		return
	}
	r.count.Lists++
	form := policy.Changes
	if news.GetBool("reset") || r.list.since == unknownSince {
		form = policy.Whole
	}
	if v := news.Get("generation"); v != nil {
		r.list.since = v.GetInt()
	}
	r.hear(news, form)
	l.buf.Use(size)
	r.ready()
	if a.Last {
		r.dropLink(l)
		r.follow()
		return
	}
	r.askForList(l)
}

// hear passes a list on, and closes idle connections to caches that are gone or started anew.
func (r *Relay) hear(news *fastjson.Value, form policy.ListForm) {
	rows := news.GetArray("instances")
	entries := make([]policy.Entry, 0, len(rows))
	named := map[policy.CacheID]bool{}
	for _, row := range rows {
		e := policy.Entry{
			ID: policy.CacheID(row.GetStringBytes("instanceId")), Kind: r.Terms.Names.Kind(row.GetStringBytes("machineType")),
			State: policy.Draining, Born: r.wall(row.GetFloat64("startedAtMs")),
			Zone: policy.ZoneID(row.GetStringBytes("zone")), Group: policy.GroupID(row.GetInt("cell")),
			Weight: houserules.Number(row.Get("weight")),
		}
		addr := string(row.GetStringBytes("hostPort"))
		if e.ID == "" {
			r.Log.Warn("passed over an entry of the list without an id")
			continue
		}
		if s, ok := states[string(row.GetStringBytes("lifecycle"))]; ok { // nothing new to what is in an unknown state
			e.State = s
		}
		entries, named[e.ID] = append(entries, e), true
		c := r.caches[e.ID]
		if c != nil && (e.State == policy.Gone || c.addr != addr || e.Born > c.born) {
			r.forget(c)
			c = nil
		}
		if c == nil && e.State != policy.Gone {
			c = &cache{id: e.ID, addr: addr, born: e.Born}
			r.caches[e.ID] = c
		}
		if c != nil {
			c.carrier = metaCarrier{}
			if r.isOrigin(e.Kind) {
				c.carrier = originCarrier{}
			}
		}
	}
	for id, c := range r.caches {
		if form != policy.Changes && !named[id] {
			r.forget(c)
		}
	}
	if len(entries) > 0 || form != policy.Changes {
		r.host.Listed(r.now(), form, entries)
	}
}

// forget closes what is idle; legs that are out go on.
func (r *Relay) forget(c *cache) {
	delete(r.caches, c.id)
	for len(c.idle) > 0 {
		r.dropLink(r.links.Get(c.idle[len(c.idle)-1]))
	}
}
