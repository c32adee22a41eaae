package simulation

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/discovery"
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/idletimeout"
	"dahliapin/internal/proxy/degradation"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/policy"
)

// node is one node: a host, its requests, and its connections.
type node struct {
	r      *Simulation
	number int
	part   float64 // of the traffic, against others'
	terms  settings.Settings
	life   int                  // counts its starts, so that what was meant for an earlier one is passed over
	host   *dispatch.Dispatcher // nil while it is down
	book   *eventlog.Recorder
	known  []policy.Endpoint // the list as last heard
	lists  discovery.Poller
	held   int // the version of the list as last heard
	kept   idletimeout.Timeout
	called uint64 // counts its calls for the list, so that an answer knows its own
	hand   map[policy.RequestID]*taken
	count  uint64
	links  map[int][]idle // by server, the latest used last
	avoids map[policy.EndpointID]bool
}

// idle is a connection in nobody's use.
type idle struct {
	since  policy.Instant
	breaks uint64 // of its server when it came up
}

// taken is one request in hand.
type taken struct {
	id       policy.RequestID
	req      world.Request
	first    policy.Instant
	legs     []*leg
	answered bool
}

// leg is one on its way.
type leg struct {
	n       *node
	life    int
	v       *taken
	number  int
	server  int
	tag     uint64
	sent    policy.Instant
	out     bool // the host has not heard of its end
	written bool // its last byte went out
	holds   bool // a connection
	breaks  uint64
}

func (n *node) start(form policy.UpdateKind, entries []policy.Endpoint) {
	n.life++
	n.hand, n.links, n.avoids = map[policy.RequestID]*taken{}, map[int][]idle{}, map[policy.EndpointID]bool{}
	n.kept = idletimeout.New(n.terms.Policy.IdleTimeout)
	n.book = eventlog.New("n"+strconv.Itoa(n.number+1), n.r.log.Note, isOrigin)
	seed := n.r.script.Seed*7919 + int64(n.number)*31 + int64(n.life)
	n.r.Decided++
	decider := n.r.make(n.r.now, seed, n.terms.Policy)
	if len(n.r.script.Levels) > 0 {
		decider = degradation.NewFilter(decider, n.r.now, uint32(seed), n.r.script.Levels, &n.terms, func(now policy.Instant, _ int, name string) {
			n.book.Level(now, name)
		}, new(uint64))
	}
	n.host = dispatch.NewWithDecider(n.r.now, decider, n, n)
	n.hear(form, entries)
	if n.r.registry.Bounded() {
		n.lists = discovery.New(n.terms.Policy.Nodes)
		n.lists.SetVersion(n.held)
		n.call()
	}
	n.r.serving = append(n.r.serving, n)
}

func (n *node) hear(form policy.UpdateKind, entries []policy.Endpoint) {
	for _, e := range entries {
		n.r.judge.Notified(n.r.now, n.number, e.ID, e.Lifecycle)
		n.known = slices.DeleteFunc(n.known, func(o policy.Endpoint) bool { return o.ID == e.ID })
		if e.Lifecycle != policy.Removed {
			n.known = append(n.known, e)
		}
	}
	n.host.UpdateEndpoints(n.r.now, form, entries)
}

// kill ends it at once: its connections are reset, and what it had in hand is nobody's.
func (n *node) kill() {
	n.life++
	n.host = nil
	ids := make([]policy.RequestID, 0, len(n.hand))
	for id := range n.hand {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		v := n.hand[id]
		for _, l := range v.legs {
			if l.out {
				l.out = false
				l.abandon()
			}
		}
		if !v.answered {
			n.r.judge.Excuse(v.req.ID)
			n.r.after(n.r.clientWay(), func() { n.r.cut(v.req, v.first) })
		}
	}
	for id, bad := range n.avoids {
		if bad {
			n.r.avoiders[id]--
		}
	}
	n.hand = map[policy.RequestID]*taken{}
	for s, idles := range n.links {
		for _, i := range idles {
			if i.breaks == n.r.breaks(s) {
				n.r.world.Servers[s].Held--
			}
		}
	}
	n.links = map[int][]idle{}
}

func (n *node) take(req world.Request, first policy.Instant) *taken {
	n.count++
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n.count)
	v := &taken{id: policy.RequestID(b[:]), req: req, first: first}
	n.hand[v.id] = v
	n.r.Decided++
	n.host.RequestArrived(n.r.now, &policy.Request{ID: v.id, Key: req.Key, Class: policy.ClassID(req.Class), Tenant: -1,
		Write: n.r.traffic.Classes[req.Class].Write, ArrivedAt: n.r.now, Deadline: n.r.now.Add(req.Deadline)})
	return v
}

