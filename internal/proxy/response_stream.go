package proxy

import (
	"time"

	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	// streamThreshold is the size in bytes above which a value is streamed: what clients may write is gathered.
	streamThreshold = 64 << 10
	// streamWindow is how many bytes may wait for a slow reader before its endpoint is not read any more.
	streamWindow = 64 << 10
	// streamCheckInterval is the time between two looks whether such a reader has caught up.
	streamCheckInterval = 5 * time.Millisecond
	// slowReaderTimeout is how long a reader may take no byte while it holds an endpoint's connection.
	slowReaderTimeout = 10 * time.Second
	// streamIdleTimeout is how long an endpoint may send no byte while its reader is ready.
	streamIdleTimeout = 5 * time.Second
)

// responseStream is a long value that is forwarded while it comes in. For the dispatcher its attempt has ended with the
// first byte: from then on there is no other attempt, and if anything goes wrong the client's connection ends, by which
// the client can tell that the value is not complete.
type responseStream struct {
	client      clientConnID
	slot        uint64 // the number of its pipeline slot
	class       policy.ClassID
	codec       downstreamCodec
	parsed      clientRequest
	remaining   int            // bytes of the value that are still to be forwarded
	trailerSize int            // bytes that the endpoint ends the value with
	started     bool           // the head went out to the client
	paused      bool           // its endpoint is not read: the reader is slow, or waits for answers before it
	checkAt     policy.Instant // when its timer fires; 0 for not set
	lastByteAt  policy.Instant // when a byte was last forwarded, or could not be because of the reader
	unsent      int64          // bytes that waited for the reader at the last look
	lastReadAt  policy.Instant // when the reader last took a byte, or nothing waited for it
}

// isComplete reports whether all of the value has come in.
func (s *responseStream) isComplete(input *upstreamInput) bool {
	return s.remaining+s.trailerSize <= len(input.buf.Unread())
}

// isFirstOf reports whether all commands of the client before the stream's have been answered to it.
func (s *responseStream) isFirstOf(client *clientConn) bool { return client.firstSlot == s.slot }

// startStream begins to stream a long value of which the head has come, and reports whether it did.
func (p *Proxy) startStream(conn *upstreamConn, req *inflightRequest, response *upstreamResponse, wants int) bool {
	client := p.downstream.conns.Get(req.client)
	isLong := response.headSize > 0 && response.valueSize > streamThreshold
	if !isLong || req.answered || req.parsed.headOnly || client == nil {
		return false
	}
	report := p.parseLoadReport(response.loadReport)
	head := req.codec.valueHead(&req.parsed, response, response.valueSize)
	stream := &responseStream{
		client:      req.client,
		slot:        req.slot,
		class:       req.class,
		codec:       req.codec,
		parsed:      req.parsed,
		remaining:   response.valueSize,
		trailerSize: wants - response.headSize - response.valueSize,
		lastByteAt:  p.now(),
	}
	conn.input.buf.Consume(response.headSize)
	slot := client.slotOf(req.slot)
	slot.request = 0
	slot.response = head
	slot.streamConn = conn.id
	p.inflight.bufferedBytes += slot.size()
	req.answered = true
	conn.purpose = purposeStream
	conn.stream = stream
	conn.closesAfterStream = response.closesConn
	p.endAttempt(req, conn.attempt.index, policy.Answered, report)
	p.forwardStream(conn)
	return true
}

// forwardStream forwards what has come of a value, as far as its reader takes it.
func (p *Proxy) forwardStream(conn *upstreamConn) {
	stream := conn.stream
	client := p.downstream.conns.Get(stream.client)
	if client == nil {
		p.dropConn(conn)
		return
	}
	if stream.isFirstOf(client) && client.socket.Unsent() <= streamWindow {
		used, more := p.writeStream(conn, client, conn.input.buf.Unread())
		if !more {
			return
		}
		conn.input.buf.Consume(used)
	}
	mustPause := !stream.isFirstOf(client) || client.socket.Unsent() > streamWindow
	p.setPaused(conn, mustPause)
	unsent := client.socket.Unsent()
	if !mustPause || !stream.isFirstOf(client) || unsent != stream.unsent {
		stream.unsent = unsent
		stream.lastReadAt = p.now()
	} else if p.now().Since(stream.lastReadAt) >= slowReaderTimeout {
		// Guards against a reader that takes nothing more: it would hold its endpoint's connection for good.
		p.metrics.counters.ClientTimeouts++
		p.closeClient(client)
		return
	}
	p.scheduleStreamCheck(conn)
}

// setPaused stops and resumes reading from a stream's endpoint.
func (p *Proxy) setPaused(conn *upstreamConn, paused bool) {
	stream := conn.stream
	if stream.paused && !paused {
		conn.socket.ResumeReading()
	} else if paused && !stream.paused {
		conn.socket.PauseReading()
	}
	stream.paused = paused
	if paused {
		stream.lastByteAt = p.now()
	}
}

