package proxy

import (
	"time"

	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	streamThreshold     = 64 << 10             // bytes from which a value is passed on as it comes: what clients may write goes whole
	streamWindow        = 64 << 10             // bytes that may wait for a slow reader before its server is not read any more
	streamCheckInterval = 5 * time.Millisecond // between looks whether such a reader has caught up
	slowReaderTimeout   = 10 * time.Second     // without taking a byte, and its reader will take none: it holds a cache's connection
	streamIdleTimeout   = 5 * time.Second      // without a byte, nor a reader who holds it up, the server has fallen silent
)

// responseStream is a value that is passed on while it comes. For the host its leg has ended with the first byte: there is no other leg from
// then on, and whatever goes wrong ends the client's connection, so that it can tell.
type responseStream struct {
	client      clientConnID
	slot        uint64
	class       policy.ClassID
	codec       downstreamCodec
	parsed      clientRequest
	remaining   int // bytes of the value still to come
	trailerSize int // and of what the server ends it with
	started     bool
	paused      bool           // its server is not read: the reader is slow, or waits for answers before it
	checkAt     policy.Instant // when it is looked at next; 0 for not yet
	lastByteAt  policy.Instant
	unsent      int64 // bytes that waited for the reader at the last look
	lastReadAt  policy.Instant
}

// startStream begins to pass on a long value of which the head is there, and tells whether it did.
func (p *Proxy) startStream(conn *upstreamConn, req *inflightRequest, response *upstreamResponse, wants int) bool {
	client := p.clients.Get(req.client)
	if response.headSize == 0 || response.valueSize <= streamThreshold || req.answered || req.parsed.headOnly || client == nil {
		return false
	}
	report := p.parseLoadReport(response.loadReport)
	head := req.codec.valueHead(&req.parsed, response, response.valueSize)
	s := &responseStream{client: req.client, slot: req.slot, class: req.class, codec: req.codec, parsed: req.parsed, remaining: response.valueSize,
		trailerSize: wants - response.headSize - response.valueSize, lastByteAt: p.now()}
	conn.buf.Consume(response.headSize)
	slot := &client.pipeline[req.slot-client.firstSlot]
	slot.request, slot.response, slot.streamConn = 0, head, conn.id
	p.bufferedBytes += slot.size()
	req.answered = true
	conn.purpose, conn.stream, conn.closesAfterStream = purposeStream, s, response.closesConn
	p.endAttempt(req, conn.attempt.index, policy.Answered, report)
	p.forwardStream(conn)
	return true
}

// forwardStream hands on what has come of a value, as far as its reader takes it.
func (p *Proxy) forwardStream(conn *upstreamConn) {
	s := conn.stream
	client := p.clients.Get(s.client)
	if client == nil {
		p.dropConn(conn)
		return
	}
	if client.firstSlot == s.slot && client.wire.Unsent() <= streamWindow {
		used, more := p.writeStream(conn, client, conn.buf.Unread())
		if !more {
			return
		}
		conn.buf.Consume(used)
	}
	hold := client.firstSlot != s.slot || client.wire.Unsent() > streamWindow
	if s.paused && !hold {
		conn.wire.Resume()
	} else if hold && !s.paused {
		conn.wire.Hold()
	}
	if s.paused = hold; hold {
		s.lastByteAt = p.now()
	}
	if n := client.wire.Unsent(); !hold || client.firstSlot != s.slot || n != s.unsent {
		s.unsent, s.lastReadAt = n, p.now()
	} else if p.now().Since(s.lastReadAt) >= slowReaderTimeout { // guards against readers that keep caches' connections for good
		p.counters.Overdue++
		p.closeClient(client)
		return
	}
	wait := streamIdleTimeout
	if hold {
		wait = streamCheckInterval
	}
	if at := p.now().Add(wait); s.checkAt == 0 || at < s.checkAt { // sooner than was thought: who is held is brought no bytes that would wake it
		s.checkAt = at
		p.timers.Push(at, timerEvent{stream: conn.id})
	}
}

