package proxy

import (
	"time"

	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	streamOver  = 64 << 10             // bytes from which a value is passed on as it comes: what clients may write goes whole
	streamAhead = 64 << 10             // bytes that may wait for a slow reader before its server is not read any more
	streamLook  = 5 * time.Millisecond // between looks whether such a reader has caught up
	readerQuiet = 10 * time.Second     // without taking a byte, and its reader will take none: it holds a cache's connection
	streamQuiet = 5 * time.Second      // without a byte, nor a reader who holds it up, the server has fallen silent
)

// stream is a value that is passed on while it comes. For the host its leg has ended with the first byte: there is no other leg from
// then on, and whatever goes wrong ends the client's connection, so that it can tell.
type stream struct {
	client clientID
	turn   uint64
	grade  policy.ClassID
	face   face
	call   call
	left   int // bytes of the value still to come
	tail   int // and of what the server ends it with
	begun  bool
	held   bool           // its server is not read: the reader is slow, or waits for answers before it
	lookAt policy.Instant // when it is looked at next; 0 for not yet
	lastAt policy.Instant
	unsent int64 // bytes that waited for the reader at the last look
	tookAt policy.Instant
}

// startStream begins to pass on a long value of which the head is there, and tells whether it did.
func (r *Proxy) startStream(l *link, v *request, came *reply, wants int) bool {
	c := r.clients.Get(v.client)
	if came.head == 0 || came.long <= streamOver || v.answered || v.call.bare || c == nil {
		return false
	}
	report := r.report(came.load)
	head := v.face.head(&v.call, came, came.long)
	s := &stream{client: v.client, turn: v.turn, grade: v.grade, face: v.face, call: v.call, left: came.long,
		tail: wants - came.head - came.long, lastAt: r.now()}
	l.buf.Consume(came.head)
	t := &c.turns[v.turn-c.first]
	t.hand, t.out, t.stream = 0, head, l.id
	r.held += t.bytes()
	v.answered = true
	l.does, l.stream, l.last = aStream, s, came.last
	r.end(v, l.leg.leg, policy.Answered, report)
	r.pass(l)
	return true
}

// pass hands on what has come of a value, as far as its reader takes it.
func (r *Proxy) pass(l *link) {
	s := l.stream
	c := r.clients.Get(s.client)
	if c == nil {
		r.dropLink(l)
		return
	}
	if c.first == s.turn && c.wire.Unsent() <= streamAhead {
		used, more := r.passOn(l, c, l.buf.Unread())
		if !more {
			return
		}
		l.buf.Consume(used)
	}
	hold := c.first != s.turn || c.wire.Unsent() > streamAhead
	if s.held && !hold {
		l.wire.Resume()
	} else if hold && !s.held {
		l.wire.Hold()
	}
	if s.held = hold; hold {
		s.lastAt = r.now()
	}
	if n := c.wire.Unsent(); !hold || c.first != s.turn || n != s.unsent {
		s.unsent, s.tookAt = n, r.now()
	} else if r.now().Since(s.tookAt) >= readerQuiet { // guards against readers that keep caches' connections for good
		r.count.Overdue++
		r.closeClient(c)
		return
	}
	wait := streamQuiet
	if hold {
		wait = streamLook
	}
	if at := r.now().Add(wait); s.lookAt == 0 || at < s.lookAt { // sooner than was thought: who is held is brought no bytes that would wake it
		s.lookAt = at
		r.due.Push(at, due{stream: l.id})
	}
}

// passStraight hands on what has just come without a copy, as far as its reader takes it, and returns the rest.
func (r *Proxy) passStraight(l *link, data []byte) (rest []byte) {
	s := l.stream
	c := r.clients.Get(s.client)
	if c == nil || c.first != s.turn || s.left <= len(data) || len(l.buf.Unread()) > 0 { // its end is for who knows what may follow
		return data
	}
	used, more := r.passOn(l, c, data)
	if !more {
		return nil
	}
	return data[used:]
}

// passOn writes bytes of a value to its reader, and tells how many, and whether there is more to come.
func (r *Proxy) passOn(l *link, c *client, b []byte) (used int, more bool) {
	s := l.stream
	if !s.begun {
		t := &c.turns[0]
		r.held -= t.bytes()
		out := t.out
		s.begun, t.out = true, nil
		if c.wire.Write(out) != nil {
			r.clientClosed(c.id)
			return 0, false
		}
	}
	for s.left > 0 && len(b) > used && c.wire.Unsent() <= streamAhead {
		piece := b[used:]
		piece = piece[:min(len(piece), s.left, streamAhead)]
		s.left -= len(piece)
		used += len(piece)
		c.usedAt, s.lastAt = r.now(), r.now()
		if c.wire.Write(piece) != nil { // what the kernel does not take is copied
			r.clientClosed(c.id)
			return 0, false
		}
	}
	if rest := b[used:]; s.left == 0 && len(rest) >= s.tail {
		l.buf.Consume(used)
		r.endStream(l, c, s.tail > 0 && string(rest[:s.tail]) != meta.End)
		return 0, false
	}
	return used, true
}

// endStream ends a value that has come whole, or, where its end is not that of a value, its reader's connection.
func (r *Proxy) endStream(l *link, c *client, wrong bool) {
	s := l.stream
	if wrong {
		r.count.ProtocolErrors++
		r.lose(l, policy.ConnectionBroken)
		return
	}
	l.buf.Consume(s.tail)
	if l.stream = nil; !l.cache.carrier.names() {
		l.nobody = r.now()
	}
	if s.held {
		l.wire.Resume()
	}
	switch l.proven = true; {
	case l.last:
		r.dropLink(l)
	case len(l.buf.Unread()) > 0:
		r.count.ProtocolErrors++
		r.dropLink(l)
	default:
		r.rest(l)
	}
	r.pending--
	r.count.Satisfied++
	r.byGrade[s.grade].Satisfied++
	t := &c.turns[0]
	t.done, t.out, t.stream = true, []byte(s.face.end()), 0
	r.held += t.bytes()
	r.flush(c)
}

// failStream ends a value that will not come whole. Of what has begun the client can tell by the end of its connection; before
// that it is told as of any other.
func (r *Proxy) failStream(s *stream) {
	r.pending--
	r.count.Failed++
	r.byGrade[s.grade].Failed++
	c := r.clients.Get(s.client)
	if c == nil {
		return
	}
	if s.begun {
		r.closeClient(c)
		return
	}
	t := &c.turns[s.turn-c.first]
	r.held -= t.bytes()
	t.done, t.out, t.stream = true, s.face.failed(&s.call, false), 0
	r.held += t.bytes()
	r.flush(c)
}

// lookAtStream goes on with a value whose reader was slow, and ends one whose server has fallen silent.
func (r *Proxy) lookAtStream(id linkID) {
	l := r.links.Get(id)
	if l == nil || l.stream == nil || r.now() < l.stream.lookAt {
		return
	}
	s := l.stream
	s.lookAt = 0
	if !s.held && r.now().Since(s.lastAt) >= streamQuiet {
		r.lose(l, policy.TimedOut)
		return
	}
	r.pass(l)
}
