package proxy

import (
	"time"

	"dahliapin/policy"
)

// pipelineSlot is the place of one command's answer among those of its connection: answers go out in the order of the
// commands, whichever is ready first.
type pipelineSlot struct {
	request    inflightID // 0 for a command that is no request in flight
	answered   bool
	response   []byte
	streamConn upstreamConnID // where a value comes from that is streamed, or 0
	value      []byte         // a long value that follows the response uncopied, before the trailer
}

// size is how many bytes of the answer wait.
func (s *pipelineSlot) size() int { return len(s.response) + len(s.value) }

// respond answers a command that is no request in flight, in its turn.
func (p *Proxy) respond(client *clientConn, response []byte) {
	p.inflight.bufferedBytes += len(response)
	client.pipeline = append(client.pipeline, pipelineSlot{answered: true, response: response})
}

// slotOf returns the slot of a command by its number, which must be one that is not answered to the client yet.
func (c *clientConn) slotOf(number uint64) *pipelineSlot { return &c.pipeline[number-c.firstSlot] }

// advance removes the first slots.
func (c *clientConn) advance(count int) {
	c.firstSlot += uint64(count)
	left := copy(c.pipeline, c.pipeline[count:])
	clear(c.pipeline[left:]) // else the answers in them would stay in memory
	c.pipeline = c.pipeline[:left]
}

// flushPipeline writes the answers that are ready, up to the first command that is not answered.
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
	if client.overLimit && client.isIdle() && p.tooManyClients() && p.closeIfQuiet(client) {
		return
	}
	if client.closing && len(client.pipeline) == 0 && client.flushDeadline == 0 {
		client.flushDeadline = p.now().Add(flushTimeout)
		p.closeOnceFlushed(client.id)
	}
}

// readyAnswers returns the bytes of the answers that are ready, and how many those are. Short ones are joined into one
// piece; long values are not copied.
func (p *Proxy) readyAnswers(client *clientConn) (pieces [][]byte, last []byte, count int) {
	for ; count < len(client.pipeline) && client.pipeline[count].answered; count++ {
		slot := &client.pipeline[count]
		p.inflight.bufferedBytes -= slot.size()
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

// resumeFirstStream goes on with a streamed value that has waited for the answers before it.
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

// announceClose lets a node that drains or stands by say with the last answer on a connection that it ends with that,
// where the protocol can. Guards against a command that the client sends while the connection is being closed: it would
// be lost. Whether an answer is the last is known only as it leaves, since it may have waited for others.
func (p *Proxy) announceClose(client *clientConn, slot *pipelineSlot) {
	leaving := p.lifecycle.phase == Draining || p.lifecycle.phase == Standby
	if !leaving || client.incompleteBytes > 0 || client.closing {
		return
	}
	if idle, _ := client.socket.Idle(); idle {
		slot.response, client.closing = client.codec.announceClose(slot.response)
	}
}

// completeRequest gives a request its one final answer. A long value follows the response uncopied.
func (p *Proxy) completeRequest(req *inflightRequest, response, value []byte) {
	req.answered = true
	if p.now() > req.deadline {
		p.metrics.counters.AnsweredLate++
	}
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

// Reject answers that a request was not carried out and may be sent again, after retryAfter if that is not 0. It
// implements dispatch.Actions.
func (p *Proxy) Reject(id policy.RequestID, retryAfter time.Duration) {
	req := p.inflight.requests.Get(inflightIDOf(id))
	if req == nil || req.answered {
		return
	}
	p.metrics.countRejected(req.class)
	p.completeRequest(req, req.codec.rejected(&req.parsed, retryAfter), nil)
	p.releaseIfDone(req)
}

// Fail answers that a request has failed and may have been carried out. It implements dispatch.Actions.
func (p *Proxy) Fail(id policy.RequestID) {
	req := p.inflight.requests.Get(inflightIDOf(id))
	if req == nil || req.answered {
		return
	}
	p.metrics.countFailed(req.class)
	p.completeRequest(req, req.codec.failed(&req.parsed, req.lastAttemptTimedOut), nil)
	p.releaseIfDone(req)
}