// forwardDirect hands on what has just come without a copy, as far as its reader takes it, and returns the rest.
func (p *Proxy) forwardDirect(conn *upstreamConn, data []byte) (rest []byte) {
	s := conn.stream
	client := p.clients.Get(s.client)
	if client == nil || client.firstSlot != s.slot || s.remaining <= len(data) || len(conn.buf.Unread()) > 0 { // its end is for who knows what may follow
		return data
	}
	used, more := p.writeStream(conn, client, data)
	if !more {
		return nil
	}
	return data[used:]
}

// writeStream writes bytes of a value to its reader, and tells how many, and whether there is more to come.
func (p *Proxy) writeStream(conn *upstreamConn, client *clientConn, data []byte) (used int, more bool) {
	s := conn.stream
	if !s.started {
		slot := &client.pipeline[0]
		p.bufferedBytes -= slot.size()
		out := slot.response
		s.started, slot.response = true, nil
		if client.wire.Write(out) != nil {
			p.onClientClosed(client.id)
			return 0, false
		}
	}
	for s.remaining > 0 && len(data) > used && client.wire.Unsent() <= streamWindow {
		piece := data[used:]
		piece = piece[:min(len(piece), s.remaining, streamWindow)]
		s.remaining -= len(piece)
		used += len(piece)
		client.lastUsedAt, s.lastByteAt = p.now(), p.now()
		if client.wire.Write(piece) != nil { // what the kernel does not take is copied
			p.onClientClosed(client.id)
			return 0, false
		}
	}
	if rest := data[used:]; s.remaining == 0 && len(rest) >= s.trailerSize {
		conn.buf.Consume(used)
		p.completeStream(conn, client, s.trailerSize > 0 && string(rest[:s.trailerSize]) != meta.End)
		return 0, false
	}
	return used, true
}

// completeStream ends a value that has come whole, or, where its end is not that of a value, its reader's connection.
func (p *Proxy) completeStream(conn *upstreamConn, client *clientConn, badTrailer bool) {
	s := conn.stream
	if badTrailer {
		p.counters.ProtocolErrors++
		p.failConn(conn, policy.ConnectionBroken)
		return
	}
	conn.buf.Consume(s.trailerSize)
	if conn.stream = nil; !conn.endpoint.codec.identifiesRequest() {
		conn.unattributedAt = p.now()
	}
	if s.paused {
		conn.wire.Resume()
	}
	switch conn.proven = true; {
	case conn.closesAfterStream:
		p.dropConn(conn)
	case len(conn.buf.Unread()) > 0:
		p.counters.ProtocolErrors++
		p.dropConn(conn)
	default:
		p.returnToPool(conn)
	}
	p.pending--
	p.counters.Satisfied++
	p.byClass[s.class].Satisfied++
	slot := &client.pipeline[0]
	slot.answered, slot.response, slot.streamConn = true, []byte(s.codec.valueTrailer()), 0
	p.bufferedBytes += slot.size()
	p.flushPipeline(client)
}

// failStream ends a value that will not come whole. Of what has begun the client can tell by the end of its connection; before
// that it is told as of any other.
func (p *Proxy) failStream(s *responseStream) {
	p.pending--
	p.counters.Failed++
	p.byClass[s.class].Failed++
	client := p.clients.Get(s.client)
	if client == nil {
		return
	}
	if s.started {
		p.closeClient(client)
		return
	}
	slot := &client.pipeline[s.slot-client.firstSlot]
	p.bufferedBytes -= slot.size()
	slot.answered, slot.response, slot.streamConn = true, s.codec.failed(&s.parsed, false), 0
	p.bufferedBytes += slot.size()
	p.flushPipeline(client)
}

// onStreamTimer goes on with a value whose reader was slow, and ends one whose server has fallen silent.
func (p *Proxy) onStreamTimer(id upstreamConnID) {
	conn := p.conns.Get(id)
	if conn == nil || conn.stream == nil || p.now() < conn.stream.checkAt {
		return
	}
	s := conn.stream
	s.checkAt = 0
	if !s.paused && p.now().Since(s.lastByteAt) >= streamIdleTimeout {
		p.failConn(conn, policy.TimedOut)
		return
	}
	p.forwardStream(conn)
}