// scheduleStreamCheck sets a stream's timer, unless it fires sooner anyway. A paused stream is checked often: no bytes
// are read for it that would wake it.
func (p *Proxy) scheduleStreamCheck(conn *upstreamConn) {
	stream := conn.stream
	wait := streamIdleTimeout
	if stream.paused {
		wait = streamCheckInterval
	}
	at := p.now().Add(wait)
	if stream.checkAt == 0 || at < stream.checkAt {
		stream.checkAt = at
		p.schedule(at, timerEvent{kind: timerStream, conn: conn.id})
	}
}

// forwardDirect forwards what has just come in without a copy, as far as its reader takes it, and returns the rest. The
// value's end is left to forwardStream, as something may follow it.
func (p *Proxy) forwardDirect(conn *upstreamConn, data []byte) (rest []byte) {
	stream := conn.stream
	client := p.downstream.conns.Get(stream.client)
	if client == nil || !stream.isFirstOf(client) {
		return data
	}
	if stream.remaining <= len(data) || len(conn.input.buf.Unread()) > 0 {
		return data
	}
	used, more := p.writeStream(conn, client, data)
	if !more {
		return nil
	}
	return data[used:]
}

// writeStream writes bytes of a value to its reader. It returns how many, and whether there is more to come; if not,
// the stream has ended.
func (p *Proxy) writeStream(conn *upstreamConn, client *clientConn, data []byte) (used int, more bool) {
	stream := conn.stream
	if !stream.started && !p.writeStreamHead(stream, client) {
		return 0, false
	}
	for stream.remaining > 0 && len(data) > used && client.socket.Unsent() <= streamWindow {
		piece := data[used:]
		piece = piece[:min(len(piece), stream.remaining, streamWindow)]
		stream.remaining -= len(piece)
		used += len(piece)
		client.lastUsedAt = p.now()
		stream.lastByteAt = p.now()
		if client.socket.Write(piece) != nil { // what the kernel does not take is copied
			p.onClientClosed(client.id)
			return 0, false
		}
	}
	rest := data[used:]
	if stream.remaining == 0 && len(rest) >= stream.trailerSize {
		conn.input.buf.Consume(used)
		badTrailer := stream.trailerSize > 0 && string(rest[:stream.trailerSize]) != meta.End
		p.completeStream(conn, client, badTrailer)
		return 0, false
	}
	return used, true
}

// writeStreamHead writes what stands before a value, and reports whether its client is still there.
func (p *Proxy) writeStreamHead(stream *responseStream, client *clientConn) bool {
	slot := &client.pipeline[0]
	p.inflight.bufferedBytes -= slot.size()
	head := slot.response
	slot.response = nil
	stream.started = true
	if client.socket.Write(head) != nil {
		p.onClientClosed(client.id)
		return false
	}
	return true
}

// completeStream ends a value that is complete, or, where its trailer is not that of a value, its reader's connection.
func (p *Proxy) completeStream(conn *upstreamConn, client *clientConn, badTrailer bool) {
	stream := conn.stream
	if badTrailer {
		p.metrics.counters.ProtocolErrors++
		p.failConn(conn, policy.ConnectionBroken)
		return
	}
	conn.input.buf.Consume(stream.trailerSize)
	conn.stream = nil
	if !conn.endpoint.codec.identifiesRequest() {
		conn.unattributedAt = p.now()
	}
	if stream.paused {
		conn.socket.ResumeReading()
	}
	conn.proven = true
	switch {
	case conn.closesAfterStream:
		p.dropConn(conn)
	case len(conn.input.buf.Unread()) > 0:
		p.metrics.counters.ProtocolErrors++
		p.dropConn(conn)
	default:
		p.returnToPool(conn)
	}
	p.inflight.pending--
	p.metrics.countSatisfied(stream.class)
	p.answerSlot(client, &client.pipeline[0], []byte(stream.codec.valueTrailer()))
}

// failStream ends a value that will not be complete. If it has begun to go out, its client can tell by the end of the
// connection; before that, the request is answered as any other that has failed.
func (p *Proxy) failStream(stream *responseStream) {
	p.inflight.pending--
	p.metrics.countFailed(stream.class)
	client := p.downstream.conns.Get(stream.client)
	if client == nil {
		return
	}
	if stream.started {
		p.closeClient(client)
		return
	}
	slot := client.slotOf(stream.slot)
	p.inflight.bufferedBytes -= slot.size()
	p.answerSlot(client, slot, stream.codec.failed(&stream.parsed, false))
}

// answerSlot puts the end of a streamed answer into its slot, and writes what is ready.
func (p *Proxy) answerSlot(client *clientConn, slot *pipelineSlot, response []byte) {
	slot.answered = true
	slot.response = response
	slot.streamConn = 0
	p.inflight.bufferedBytes += slot.size()
	p.flushPipeline(client)
}

// onStreamTimer goes on with a value whose reader was slow, and ends one whose endpoint has stopped sending.
func (p *Proxy) onStreamTimer(id upstreamConnID) {
	conn := p.upstream.conns.Get(id)
	if conn == nil || conn.stream == nil || p.now() < conn.stream.checkAt {
		return
	}
	stream := conn.stream
	stream.checkAt = 0
	if !stream.paused && p.now().Since(stream.lastByteAt) >= streamIdleTimeout {
		p.failConn(conn, policy.TimedOut)
		return
	}
	p.forwardStream(conn)
}