// leaves has a client go without its answer, unless that is on its way; its node hears of it a way later.
func (n *node) leaves(v *taken, life int) {
	if v.answered || n.life != life {
		return
	}
	n.r.judge.ClientGone(n.r.now, v.req.ID)
	n.r.after(n.r.clientWay(), func() {
		if v.answered || n.life != life || n.host == nil {
			return
		}
		v.answered = true
		n.r.Decided++
		n.host.ClientGone(n.r.now, v.id)
		for _, l := range v.legs {
			if l.out && n.terms.Policy.CancelAllowed {
				l.stop(policy.Cancelled)
			}
		}
		n.release(v)
	})
}

// answer gives the one final answer; the client has it a way later.
func (n *node) answer(v *taken, how checker.Final, comeBack time.Duration) {
	v.answered = true
	r := n.r
	r.after(r.clientWay(), func() {
		r.judge.Answered(r.now, v.req.ID, how)
		if how != checker.Satisfied {
			r.again(v.req, v.first, how == checker.Rejected, comeBack)
			return
		}
		if r.now.Since(v.first) <= r.terms.Policy.Classes[v.req.Class].LatencyObjective {
			r.judge.Served(v.req.Class)
			r.log.InTime(v.first)
		}
	})
}

// release forgets a request that is answered and has nothing out.
func (n *node) release(v *taken) {
	if v.answered && !slices.ContainsFunc(v.legs, func(l *leg) bool { return l.out }) {
		delete(n.hand, v.id)
	}
}

// Send starts a leg.
func (n *node) Send(id policy.RequestID, to policy.EndpointID, giveUpAt policy.Instant) {
	v, r := n.hand[id], n.r
	l := &leg{n: n, life: n.life, v: v, number: len(v.legs), sent: r.now, out: true}
	v.legs = append(v.legs, l)
	server, known := r.world.Find(to)
	if !known {
		r.after(0, func() { l.end(policy.ConnectFailed, nil) })
		return
	}
	l.server = server
	r.tags++
	l.tag = r.tags
	r.At(giveUpAt, func() {
		if l.out {
			how := policy.TimedOut
			if !l.written {
				how = policy.ConnectFailed
			}
			l.stop(how)
		}
	})
	for idles := n.links[server]; len(idles) > 0; idles = n.links[server] {
		last := idles[len(idles)-1]
		n.links[server] = idles[:len(idles)-1]
		if last.breaks != r.breaks(server) {
			continue
		}
		l.holds, l.breaks = true, last.breaks
		l.write()
		return
	}
	r.after(r.way(n, server), func() { l.connect() })
}

// connect asks for a connection at the server.
func (l *leg) connect() {
	r := l.n.r
	s := r.world.Servers[l.server]
	r.log.Now(r.now).Dials++
	if s.Life == world.Silent { // nothing ever comes back
		r.At(l.sent.Add(scenario.Span(r.script.Allowed.ConnectMs/1000)), func() { l.end(policy.ConnectFailed, nil) })
		return
	}
	if r.fault(l.server) == "refuse" || !r.world.Connect(r.now, l.server) {
		if s.Life == world.Up && s.Held >= s.Connections {
			r.log.Now(r.now).FullDials++
			if l.life == l.n.life && l.n.connected(l.server) {
				l.n.full()
			}
		}
		r.after(r.way(l.n, l.server), func() { l.end(policy.ConnectFailed, nil) })
		return
	}
	s.Held++
	breaks, late := r.breaks(l.server), r.late(l.server)
	if most := scenario.Span(r.script.Allowed.ConnectMs / 1000); late > most {
		r.At(l.sent.Add(most), func() {
			if breaks == r.breaks(l.server) {
				s.Held--
			}
			l.end(policy.ConnectFailed, nil)
		})
		return
	}
	r.after(r.way(l.n, l.server)+late, func() {
		l.holds, l.breaks = true, breaks
		switch {
		case l.life != l.n.life || l.n.host == nil:
			l.drop()
		case !l.out:
			l.rest()
		case !l.n.host.MayStart(r.now, l.v.id, l.number):
			l.rest()
			l.over(policy.NotSent)
		default:
			l.write()
		}
	})
}

// write sends it; it has come when the last byte is there.
func (l *leg) write() {
	r := l.n.r
	l.written = true
	began := r.now
	r.after(r.way(l.n, l.server), func() { l.come(began) })
}

