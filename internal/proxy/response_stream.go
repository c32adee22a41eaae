package proxy

import (
	"time"

	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	// streamThreshold is the size in bytes above which a value is streamed. It is the maximum size of the values that
	// clients write, so those are buffered.
	streamThreshold = 64 << 10
	// streamIdleTimeout is how long an endpoint may send nothing while the client is ready to read.
	streamIdleTimeout = 5 * time.Second
)

// responseStream is a long value that is forwarded while it is being received. For the dispatcher, its attempt ended
// with the first byte: no other attempt follows. Once the head has been written, a failure closes the client's
// connection, which shows the client that the value is incomplete.
type responseStream struct {
	client           clientConnID
	slot             uint64 // the number of its pipeline slot
	class            policy.ClassID
	codec            downstreamCodec
	parsed           clientRequest
	remaining        int            // bytes of the value still to be forwarded
	trailerSize      int            // bytes that the endpoint sends after the value
	started          bool           // the head has been written to the client
	paused           bool           // the endpoint is not read: the client is slow, or earlier answers are pending
	checkAt          policy.Instant // when its timer fires; 0 if not set
	endpointActiveAt policy.Instant // when a byte was last forwarded, or the stream was paused; see streamIdleTimeout
}

// isComplete reports whether all of the value has been received.
func (s *responseStream) isComplete(input *upstreamInput) bool {
	return s.remaining+s.trailerSize <= len(input.buf.Unread())
}

// isNextFor reports whether the stream's answer is the next one to be written to the client.
func (s *responseStream) isNextFor(client *clientConn) bool { return client.firstSlot == s.slot }

// startStream starts to stream a long value whose head has been received, and reports whether it did.
func (p *Proxy) startStream(conn *upstreamConn, req *inflightRequest, response *upstreamResponse, totalSize int) bool {
	client := p.downstream.conns.Get(req.client)
	isLong := response.headSize > 0 && response.valueSize > streamThreshold
	if !isLong || req.answered || req.parsed.headOnly || client == nil {
		return false
	}
	if p.mustAnswerWhole(req, client, response.valueSize) {
		return false
	}
	report := p.parseLoadReport(response.loadReport)
	head := req.codec.valueHead(&req.parsed, response, response.valueSize)
	stream := &responseStream{
		client:           req.client,
		slot:             req.slot,
		class:            req.class,
		codec:            req.codec,
		parsed:           req.parsed,
		remaining:        response.valueSize,
		trailerSize:      totalSize - response.headSize - response.valueSize,
		endpointActiveAt: p.now(),
	}
	conn.input.buf.Consume(response.headSize)
	slot := client.slotOf(req.slot)
	slot.request = 0
	slot.streamConn = conn.id
	p.setAnswer(slot, head, nil)
	req.answered = true
	conn.purpose = purposeStream
	conn.stream = stream
	conn.closesAfterStream = response.closesConn
	p.endAttempt(req, conn.attempt.index, policy.Answered, report)
	p.forwardStream(conn)
	return true
}

// forwardStream forwards what has been received of a value, as far as the client can take it.
func (p *Proxy) forwardStream(conn *upstreamConn) {
	stream := conn.stream
	client := p.downstream.conns.Get(stream.client)
	if client == nil {
		p.dropConn(conn)
		return
	}
	if stream.isNextFor(client) && client.socket.Unsent() <= int64(p.unsentWindow()) {
		used, more := p.writeStream(conn, client, conn.input.buf.Unread())
		if !more {
			return
		}
		conn.input.buf.Consume(used)
		p.updateStreamBytes(conn)
	}
	mustPause := !stream.isNextFor(client) || client.socket.Unsent() > int64(p.unsentWindow())
	p.setPaused(conn, mustPause)
	if stream.isNextFor(client) && !p.watchReading(client) {
		return
	}
	p.scheduleStreamCheck(conn)
}

// setPaused pauses or resumes reading from a stream's endpoint.
func (p *Proxy) setPaused(conn *upstreamConn, paused bool) {
	stream := conn.stream
	if stream.paused && !paused {
		conn.socket.ResumeReading()
	} else if paused && !stream.paused {
		conn.socket.PauseReading()
	}
	stream.paused = paused
	if paused {
		stream.endpointActiveAt = p.now()
	}
}

