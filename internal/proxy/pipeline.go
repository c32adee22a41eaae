package proxy

import (
	"time"

	"dahliapin/policy"
)

// pipelineSlot holds the answer to one command of a connection. Answers are written in the order of the commands, not
// in the order in which they become ready.
type pipelineSlot struct {
	request    inflightID     // 0 for a command that is not a request in flight
	deadline   policy.Instant // of a request that was accepted, otherwise 0
	answered   bool
	response   []byte
	streamConn upstreamConnID // the connection that the value is streamed from, or 0
	value      []byte         // a long value, written uncopied after the response and before the trailer
}

// size returns the number of bytes of the answer that are queued.
func (s *pipelineSlot) size() int { return len(s.response) + len(s.value) }

// respond queues the answer to a command that is not a request in flight.
func (p *Proxy) respond(client *clientConn, response []byte) {
	p.inflight.bufferedBytes += len(response)
	client.pipeline = append(client.pipeline, pipelineSlot{answered: true, response: response})
}

// slotOf returns the slot with the given number. The answer of that slot must not have been written yet.
func (c *clientConn) slotOf(number uint64) *pipelineSlot { return &c.pipeline[number-c.firstSlot] }

// advance removes the first count slots.
func (c *clientConn) advance(count int) {
	c.firstSlot += uint64(count)
	left := copy(c.pipeline, c.pipeline[count:])
	clear(c.pipeline[left:]) // releases the memory of the answers
	c.pipeline = c.pipeline[:left]
}

// flushPipeline writes the answers that are ready, up to the first unanswered command.
func (p *Proxy) flushPipeline(client *clientConn) {
	pieces, last, count := p.readyAnswers(client)
	if count > 0 {
		client.advance(count)
		client.lastUsedAt = p.now()
		for _, piece := range append(pieces, last) {
			if len(piece) > 0 && client.socket.Write(piece) != nil {
				p.onClientClosed(client.id)
				return
			}
		}
		p.resumeFirstStream(client)
	}
	if client.overLimit && client.isIdle() && p.tooManyClients() && p.closeIfIdle(client) {
		return
	}
	if client.closing && len(client.pipeline) == 0 && !client.flush.hasBegun() {
		client.flush.begin(client.socket.Unsent(), p.now())
		p.closeOnceFlushed(client.id)
	}
}

// readyAnswers returns the bytes of the answers that are ready, and the number of these answers. Short answers are
// joined into one piece; long values are not copied.
func (p *Proxy) readyAnswers(client *clientConn) (pieces [][]byte, last []byte, count int) {
	now := p.now()
	for ; count < len(client.pipeline) && client.pipeline[count].answered; count++ {
		slot := &client.pipeline[count]
		p.inflight.bufferedBytes -= slot.size()
		if slot.deadline != 0 && now > slot.deadline {
			p.metrics.counters.AnsweredLate++
		}
		if count == len(client.pipeline)-1 {
			p.announceClose(client, slot)
		}
		if last == nil {
			last = slot.response
		} else {
			last = append(last, slot.response...)
		}
		if slot.value != nil {
			pieces = append(pieces, last, slot.value)
			last = []byte(client.codec.valueTrailer())
		}
	}
	return pieces, last, count
}

// resumeFirstStream resumes a streamed value that has waited for earlier answers.
func (p *Proxy) resumeFirstStream(client *clientConn) {
	if len(client.pipeline) == 0 || client.pipeline[0].streamConn == 0 {
		return
	}
	conn := p.upstream.conns.Get(client.pipeline[0].streamConn)
	if conn == nil {
		return
	}
	p.deferCall(func() {
		if conn.stream != nil && p.upstream.conns.Get(conn.id) == conn {
			p.forwardStream(conn)
		}
	})
}

// announceClose makes the last answer on a connection announce that the connection closes, if the node is draining or
// in standby and the protocol supports it. Otherwise a command that the client sends while the connection is being
// closed would be lost. Whether an answer is the last one is known only when it is written, since it may have waited
// for others.
func (p *Proxy) announceClose(client *clientConn, slot *pipelineSlot) {
	leaving := p.lifecycle.phase == Draining || p.lifecycle.phase == Standby
	if !leaving || client.incompleteBytes > 0 || client.closing {
		return
	}
	if idle, _ := client.socket.Idle(); idle {
		slot.response, client.closing = client.codec.announceClose(slot.response)
	}
}

// completeRequest gives a request its only final answer. A long value is written after the response without being
// copied.
func (p *Proxy) completeRequest(req *inflightRequest, response, value []byte) {
	req.answered = true
	p.inflight.pending--
	client := p.downstream.conns.Get(req.client)
	if client == nil || req.slot < client.firstSlot {
		return
	}
	slot := client.slotOf(req.slot)
	slot.answered = true
	slot.response = response
	slot.value = value
	slot.request = 0
	p.inflight.bufferedBytes += slot.size()
	p.deferCall(func() {
		if p.downstream.conns.Get(client.id) != nil {
			p.flushPipeline(client)
		}
	})
}

// Reject answers that a request may be retried safely, after retryAfter unless that is 0: it was not executed, or
// repeating it is harmless. It implements dispatch.Actions.
func (p *Proxy) Reject(id policy.RequestID, retryAfter time.Duration) {
	req := p.inflight.requests.Get(inflightIDOf(id))
	if req == nil || req.answered {
		return
	}
	p.metrics.countRejected(req.class)
	p.completeRequest(req, req.codec.rejected(&req.parsed, retryAfter), nil)
	p.releaseIfDone(req)
}

// Fail answers that a request has failed and may have been executed. It implements dispatch.Actions.
func (p *Proxy) Fail(id policy.RequestID) {
	req := p.inflight.requests.Get(inflightIDOf(id))
	if req == nil || req.answered {
		return
	}
	p.metrics.countFailed(req.class)
	p.completeRequest(req, req.codec.failed(&req.parsed, req.lastAttemptTimedOut), nil)
	p.releaseIfDone(req)
}