func (l *leg) come(began policy.Instant) {
	r := l.n.r
	s := r.world.Servers[l.server]
	if s.Life == world.Silent {
		return // swallowed
	}
	if s.Life == world.Down || l.breaks != r.breaks(l.server) {
		r.after(r.way(l.n, l.server), func() { l.lost() })
		return
	}
	r.log.Leg(r.now, s.ID)
	r.judge.AttemptArrived(r.now, began, l.v.req.ID, s.ID)
	switch r.fault(l.server) {
	case "reset":
		r.judge.AttemptEnded(r.now, l.v.req.ID, s.ID, true)
		r.after(r.way(l.n, l.server), func() { l.lost() })
		return
	case "silent":
		return
	}
	j := world.Job{Request: l.v.req.ID, Node: l.n.number, Key: l.v.req.Key, Label: l.v.req.Label, Class: l.v.req.Class,
		Until: l.v.req.Sent.Add(l.v.req.Deadline + slack), Tag: l.tag}
	r.legs[l.tag] = l
	if d, ok := r.world.Offer(r.now, l.server, j); !ok {
		r.served(d)
	} else if !l.out { // its connection was closed behind it: if it has begun, it runs to its end all the same
		r.judge.AttemptEnded(r.now, l.v.req.ID, s.ID, false)
		delete(r.legs, l.tag)
		r.world.Withdraw(r.now, l.server, l.tag)
	}
}

// end tells the host of a leg's one outcome.
func (l *leg) end(how policy.Result, report []float64) {
	n := l.n
	if !l.out || l.life != n.life || n.host == nil {
		l.drop()
		return
	}
	l.out = false
	if how == policy.ConnectionBroken || how == policy.Errored && n.r.fault(l.server) == "garbage" {
		l.drop()
	} else {
		l.rest()
	}
	if how == policy.Answered && !l.v.answered {
		n.answer(l.v, checker.Satisfied, 0)
	}
	n.r.Decided++
	n.host.AttemptDone(n.r.now, l.v.id, how, l.v.answered, policy.Outcome{Attempt: l.number, Latency: n.r.now.Since(l.sent), LoadReport: report})
	n.release(l.v)
}

// lost is its connection's end under it.
func (l *leg) lost() {
	if _, there := l.n.r.legs[l.tag]; there {
		delete(l.n.r.legs, l.tag)
		l.n.r.judge.AttemptEnded(l.n.r.now, l.v.req.ID, l.n.r.world.Servers[l.server].ID, false)
	}
	l.holds = false
	l.end(policy.ConnectionBroken, nil)
}

// stop ends a leg from this side, by closing its connection.
func (l *leg) stop(how policy.Result) {
	if !l.written {
		if how != policy.ConnectFailed {
			how = policy.NotSent
		}
	} else {
		l.abandon()
	}
	l.over(how)
}

// over is end for a leg whose connection is closed already, or was never up.
func (l *leg) over(how policy.Result) {
	l.out = false
	n := l.n
	n.r.Decided++
	n.host.AttemptDone(n.r.now, l.v.id, how, l.v.answered, policy.Outcome{Attempt: l.number, Latency: n.r.now.Since(l.sent)})
	n.release(l.v)
}

// abandon closes the connection under a leg: the server hears of it a way later.
func (l *leg) abandon() {
	r := l.n.r
	l.drop()
	r.judge.AttemptEnded(r.now, l.v.req.ID, r.world.Servers[l.server].ID, false)
	r.after(r.way(l.n, l.server), func() {
		if r.legs[l.tag] != nil {
			delete(r.legs, l.tag)
			r.world.Withdraw(r.now, l.server, l.tag)
		}
	})
}

// drop closes a leg's connection.
func (l *leg) drop() {
	if l.holds {
		l.holds = false
		if l.breaks == l.n.r.breaks(l.server) {
			l.n.r.world.Servers[l.server].Held--
		}
	}
}

// rest keeps its connection for the next leg.
func (l *leg) rest() {
	if l.holds {
		l.holds = false
		l.n.keep(l.server, l.breaks)
	}
}

// connected tells whether a connection to a server is up.
func (n *node) connected(server int) bool {
	for _, v := range n.hand {
		if slices.ContainsFunc(v.legs, func(l *leg) bool { return l.holds && l.server == server && l.breaks == n.r.breaks(server) }) {
			return true
		}
	}
	return slices.ContainsFunc(n.links[server], func(i idle) bool { return i.breaks == n.r.breaks(server) })
}

// keep holds an idle connection for as long as the node keeps one.
func (n *node) keep(server int, breaks uint64) {
	one := idle{n.r.now, breaks}
	n.links[server] = append(n.links[server], one)
	n.tend(server, one)
}