// scheduleStreamCheck sets a stream's timer, unless it fires sooner anyway. A paused stream is checked often, since no
// received data triggers a check.
func (p *Proxy) scheduleStreamCheck(conn *upstreamConn) {
	stream := conn.stream
	wait := streamIdleTimeout
	if stream.paused {
		wait = slowReaderCheckInterval
	}
	at := p.now().Add(wait)
	if stream.checkAt == 0 || at < stream.checkAt {
		stream.checkAt = at
		p.schedule(at, timerEvent{kind: timerStream, conn: conn.id})
	}
}

// forwardDirect forwards data that has just been received without copying it, as far as the client can take it, and
// returns the rest. The end of the value is left to forwardStream, since other data may follow it.
func (p *Proxy) forwardDirect(conn *upstreamConn, data []byte) (rest []byte) {
	stream := conn.stream
	client := p.downstream.conns.Get(stream.client)
	if client == nil || !stream.isNextFor(client) {
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

// writeStream writes bytes of a value to the client. It returns how many bytes it wrote, and whether more are to come;
// if not, the stream has ended.
func (p *Proxy) writeStream(conn *upstreamConn, client *clientConn, data []byte) (used int, more bool) {
	stream := conn.stream
	if !stream.started && !p.writeStreamHead(stream, client) {
		return 0, false
	}
	window := p.unsentWindow()
	for stream.remaining > 0 && len(data) > used && client.socket.Unsent() <= int64(window) {
		piece := data[used:]
		piece = piece[:min(len(piece), stream.remaining, window)]
		stream.remaining -= len(piece)
		used += len(piece)
		client.lastUsedAt = p.now()
		stream.endpointActiveAt = p.now()
		if !p.writeToClient(client, piece) { // what the kernel does not accept is copied
			return 0, false
		}
	}
	rest := data[used:]
	if stream.remaining == 0 && len(rest) >= stream.trailerSize {
		conn.input.buf.Consume(used)
		badTrailer := stream.trailerSize > 0 && string(rest[:stream.trailerSize]) != meta.LineEnd
		p.completeStream(conn, client, badTrailer)
		return 0, false
	}
	return used, true
}

// writeStreamHead writes what precedes a value, and reports whether the client is still connected.
func (p *Proxy) writeStreamHead(stream *responseStream, client *clientConn) bool {
	slot := &client.pipeline[0]
	head := slot.response
	p.discardAnswer(slot)
	slot.begun = true
	stream.started = true
	return p.writeToClient(client, head)
}

// completeStream ends a stream whose value has been received completely. If the trailer is invalid, it fails the stream
// instead.
func (p *Proxy) completeStream(conn *upstreamConn, client *clientConn, badTrailer bool) {
	stream := conn.stream
	if badTrailer {
		p.metrics.counters.ProtocolErrors++
		p.failConn(conn, policy.ConnectionBroken)
		return
	}
	conn.input.buf.Consume(stream.trailerSize)
	conn.stream = nil
	conn.purpose = purposeIdle
	p.updateStreamBytes(conn)
	if !conn.endpoint.codec.canAttributeResponses() {
		conn.unattributedAt = p.now()
	}
	if stream.paused {
		conn.socket.ResumeReading()
	}
	conn.hasServed = true
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

// failStream ends a stream whose value will not be complete. If the head has been written, the client's connection is
// closed; otherwise the request is answered like any other that failed.
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
	p.answerSlot(client, slot, stream.codec.failed(&stream.parsed, false))
}

// answerSlot stores the end of a streamed answer in its slot, and writes the answers that are ready.
func (p *Proxy) answerSlot(client *clientConn, slot *pipelineSlot, response []byte) {
	slot.answered = true
	slot.streamConn = 0
	p.setAnswer(slot, response, nil)
	p.flushPipeline(client)
}

// onStreamTimer resumes a stream whose client was slow, and fails one whose endpoint has stopped sending.
func (p *Proxy) onStreamTimer(id upstreamConnID) {
	conn := p.upstream.conns.Get(id)
	if conn == nil || conn.stream == nil || p.now() < conn.stream.checkAt {
		return
	}
	stream := conn.stream
	stream.checkAt = 0
	if !stream.paused && p.now().Since(stream.endpointActiveAt) >= streamIdleTimeout {
		p.failConn(conn, policy.TimedOut)
		return
	}
	p.forwardStream(conn)
}
