package proxy

import (
	"math"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/proxy/sockets"
	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	connect   = 250 * time.Millisecond // to come up, where no time is stated
	settleFor = 10 * time.Millisecond  // in which a second answer would have followed a first: ways within a site and their jitter

	shareComing = 4       // part of the memory that answers may take which have not come whole
	fewBytes    = 4 << 10 // of such an answer that are never too many: with all links they stay under that part
)

// cache is what the list says of a cache, and the connections to it.
type cache struct {
	id      policy.EndpointID
	addr    string
	carrier carrier
	start   start
	idle    []linkID // the latest used last
}

// spoilt is the outcome of a leg whose answer can't be read, until it is told as one that the module knows.
const spoilt policy.Result = -1

// errand is what a link is used for.
type errand int

const (
	nothing errand = iota
	aLeg
	aProbe
	theList
	aStream // the rest of a long value
)

// link is a connection from this node, for one thing at a time.
type link struct {
	id     linkID
	wire   *sockets.Wire // nil until it is up
	cache  *cache        // nil for the list
	buf    buffer.Buffer
	read   http1.Progress // of the answer that is coming
	does   errand
	leg    legRef
	usedAt policy.Instant
	stopAt policy.Instant // when a probe, or the wait for the connection, is over; 0 for no need
	ended  bool           // all that was sent has come
	idleAt policy.Instant // when to see whether it is idle for long; 0 for not yet
	coming int            // bytes of an answer that has not come whole
	proven bool           // something was answered on it
	nobody policy.Instant // when something came on it that does not say whose answer it is; 0 for never
	stream *stream        // what it passes on, or nil
	last   bool           // it ends with the answer that it passes on
	queued bool           // it is among the idle links, between these two
	older  *link
	newer  *link
}

// use passes over an answer that has been read; what follows belongs to the next.
func (l *link) use(size int) {
	l.buf.Consume(size)
	l.read = http1.Progress{}
}

type leg struct {
	out      bool
	link     linkID
	sent     policy.Instant
	giveUpAt policy.Instant
	begun    bool // written, but the kernel had not taken all of it then
}

func (r *Proxy) connectTime() time.Duration {
	if r.Settings.ConnectTimeout > 0 {
		return r.Settings.ConnectTimeout
	}
	return connect
}

func (r *Proxy) idleTime() time.Duration { return r.kept.Current(r.now()) }

// Send starts a leg on the connection used last, or on a new one.
func (r *Proxy) Send(id policy.RequestID, to policy.EndpointID, giveUpAt policy.Instant) {
	v := r.hand.Get(slotOf(id))
	if v == nil {
		return
	}
	now := r.now()
	ref := legRef{v.id, len(v.legs)}
	v.legs = append(v.legs, leg{out: true, sent: now, giveUpAt: giveUpAt})
	r.count.Attempts++
	c := r.caches[to]
	if c == nil {
		r.end(v, ref.leg, policy.ConnectFailed, nil)
		return
	}
	if r.leftUnheard(v) {
		r.end(v, ref.leg, policy.NotSent, nil)
		return
	}
	l, err := r.linkTo(c, aLeg, !v.call.idempotent || !c.carrier.names())
	if err != nil {
		r.end(v, ref.leg, policy.NotSent, nil) // for want of a descriptor: the cache is not to blame
		return
	}
	l.leg, v.legs[ref.leg].link = ref, l.id
	r.due.Push(giveUpAt, due{leg: ref})
	if l.wire != nil {
		r.write(l, v, ref.leg)
	}
}