// tend closes an idle connection once its time has come.
func (n *node) tend(server int, one idle) {
	life := n.life
	n.r.At(one.since.Add(n.kept.Current(n.r.now)), func() {
		i := slices.Index(n.links[server], one)
		if n.life != life || i < 0 || n.r.now.Since(one.since) < n.kept.Current(n.r.now) {
			return // another that is due later looks after it
		}
		n.links[server] = slices.Delete(n.links[server], i, i+1)
		if one.breaks == n.r.breaks(server) {
			n.r.world.Servers[server].Held--
		}
	})
}

// full tells that a server that lives had no room for a connection: idle ones are given back sooner.
func (n *node) full() {
	if !n.kept.OnServerFull(n.r.now) {
		return
	}
	for server := range n.r.world.Servers {
		for _, one := range n.links[server] {
			n.tend(server, one)
		}
	}
}

// Cancel calls a leg off.
func (n *node) Cancel(id policy.RequestID, number int) {
	v := n.hand[id]
	if v == nil || number >= len(v.legs) || !v.legs[number].out {
		return
	}
	l, life := v.legs[number], n.life
	n.r.after(0, func() {
		if l.out && n.life == life {
			l.stop(policy.Cancelled)
		}
	})
}

// Reject answers that a retry is harmless.
func (n *node) Reject(id policy.RequestID, comeBack time.Duration) {
	if v := n.hand[id]; v != nil && !v.answered {
		n.answer(v, checker.Rejected, comeBack)
		n.later(v)
	}
}

// Fail answers that it failed.
func (n *node) Fail(id policy.RequestID) {
	if v := n.hand[id]; v != nil && !v.answered {
		n.answer(v, checker.Failed, 0)
		n.later(v)
	}
}

// later releases a request once the call into the host that answered it is over.
func (n *node) later(v *taken) { n.r.after(0, func() { n.release(v) }) }

// Timer wakes the host.
func (n *node) SetTimer(in time.Duration, token string) {
	life := n.life
	n.r.after(max(in, 1), func() {
		if n.life == life && n.host != nil {
			n.r.Decided++
			n.host.OnTimer(n.r.now, token)
		}
	})
}

// Probe checks on a server.
func (n *node) CheckHealth(id policy.EndpointID) {
	r, life := n.r, n.life
	server, known := r.world.Find(id)
	if !known {
		return
	}
	r.log.Now(r.now).Probes++
	found, wait := policy.Answered, r.way(n, server)+r.way(n, server)
	switch s := r.world.Servers[server]; {
	case s.Life == world.Down, r.fault(server) == "refuse":
		found = policy.ConnectFailed
	case s.Life == world.Up && len(n.links[server]) == 0 && s.Held >= s.Connections: // it needs a connection, as legs do
		r.log.Now(r.now).FullDials++
		found = policy.ConnectFailed
	case s.Life == world.Silent, s.Frozen(r.now), r.fault(server) == "silent":
		found, wait = policy.TimedOut, scenario.Span(r.script.Allowed.ConnectMs/1000)
	case r.fault(server) != "":
		found = policy.ConnectionBroken
	}
	r.after(wait, func() {
		if n.life == life && n.host != nil {
			n.host.OnHealthCheck(r.now, id, found)
		}
	})
}

// Follow needs nothing: the list is always followed.
func (n *node) PollEndpoints() {}

// The node watches its own host: for its own book, and for the fleet's.

// Stands hears how a cache stands. The fleet as a whole avoids what most of its nodes avoid.
func (n *node) EndpointStateChanged(now policy.Instant, id policy.EndpointID, s policy.EndpointState) {
	n.book.EndpointStateChanged(now, id, s)
	r, bad := n.r, s == policy.StateUnresponsive || s == policy.StateUnreachable || s == policy.StateFailing
	if n.avoids[id] != bad {
		if n.avoids[id] = bad; bad {
			r.avoiders[id]++
		} else {
			r.avoiders[id]--
		}
	}
	switch most := 2*r.avoiders[id] > len(r.nodes); {
	case most && bad:
		r.fleet.EndpointStateChanged(now, id, s)
	case !most:
		r.fleet.EndpointStateChanged(now, id, policy.StateInUse)
	}
}

// Sent hears of a leg.
func (n *node) AttemptSent(now policy.Instant, id policy.EndpointID) {
	n.book.AttemptSent(now, id)
	n.r.fleet.AttemptSent(now, id)
}

// Ended hears of a leg's end.
func (n *node) AttemptDone(now policy.Instant, id policy.EndpointID, how policy.Result, took time.Duration) {
	n.r.log.Ended(now, how)
	n.book.AttemptDone(now, id, how, took)
	n.r.fleet.AttemptDone(now, id, how, took)
}

// Listed hears the list.
func (n *node) EndpointsUpdated(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	n.book.EndpointsUpdated(now, form, entries)
}
