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
	wholeEach    = 30 * time.Millisecond  // more that it may take for each node, as all may ask at once after a restart
	watchSlack   = 500 * time.Millisecond // that a watch may take over its wait
	listAgain    = 50 * time.Millisecond  // after a call that broke, at most: far under the 200 ms of a watch's renewal
	listEach     = 200 * time.Millisecond // the same for each node after a refusal: ten calls a second from the whole fleet
	listDoubled  = 2                      // times that the span after a refusal doubles
	listRests    = 30 * time.Second       // the longest span whatever the number of nodes
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
	fails  int    // calls in a row that failed
	busy   bool   // the last of them was refused, as discovery has too much to do
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
	// one that is slow has much to do: who stops waiting and asks again makes it do the same once more
	path, within := []byte(listPath), min(watchFor, wholeWithin+time.Duration(r.Terms.Rules.Nodes)*wholeEach)
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
	r.Discovery, r.list.since, r.list.fails = addr, unknownSince, 0
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

// listLost calls again after a pause.
func (r *Relay) listLost() {
	r.count.Reconnects++
	r.list.link = 0
	r.list.call++
	r.list.fails++
	r.due.Put(r.now().Add(listPause(r.list.fails, r.Terms.Rules.Nodes, r.list.busy, r.chance.Next())), due{list: r.list.call})
	r.list.busy = false
}

// listPause is how long to wait after so many calls in a row that failed: a share by chance of a span that doubles each
// time. It is short at first after a call that broke, so that a watch goes on; after a refusal it is the number of
// nodes that says how long. It guards against a discovery that has too much to do and is kept there by all nodes, each of
// them asking again as often as if it were alone.
func listPause(fails, nodes int, refused bool, chance float64) time.Duration {
	fleet := max(listAgain, time.Duration(nodes)*listEach)
	span := listAgain << min(fails-1, 10)
	if refused {
		span = max(span, fleet<<min(fails-1, listDoubled))
	}
	return time.Duration(chance * float64(min(span, fleet<<listDoubled, listRests)))
}

func (r *Relay) listData(l *link) {
	a, size, err := http1.ReadAnswer(l.buf.Unused(), maxList, l.ended)
	if err == nil && size == 0 {
		return
	}
	if err != nil || a.Status != 200 {
		if r.list.busy = err == nil && (a.Status == http1.Unavailable || a.Status == http1.TooMany); !r.list.busy {
			r.list.since = unknownSince // it may not know our version any more
		}
		r.lose(l, policy.Broken)
		return
	}
	news, err := r.list.parser.ParseBytes(a.Body)
	if err != nil || news.Type() != fastjson.TypeObject {
		r.lose(l, policy.Broken)
		return
	}
	r.count.Lists++
	r.list.fails = 0
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
