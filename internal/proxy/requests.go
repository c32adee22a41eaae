package proxy

import (
	"encoding/binary"
	"time"

	"dahliapin/internal/slotmap"
	"dahliapin/policy"
)

const (
	// maxClientTimeout is the longest time until its deadline that a client may state: no deployment's comes near it.
	maxClientTimeout = 10 * time.Minute
	// bufferedShare is the part of the memory that requests and answers may take, one of so many: the rest is for what
	// grows with them.
	bufferedShare = 8
)

type inflightID uint64

// inflightTable is the table of the requests in flight. The loop writes it.
type inflightTable struct {
	requests      slotmap.Table[inflightID, inflightRequest]
	ids           map[string]bool // the ids that the clients gave them
	pending       int             // requests accepted whose final answer is not complete, streamed ones included
	bufferedBytes int             // of requests, and of answers that wait for those before them
}

// inflightRequest is a request that was accepted. It stays until it is answered and none of its attempts is in flight.
// The dispatcher keeps what the decisions need of it.
type inflightRequest struct {
	id                  inflightID
	class               policy.ClassID
	client              clientConnID
	slot                uint64 // the number of its pipeline slot
	codec               downstreamCodec
	parsed              clientRequest // of its own memory
	deadline            policy.Instant
	answered            bool // or its client has gone
	lastAttemptTimedOut bool
	anyWritten          bool      // an attempt was handed to the kernel, if only in part
	size                int       // bytes that it takes
	attempts            []attempt // same indexes as the dispatcher's: each Send appends to both
}

// policyRequestID is a request's id towards the dispatcher: that of its slot, so that no client can name another's.
func policyRequestID(id inflightID) policy.RequestID {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return policy.RequestID(b[:])
}

// inflightIDOf is the inverse of policyRequestID; 0, which is no request's, for what is not such an id.
func inflightIDOf(id policy.RequestID) inflightID {
	if len(id) != 8 {
		return 0
	}
	return inflightID(binary.BigEndian.Uint64([]byte(id)))
}

// acceptRequest takes a request in flight and passes it to the dispatcher, or answers at once that it can't. A request
// without a deadline or a known class is malformed. So is one with the id of another in flight: an endpoint could not
// tell the two apart, and would answer one of them with the other's value.
func (p *Proxy) acceptRequest(client *clientConn, request *clientRequest, at policy.Instant) {
	class := p.config.Settings.Names.Class(request.class)
	if request.timeout <= 0 || class < 0 {
		p.metrics.counters.Malformed++
		p.respond(client, client.codec.refusal(refusedMalformed, request.headOnly))
		return
	}
	if p.inflight.ids[string(request.id)] {
		p.metrics.counters.Malformed++
		p.respond(client, client.codec.refusal(refusedDuplicateID, request.headOnly))
		return
	}
	p.metrics.counters.Requests++
	deadline := at.Add(min(request.timeout, maxClientTimeout))
	deadline, outlastsDrain := p.capDeadline(class, at, deadline)
	if outlastsDrain || p.cannotAccept(client) {
		p.metrics.counters.NotAccepted++
		p.metrics.countRejected(class)
		p.respond(client, client.codec.rejected(request, 0))
		return
	}
	client.overLimit = false
	request.idempotent = p.config.Settings.Policy.Classes[class].Idempotency == policy.Idempotent
	req := &inflightRequest{
		class:    class,
		deadline: deadline,
		client:   client.id,
		slot:     client.firstSlot + uint64(len(client.pipeline)),
		codec:    client.codec,
	}
	req.parsed, req.size = cloneRequest(request)
	p.inflight.bufferedBytes += req.size
	req.id = p.inflight.requests.Add(req)
	p.inflight.pending++
	p.inflight.ids[string(req.parsed.id)] = true
	client.pipeline = append(client.pipeline, pipelineSlot{request: req.id})
	p.dispatcher.RequestArrived(p.now(), &policy.Request{
		ID:        policyRequestID(req.id),
		Key:       string(request.key),
		Class:     class,
		Tenant:    p.config.Settings.Names.Tenant(request.tenant),
		Write:     request.write,
		ArrivedAt: at,
		Deadline:  deadline,
	})
}

// capDeadline returns the deadline of a request that came at a time: none is later than the end of a node that
// drains. outlastsDrain reports that the request must not be begun so late: it is not idempotent, or has less time
// left than its latency objective. Guards against rejecting, for the whole drain, whatever has a long deadline,
// although the node would have served it well within its latency objective.
func (p *Proxy) capDeadline(
	class policy.ClassID, at, deadline policy.Instant,
) (capped policy.Instant, outlastsDrain bool) {
	by := p.lastAnswerAt()
	if p.lifecycle.phase != Draining || deadline <= by {
		return deadline, false
	}
	rules := &p.config.Settings.Policy.Classes[class]
	return by, rules.Idempotency != policy.Idempotent || by.Since(at) < rules.LatencyObjective
}

// cannotAccept reports whether the node lacks capacity for another request of a client, or accepts none.
func (p *Proxy) cannotAccept(client *clientConn) bool {
	buffered := int64(p.inflight.bufferedBytes) + p.engine.Unsent()
	return p.lifecycle.phase == Starting ||
		p.rejectsInStandby() ||
		len(client.pipeline) >= maxPipelined ||
		client.overLimit && p.tooManyClients() ||
		buffered > p.config.MemoryLimit/bufferedShare
}

// cloneRequest copies what is still needed of a request out of the buffer that it was read from, in one allocation. It
// returns how many bytes the copy takes.
func cloneRequest(request *clientRequest) (clone clientRequest, size int) {
	size = len(request.key) + len(request.flags) + len(request.id) + len(request.value)
	buffer := make([]byte, 0, size)
	keep := func(b []byte) []byte {
		buffer = append(buffer, b...)
		return buffer[len(buffer)-len(b):]
	}
	clone = *request
	clone.key = keep(request.key)
	clone.flags = keep(request.flags)
	clone.id = keep(request.id)
	clone.value = keep(request.value)
	clone.class = nil
	clone.tenant = nil
	return clone, size + len(request.httpDetails().headers)
}

// abandonRequest ends a request whose client has gone. Its attempts are cancelled where the settings allow that, or
// while the kernel has not taken all of them.
func (p *Proxy) abandonRequest(req *inflightRequest) {
	req.answered = true
	p.inflight.pending--
	p.metrics.counters.ClientsGone++
	if !req.anyWritten {
		p.metrics.counters.ClientsGoneUnsent++
	}
	id := policyRequestID(req.id)
	p.dispatcher.ClientGone(p.now(), id)
	for index := range req.attempts {
		if p.config.Settings.Policy.CancelAllowed || p.isPartlyWritten(req, index) {
			p.Cancel(id, index)
		}
	}
	p.releaseIfDone(req)
}

// releaseIfDone forgets a request that is answered and has no attempt in flight.
func (p *Proxy) releaseIfDone(req *inflightRequest) {
	for i := range req.attempts {
		if req.attempts[i].inFlight {
			return
		}
	}
	if req.answered && p.inflight.requests.Get(req.id) != nil {
		p.inflight.requests.Remove(req.id)
		delete(p.inflight.ids, string(req.parsed.id))
		p.inflight.bufferedBytes -= req.size
	}
}