// linkTo finds the idle link used last or dials a new one. A strict errand takes none on which the last answer did not say whose it was
// until a second of its kind would have come: that could be taken for this errand's.
func (r *Proxy) linkTo(c *cache, does errand, strict bool) (*link, error) {
	for i := len(c.idle) - 1; i >= 0; i-- {
		l := r.links.Get(c.idle[i])
		if strict && l.nobody != 0 && r.now().Since(l.nobody) < settleFor {
			continue
		}
		if quiet, sure := l.wire.Quiet(); !quiet {
			if sure { // more has come than belongs to the last answer, or its end: that is not the next one's
				r.count.ProtocolErrors++
				r.dropLink(l)
			}
			continue
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		r.idleLinks.remove(l)
		l.does = does
		r.count.Reused++
		return l, nil
	}
	l := &link{cache: c, does: does}
	if err := r.open(l, c.addr); err != nil {
		return nil, err
	}
	r.count.Dials++
	return l, nil
}

// open dials for a new link.
func (r *Proxy) open(l *link, addr string) error {
	l.usedAt = r.now()
	l.stopAt = l.usedAt.Add(r.connectTime())
	l.id = r.links.Add(l)
	if err := r.dial(addr, l.id, l.cache == nil); err != nil {
		r.links.Remove(l.id)
		return err
	}
	r.due.Push(l.stopAt, due{link: l.id})
	return nil
}

// leftUnheard tells whether the client of a request has gone, which the loop has not come to yet: its end stands behind others'
// bytes, or its own, and it may have waited long before anything of it was taken. Guards against legs for nobody.
func (r *Proxy) leftUnheard(v *request) bool {
	c := r.clients.Get(v.client)
	if v.answered || c == nil || !c.wire.Left() {
		return false
	}
	r.later = append(r.later, func() { // before the module hears of the leg, or it would decide on another
		if r.clients.Get(c.id) == c {
			r.closeClient(c)
		}
	})
	return true
}

// write hands a leg to the kernel. Only if that fails is it sure that its last byte never was.
func (r *Proxy) write(l *link, v *request, n int) {
	wait := max(1, int64(v.legs[n].giveUpAt.Since(r.now())/time.Millisecond))
	v.went = true
	if l.wire.Write(l.cache.carrier.ask(&v.call, l.cache.addr, wait)) != nil {
		r.lose(l, policy.ConnectFailed)
	} else if leg := &v.legs[n]; l.wire.Unsent() == 0 {
		r.whole++
	} else {
		leg.begun = true
	}
}

// Cancel calls a leg off by closing its connection, which carries no other. One that is still coming up is kept.
func (r *Proxy) Cancel(id policy.RequestID, n int) {
	v := r.hand.Get(slotOf(id))
	if v == nil || n < 0 || n >= len(v.legs) || !v.legs[n].out {
		return
	}
	r.stopWaiting(v, n, policy.Cancelled)
}

// inPart tells whether the kernel has not taken all of a leg yet. Such a leg has not been sent, and so may be stopped whatever the
// settings say of calling off. Guards against one that goes out whole long after nobody waits for it any more.
func (r *Proxy) inPart(v *request, n int) bool {
	l := r.links.Get(v.legs[n].link)
	return v.legs[n].out && l != nil && l.wire != nil && l.wire.Unsent() > 0
}

func (r *Proxy) giveUp(ref legRef) {
	if v := r.hand.Get(ref.hand); v != nil && v.legs[ref.leg].out {
		r.stopWaiting(v, ref.leg, policy.TimedOut)
	}
}

// stopWaiting ends a leg. If its last byte never went to the kernel, it never ran.
func (r *Proxy) stopWaiting(v *request, n int, how policy.Result) {
	l := r.links.Get(v.legs[n].link)
	if l != nil && (l.wire == nil || r.dropLink(l) > 0) {
		if l.does = nothing; how == policy.TimedOut {
			how = policy.ConnectFailed
		} else {
			how = policy.NotSent
		}
	}
	r.end(v, n, how, nil)
}

// end closes a leg with its one outcome; the host hears of it once it has carried out what it is at.
func (r *Proxy) end(v *request, n int, how policy.Result, report []float64) {
	l := &v.legs[n]
	l.out = false
	if l.begun && how != policy.ConnectFailed && how != policy.NotSent {
		r.whole++
	}
	v.late = how == policy.TimedOut
	r.count.Outcomes[how]++
	o := policy.Outcome{Attempt: n, Latency: r.now().Since(l.sent), LoadReport: report}
	r.later = append(r.later, func() {
		r.host.AttemptDone(r.now(), token(v.id), how, v.answered, o)
		r.release(v)
	})
}

// release forgets a request that is answered and has nothing out.
func (r *Proxy) release(v *request) {
	for _, l := range v.legs {
		if l.out {
			return
		}
	}
	if v.answered && r.hand.Get(v.id) != nil {
		r.hand.Remove(v.id)
		delete(r.taken, string(v.call.id))
		r.held -= v.bytes
	}
}

// dialled tells of a connection that is up, or never will be.
func (r *Proxy) dialled(ev *sockets.Event) {
	l := r.links.Get(linkID(ev.Dial))
	switch {
	case ev.What == sockets.Refused:
		switch {
		case l == nil:
		case ev.Local && l.does == aLeg: // the cache is not to blame
			r.lose(l, policy.NotSent)
		default:
			r.refused(l)
			r.lose(l, policy.ConnectFailed)
		}
	case l == nil:
		ev.Wire.Close()
	default:
		l.wire, l.stopAt, l.usedAt = ev.Wire, 0, r.now()
		r.begin(l)
	}
}

// refused looks at a new link that a server did not take. If others to it are up, it lives and is full: idle links are given back
// sooner then, to all. Guards against nodes that keep a connection for a leg in some seconds while others dial in vain.
func (r *Proxy) refused(l *link) {
	if l.proven || l.cache == nil || r.caches[l.cache.id] != l.cache { // an old link ends for many reasons
		return
	}
	up := false
	r.links.Each(func(_ linkID, o *link) { up = up || o != l && o.cache == l.cache && o.proven })
	if !up {
		return
	}
	if r.count.ServerFull++; !r.kept.OnServerFull(r.now()) {
		return
	}
	r.links.Each(func(id linkID, o *link) {
		if o.cache != nil && o.does == nothing && o.wire != nil {
			o.idleAt = o.usedAt.Add(r.idleTime())
			r.due.Push(o.idleAt, due{link: id})
		}
	})
}

// begin does what a link was dialled for.
func (r *Proxy) begin(l *link) {
	switch l.does {
	case aLeg:
		v := r.hand.Get(l.leg.hand)
		// nothing goes out after the final answer, though the leg could not be called off, nor to a cache that drains by now, nor
		// as a repeat when its window is over: what was lawful as the leg was decided may not be any more
		if v.answered || r.leftUnheard(v) || !r.host.MayStart(r.now(), token(v.id), l.leg.leg) {
			ref := l.leg
			r.rest(l)
			r.end(v, ref.leg, policy.NotSent, nil)
			return
		}
		r.write(l, v, l.leg.leg)
	case aProbe:
		r.writeProbe(l)
	case theList:
		r.askForList(l)
	case nothing:
		r.rest(l)
	}
}

// rest keeps a link for the next leg.
func (r *Proxy) rest(l *link) {
	l.proven = l.proven || l.does == aLeg || l.does == aProbe
	l.does, l.usedAt, l.stopAt = nothing, r.now(), 0
	if r.caches[l.cache.id] != l.cache { // the list does not name it any more
		r.dropLink(l)
		return
	}
	l.cache.idle = append(l.cache.idle, l.id)
	r.idleLinks.push(l)
	if l.idleAt == 0 {
		l.idleAt = l.usedAt.Add(r.idleTime())
		r.due.Push(l.idleAt, due{link: l.id})
	}
}

// tend looks after a link whose time has come: it may not have come up, a probe may have gone unanswered, or it
// may have been idle for long.
func (r *Proxy) tend(id linkID) {
	l, now := r.links.Get(id), r.now()
	if l == nil {
		return
	}
	if l.stopAt != 0 && now >= l.stopAt {
		how := policy.ConnectFailed
		if l.wire != nil {
			how = policy.TimedOut
		}
		r.lose(l, how)
		return
	}
	if l.idleAt == 0 || now < l.idleAt {
		return
	}
	if l.does == nothing && now.Since(l.usedAt) >= r.idleTime() {
		r.count.IdleClosed++
		r.dropLink(l)
		return
	}
	l.idleAt = l.usedAt.Add(r.idleTime())
	if l.does != nothing { // taken up just before its time: looked after at once, it would be until its leg ends
		l.idleAt = now.Add(r.idleTime())
	}
	r.due.Push(l.idleAt, due{link: l.id})
}

// dropLink closes a link, and returns how much of what was written to it never went to the kernel.
func (r *Proxy) dropLink(l *link) (lost int64) {
	r.links.Remove(l.id)
	r.idleLinks.remove(l)
	r.coming -= l.coming
	l.coming = 0
	if l.wire != nil {
		lost = l.wire.Close()
	}
	if l.cache == nil {
		return lost
	}
	for i, id := range l.cache.idle {
		if id == l.id {
			l.cache.idle = append(l.cache.idle[:i], l.cache.idle[i+1:]...)
			break
		}
	}
	return lost
}

// lose drops a link, and tells what that means for what it was used for.
func (r *Proxy) lose(l *link, how policy.Result) {
	does := l.does
	l.does = nothing
	r.dropLink(l)
	switch does {
	case aLeg:
		if v := r.hand.Get(l.leg.hand); v != nil && v.legs[l.leg.leg].out {
			r.end(v, l.leg.leg, how, nil)
		}
	case aProbe:
		r.probed(l.cache.id, how)
	case theList:
		r.listLost()
	case aStream:
		r.failStream(l.stream)
	}
}

func (r *Proxy) linkClosed(id linkID, unsent, orderly bool) {
	l := r.links.Get(id)
	if l == nil {
		return
	}
	if l.ended = orderly; orderly && len(l.buf.Unread()) > 0 && l.does != aStream { // an answer of the origin or of discovery may end with its connection
		r.read(l)
	}
	switch {
	case r.links.Get(id) == nil:
	case unsent:
		r.refused(l)
		r.lose(l, policy.ConnectFailed)
	case l.does == aStream && l.stream.left+l.stream.tail <= len(l.buf.Unread()): // all is there; its reader is slow
		l.last = true
	default:
		if !orderly && l.does != nothing && r.now().Since(l.usedAt) < r.connectTime() {
			r.refused(l) // it came up only to be reset: so a full table shows where the kernel accepts for it
		}
		r.lose(l, policy.ConnectionBroken)
	}
}

func (r *Proxy) linkData(id linkID, data []byte) {
	l := r.links.Get(id)
	if l == nil {
		return
	}
	if l.does == aStream {
		if data = r.passStraight(l, data); r.links.Get(id) == nil {
			return
		}
	}
	l.buf.Append(data)
	if r.read(l); r.links.Get(id) == nil {
		return
	}
	unused := len(l.buf.Unread())
	if l.does == aStream { // bounded each, by what may wait for the loop
		unused = 0
	}
	r.coming += unused - l.coming
	if l.coming = unused; l.coming > fewBytes && l.cache != nil && int64(r.coming) > r.Memory/shareComing {
		r.count.RejectedForRoom++
		r.lose(l, policy.ConnectionBroken) // for want of memory: the cache is not to blame
	}
}

func (r *Proxy) read(l *link) {
	switch {
	case l.does == theList:
		r.listData(l)
	case l.does == nothing: // nobody asked
		r.count.ProtocolErrors++
		r.dropLink(l)
	case l.does == aProbe:
		r.probeData(l)
	case l.does == aStream:
		r.pass(l)
	default:
		r.legData(l, r.hand.Get(l.leg.hand)) // it is in hand as long as a leg of it is out
	}
}

// legData reads a server's answer to a leg.
func (r *Proxy) legData(l *link, v *request) {
	came, size, wants := &r.came, 0, 0
	v.call.sent = r.began.Add(v.legs[l.leg.leg].sent.Since(epoch))
	*came, size, wants = l.cache.carrier.reply(l.buf.Unread(), &v.call, l.ended, &l.read)
	if size == 0 && came.how != spoilt {
		if r.startStream(l, v, came, wants) {
			return
		}
		l.buf.Reserve(wants)
		return
	}
	r.answered(l, v, came, size)
	if came.last && r.links.Get(l.id) != nil {
		r.dropLink(l)
	}
}

// answered ends a leg by what came back. What can't be read or answers another request is served to nobody: the
// leg has failed and may have run, though the cache lives; whatever else comes on its connection can't be trusted.
func (r *Proxy) answered(l *link, v *request, came *reply, size int) {
	if came.how == spoilt {
		r.count.ProtocolErrors++
		r.lose(l, policy.Errored)
		return
	}
	var out, long []byte
	serves := came.how == policy.Answered && !v.answered
	switch { // before its bytes are passed over
	case serves && v.call.write:
		out = v.face.receipt(&v.call, came)
	case serves:
		out, long = v.face.value(&v.call, came)
	}
	report := r.report(came.load)
	l.use(size)
	if l.nobody = 0; !came.named {
		l.nobody = r.now()
	}
	n := l.leg.leg
	if len(l.buf.Unread()) > 0 {
		r.count.ProtocolErrors++
		r.dropLink(l)
	} else {
		r.rest(l)
	}
	if serves {
		r.count.Satisfied++
		r.byGrade[v.grade].Satisfied++
		r.answer(v, out, long)
	}
	r.end(v, n, came.how, report)
}

// report reads a load report: names and values, of which only the stated columns count.
func (r *Proxy) report(load []byte) []float64 {
	if len(load) == 0 {
		return nil
	}
	return r.Settings.Names.LoadReport(func(column string) (float64, bool) {
		said, _ := meta.Item(load, column)
		x, err := strconv.ParseFloat(string(said), 64)
		return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
	})
}

// CheckHealth checks on a cache.
func (r *Proxy) CheckHealth(id policy.EndpointID) {
	c := r.caches[id]
	if c == nil {
		return
	}
	r.count.HealthChecks++
	l, err := r.linkTo(c, aProbe, false)
	if err != nil {
		r.probed(id, policy.ConnectFailed)
		return
	}
	if l.wire != nil {
		r.writeProbe(l)
	}
}

func (r *Proxy) writeProbe(l *link) {
	l.stopAt = r.now().Add(r.connectTime())
	r.due.Push(l.stopAt, due{link: l.id})
	if l.wire.Write(l.cache.carrier.probe(l.cache.addr)) != nil {
		r.lose(l, policy.ConnectFailed)
	}
}

func (r *Proxy) probeData(l *link) {
	how := policy.Errored
	up, size, err := l.cache.carrier.up(l.buf.Unread(), l.ended)
	if up {
		how = policy.Answered
	}
	switch {
	case err != nil:
		r.lose(l, policy.ConnectionBroken)
	case size > 0:
		l.use(size)
		r.rest(l)
		r.probed(l.cache.id, how)
	}
}

func (r *Proxy) probed(id policy.EndpointID, found policy.Result) {
	r.later = append(r.later, func() { r.host.OnHealthCheck(r.now(), id, found) })
}
