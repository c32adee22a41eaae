package proxy

import (
	"cmp"
	"slices"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/proxy/sockets"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

const (
	mostTurns  = 256                    // commands in hand on one connection; more are rejected
	mostSaid   = 4 * mostTurns          // answers that may wait on one for those before them; more end it
	mostWait   = 10 * time.Minute       // that a client may say it waits: no deployment's is near it
	wholeBy    = 5 * time.Second / 2    // for a command to come whole, and for the first word: a usual one takes milliseconds
	idleFor    = 2 * time.Second        // that a client may keep a connection without a command open on it
	sweepEvery = 100 * time.Millisecond // between looks at clients that say nothing whole or are idle
	shareIdle  = 8                      // part of the descriptors that idle clients may keep: under half of the third that clients may hold
	flushFor   = time.Second            // that a connection to be closed may take to be read out
	flushEvery = 20 * time.Millisecond
	shareHeld  = 8 // part of the memory that requests and answers may take: the rest is for what grows with them
	sharePart  = 4 // part of the memory that commands may take which have not come whole
	shareAhead = 8 // part of the memory that what servers send may take before the loop has it
	shareSpare = 8 // part of the descriptors kept for links that are not open yet
	shareLinks = 2 // part of the descriptors that links may have, and clients leave them: a leg or two each
)

// client is a connection that somebody opened to this node.
type client struct {
	id      clientID
	wire    *sockets.Wire
	face    face
	buf     buffer.Buffer
	read    http1.Progress // of the command that is coming
	turns   []turn         // one for each command not yet answered, in their order
	first   uint64         // the number of the first turn
	usedAt  policy.Instant
	invited bool           // was told to go on with what has begun
	closing bool           // nothing more is read; it closes once all is answered
	excess  bool           // came when there were too many: its requests are rejected, and it is closed when idle
	partial int            // bytes of a command that has not come whole
	since   policy.Instant // when that began, or the connection, while nothing has been said on it; 0 for neither
	until   policy.Instant
}

type turn struct {
	hand   handID // 0 for what is no request
	done   bool
	out    []byte
	stream linkID // where a long value comes from that is passed on, or 0
	long   []byte // a value that follows it uncopied, with what ends values still to be written
}

func (t *turn) bytes() int { return len(t.out) + len(t.long) }

func (c *client) idle() bool {
	return len(c.turns) == 0 && len(c.buf.Unread()) == 0 && c.wire.Unsent() == 0
}

// request is one in hand. The host keeps its own part of it.
type request struct {
	id       handID
	grade    policy.ClassID
	client   clientID
	turn     uint64
	face     face
	call     call // its parts lie in a copy
	deadline policy.Instant
	answered bool // or nobody waits any more
	late     bool // its last leg to end had not answered in time
	went     bool // a leg of it was handed to the kernel, if only in part
	bytes    int
	legs     []leg
}

func (r *Proxy) opened(ev *sockets.Event) {
	c := &client{wire: ev.Wire, face: r.faces[ev.Wire.At], usedAt: r.at(ev.At), since: r.at(ev.At)}
	c.id = r.clients.Add(c)
	c.wire.Tag = uint64(c.id)
	r.count.Clients++
	r.lastCame = c.usedAt
	if r.tooManyClients() {
		c.excess = !r.closeIdleClient()
	}
}

// tooManyClients tells whether they take what links need: half, or more while there are few links.
func (r *Proxy) tooManyClients() bool {
	most := r.eng.Most()
	return r.clients.Len() > max(most-r.mostLinks(), most-most/shareSpare-r.links.Len())
}

func (r *Proxy) mostLinks() int { return r.eng.Most() / shareLinks }

func (r *Proxy) clientData(id clientID, data []byte, at policy.Instant) {
	c := r.clients.Get(id)
	if c == nil || c.closing {
		return
	}
	c.usedAt = at
	c.buf.Append(data)
	began := at
	if c.partial > 0 {
		began = c.since
	}
	for !c.closing {
		a := &r.asked
		size := c.face.read(c.buf.Unread(), a, &c.read)
		if size == 0 && a.wish != unserved && (a.wish != invited || c.invited) {
			break
		}
		c.invited = a.wish == invited
		switch a.wish {
		case invited:
			r.say(c, a.answer)
		case unserved:
			r.count.Malformed++
			r.say(c, a.answer)
		case readiness:
			r.say(c, c.face.ready(&a.call, r.phase))
		case counts:
			r.say(c, c.face.counts(&a.call, &r.count))
		default:
			r.take(c, &a.call, at)
		}
		c.closing = c.closing || a.closes
		if c.buf.Consume(size); size > 0 {
			c.read = http1.Progress{}
		}
		began = at
		if len(c.turns) >= mostSaid { // else one request that takes long would let anything pile up behind it
			r.say(c, c.face.refused(tooMany, false))
			c.closing = true
		}
	}
	r.partial += len(c.buf.Unread()) - c.partial
	c.partial = len(c.buf.Unread())
	if c.since = 0; c.partial > 0 {
		c.since = began
	}
	if c.partial > 0 && int64(r.partial) > r.Memory/sharePart {
		r.count.RejectedForRoom++
		r.say(c, c.face.refused(noMemory, false))
		c.closing = true
	}
	r.flush(c)
}

// sweep ends connections on which nothing was said, or a command has not come whole, in time, and those that are idle
// for long. Clients may hold only so many, and some ask once and keep theirs: of idle ones only so many are kept, those
// that came back rather than those that did not, then those used last.
func (r *Proxy) sweep() {
	now := r.now()
	r.due.Push(now.Add(sweepEvery), due{sweep: true})
	r.publish()
	r.eng.Ahead(r.Memory / shareAhead / int64(1+r.links.Len()))
	var idle []*client
	r.clients.Each(func(_ clientID, c *client) {
		switch late := c.since != 0 && now.Since(c.since) >= wholeBy; {
		case c.closing:
		case late && c.partial > 0:
			r.count.Overdue++
			r.say(c, c.face.refused(tooLate, false))
			c.closing = true
			r.flush(c)
		case late && c.idle():
			if r.closeIdle(c) {
				r.count.Overdue++
			}
		case c.first > 0 && c.idle() && now.Since(c.usedAt) >= lingerFor:
			idle = append(idle, c)
		}
	})
	slices.SortFunc(idle, leastKept(2))
	excess := len(idle) - r.eng.Most()/shareIdle
	for i, c := range idle {
		if (i < excess || now.Since(c.usedAt) >= idleFor) && r.closeIdle(c) {
			r.count.IdleClosed++
		}
	}
}

// leastKept puts first who speaks least for being kept: has asked fewer times, which count up to so many, then was used
// longest ago.
func leastKept(upTo uint64) func(a, b *client) int {
	return func(a, b *client) int {
		return cmp.Or(cmp.Compare(min(a.first, upTo), min(b.first, upTo)), cmp.Compare(a.usedAt, b.usedAt))
	}
}

// say answers a command that is no request in hand, in its turn.
func (r *Proxy) say(c *client, out []byte) {
	r.held += len(out)
	c.turns = append(c.turns, turn{done: true, out: out})
}

// take takes a request in hand. One whose deadline or grade can't be told is malformed, and so is one with the id
// of another in hand: caches could not tell the two apart.
func (r *Proxy) take(c *client, asked *call, at policy.Instant) {
	grade := r.Settings.Names.Class(asked.grade)
	if asked.wait <= 0 || grade < 0 {
		r.count.Malformed++
		r.say(c, c.face.refused(badCall, asked.bare))
		return
	}
	if r.taken[string(asked.id)] {
		r.count.Malformed++
		r.say(c, c.face.refused(sameID, asked.bare))
		return
	}
	r.count.Requests++
	stop := at.Add(min(asked.wait, mostWait))
	outlasts := false
	if by := r.endBy().Add(-lastWords); r.phase == Draining && stop > by {
		outlasts = r.Settings.Policy.Classes[grade].Idempotency != policy.Idempotent || by.Since(at) < r.Settings.Policy.Classes[grade].LatencyObjective
		stop = by // guards against turning away what is served within its soft limit as a rule, and would have been
	}
	if len(c.turns) >= mostTurns || r.phase == Starting || outlasts || r.turnsAway() || c.excess && r.tooManyClients() ||
		int64(r.held)+r.eng.Unsent() > r.Memory/shareHeld {
		r.count.RejectedForRoom++
		r.count.Rejected++
		r.byGrade[grade].Rejected++
		r.say(c, c.face.rejected(asked, 0))
		return
	}
	c.excess = false
	asked.idempotent = r.Settings.Policy.Classes[grade].Idempotency == policy.Idempotent
	v := &request{grade: grade, deadline: stop, client: c.id, turn: c.first + uint64(len(c.turns)), face: c.face}
	v.call, v.bytes = copyOf(asked)
	r.held += v.bytes
	v.id = r.hand.Add(v)
	r.pending++
	r.taken[string(v.call.id)] = true
	c.turns = append(c.turns, turn{hand: v.id})
	r.host.RequestArrived(r.now(), &policy.Request{ID: token(v.id), Key: string(asked.key),
		Class: grade, Tenant: r.Settings.Names.Tenant(asked.league),
		Write: asked.write, ArrivedAt: at, Deadline: stop})
}

// copyOf keeps a call beyond the buffer that it was read from, but for what it is no longer needed for.
func copyOf(c *call) (whole call, size int) {
	size = len(c.key) + len(c.flags) + len(c.id) + len(c.value)
	b := make([]byte, 0, size)
	keep := func(p []byte) []byte {
		b = append(b, p...)
		return b[len(b)-len(p):]
	}
	whole = *c
	whole.key, whole.flags, whole.id, whole.value = keep(c.key), keep(c.flags), keep(c.id), keep(c.value)
	whole.grade, whole.league = nil, nil
	return whole, size + len(c.beside().headers)
}

// answer gives a request its one final answer.
func (r *Proxy) answer(v *request, out, long []byte) {
	v.answered = true
	if r.now() > v.deadline {
		r.count.AnsweredLate++
	}
	r.pending--
	c := r.clients.Get(v.client)
	if c == nil || v.turn < c.first {
		return
	}
	t := &c.turns[v.turn-c.first]
	t.done, t.out, t.long, t.hand = true, out, long, 0
	r.held += t.bytes()
	r.later = append(r.later, func() {
		if r.clients.Get(c.id) != nil {
			r.flush(c)
		}
	})
}

// flush writes what is answered, in the order of the commands.
func (r *Proxy) flush(c *client) {
	var pieces [][]byte
	var out []byte
	n := 0
	for ; n < len(c.turns) && c.turns[n].done; n++ {
		t := &c.turns[n]
		r.held -= t.bytes()
		if n == len(c.turns)-1 {
			r.part(c, t)
		}
		if out == nil {
			out = t.out
		} else {
			out = append(out, t.out...)
		}
		if t.long != nil {
			pieces = append(pieces, out, t.long)
			out = []byte(c.face.end())
		}
	}
	if n > 0 {
		c.first += uint64(n)
		left := copy(c.turns, c.turns[n:])
		clear(c.turns[left:]) // their answers are not to be kept
		c.turns = c.turns[:left]
		c.usedAt = r.now()
		for _, p := range append(pieces, out) {
			if len(p) > 0 && c.wire.Write(p) != nil {
				r.clientClosed(c.id)
				return
			}
		}
	}
	if n > 0 && len(c.turns) > 0 && c.turns[0].stream != 0 { // it waited for these
		if l := r.links.Get(c.turns[0].stream); l != nil {
			r.later = append(r.later, func() {
				if l.stream != nil && r.links.Get(l.id) == l {
					r.pass(l)
				}
			})
		}
	}
	if c.excess && c.idle() && r.tooManyClients() && r.closeIdle(c) {
		return
	}
	if c.closing && len(c.turns) == 0 && c.until == 0 {
		c.until = r.now().Add(flushFor)
		r.closeFlushed(c.id)
	}
}

// part lets a node that drains say with the last answer on a connection that it ends with that, so that nothing more is sent on it
// to be lost. It is the last only as it leaves: what was answered before may have waited.
func (r *Proxy) part(c *client, t *turn) {
	if r.phase != Draining && r.phase != Standby || c.partial > 0 || c.closing {
		return
	}
	if quiet, _ := c.wire.Quiet(); quiet {
		t.out, c.closing = c.face.parts(t.out)
	}
}

// closeFlushed closes a connection once its last answer is with the kernel, or its reader too slow.
func (r *Proxy) closeFlushed(id clientID) {
	c := r.clients.Get(id)
	switch now := r.now(); {
	case c == nil:
	case c.wire.Unsent() == 0 || now >= c.until:
		r.closeClient(c)
	default:
		r.due.Push(now.Add(flushEvery), due{flush: id})
	}
}

// closeIdle closes a client between commands; one whose next is on its way through the queue stays.
func (r *Proxy) closeIdle(c *client) bool {
	if !c.wire.CloseIfQuiet() {
		return false
	}
	r.dropClient(c)
	return true
}

func (r *Proxy) closeClient(c *client) {
	c.wire.Close()
	r.dropClient(c)
}

func (r *Proxy) clientClosed(id clientID) {
	if c := r.clients.Get(id); c != nil {
		r.dropClient(c)
	}
}

// dropClient forgets a connection. Those whose answers it waited for have left: their legs are called off where
// that is allowed.
func (r *Proxy) dropClient(c *client) {
	r.clients.Remove(c.id)
	r.partial -= c.partial
	for _, t := range c.turns {
		r.held -= t.bytes()
		if l := r.links.Get(t.stream); l != nil { // the rest is nobody's
			r.pending--
			r.count.ClientsGone++
			r.dropLink(l)
		}
		v := r.hand.Get(t.hand)
		if v == nil || v.answered {
			continue
		}
		v.answered = true
		r.pending--
		r.count.ClientsGone++
		if !v.went {
			r.count.ClientsGoneUnsent++
		}
		r.host.ClientGone(r.now(), token(v.id))
		for n := range v.legs {
			if r.Settings.Policy.CancelAllowed || r.inPart(v, n) {
				r.Cancel(token(v.id), n)
			}
		}
		r.release(v)
	}
}

// Reject answers that a retry is harmless.
func (r *Proxy) Reject(id policy.RequestID, comeBack time.Duration) {
	if v := r.hand.Get(slotOf(id)); v != nil && !v.answered {
		r.count.Rejected++
		r.byGrade[v.grade].Rejected++
		r.answer(v, v.face.rejected(&v.call, comeBack), nil)
		r.release(v)
	}
}

// Fail answers that it failed.
func (r *Proxy) Fail(id policy.RequestID) {
	if v := r.hand.Get(slotOf(id)); v != nil && !v.answered {
		r.count.Failed++
		r.byGrade[v.grade].Failed++
		r.answer(v, v.face.failed(&v.call, v.late), nil)
		r.release(v)
	}
}
