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
	begun      bool           // some of the answer has been written; only in the first slot
	streamConn upstreamConnID // the connection that the value is streamed from, or 0
	response   []byte         // what is left to write before the value, or in place of one
	value      []byte         // what is left to write of a long value, which is not copied; the trailer follows it
	// bufferedBytes is the size of the answer as counted in inflightTable. It is counted until all of the answer has
	// been written, because the parts of a value share its memory.
	bufferedBytes int
}

// unwrittenBytes returns the number of bytes of the answer that have not been written yet, without the trailer.
func (s *pipelineSlot) unwrittenBytes() int { return len(s.response) + len(s.value) }

// setAnswer sets the bytes of a slot's answer, and counts them.
func (p *Proxy) setAnswer(slot *pipelineSlot, response, value []byte) {
	p.discardAnswer(slot)
	slot.response = response
	slot.value = value
	slot.bufferedBytes = slot.unwrittenBytes()
	p.inflight.bufferedBytes += slot.bufferedBytes
}

// discardAnswer releases the bytes of a slot's answer.
func (p *Proxy) discardAnswer(slot *pipelineSlot) {
	p.inflight.bufferedBytes -= slot.bufferedBytes
	slot.bufferedBytes = 0
	slot.response = nil
	slot.value = nil
}

// respond queues the answer to a command that is not a request in flight.
func (p *Proxy) respond(client *clientConn, response []byte) {
	slot := pipelineSlot{answered: true}
	p.setAnswer(&slot, response, nil)
	client.pipeline = append(client.pipeline, slot)
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
	slot.request = 0
	p.setAnswer(slot, response, value)
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
