package proxy

import (
	"encoding/binary"
	"time"

	"dahliapin/internal/proxy/requestids"
	"dahliapin/internal/slotmap"
	"dahliapin/policy"
)

const (
	// maxClientTimeout is the longest timeout that a client may state. No deployment uses timeouts close to it.
	maxClientTimeout = 10 * time.Minute
	// bufferedDivisor limits buffered requests and answers to the memory limit divided by it. The rest is for other
	// state, which grows with them.
	bufferedDivisor = 8
	// answersDivisor limits answers that wait for their client to read, or for earlier ones, to the memory limit
	// divided by it. Those of requests accepted below the limit of bufferedDivisor can exceed that one.
	answersDivisor = 4
	// requestOverhead is about how much memory a request takes beside its bytes, with one attempt.
	requestOverhead = 1 << 10
	// recentIDsDivisor limits the memory for the ids of requests that must not run again to the memory limit divided by
	// it.
	recentIDsDivisor = 64
)

type inflightID uint64

// inflightTable holds the requests in flight. Only the event loop writes it.
type inflightTable struct {
	requests slotmap.Table[inflightID, inflightRequest]
	ids      map[string]bool // the ids that clients gave them
	// recentIDs are the ids of requests that have ended, may have run, and must not run again.
	recentIDs     *requestids.Recent
	pending       int // accepted requests without a complete final answer, including streamed ones
	bufferedBytes int // of requests, and of answers queued behind earlier ones
}

// inflightRequest is an accepted request. It is kept until it has been answered and none of its attempts is in flight.
// The dispatcher keeps what routing decisions need to know about it.
type inflightRequest struct {
	id                  inflightID
	class               policy.ClassID
	client              clientConnID
	slot                uint64 // the number of its pipeline slot
	codec               downstreamCodec
	arrivedAt           policy.Instant
	parsed              clientRequest // a copy that does not refer to the read buffer
	deadline            policy.Instant
	answered            bool // or its client has disconnected
	lastAttemptTimedOut bool
	anyWritten          bool      // at least one attempt has been written to a socket, completely or in part
	mayHaveRun          bool      // an attempt that has ended may have been executed
	size                int       // in bytes
	attempts            []attempt // indexed like the dispatcher's: each Send appends to both
}

// policyRequestID returns the id by which the dispatcher knows a request. It is derived from the request's place in the
// table, so that no client can refer to another client's request.
func policyRequestID(id inflightID) policy.RequestID {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return policy.RequestID(b[:])
}

// inflightIDOf is the inverse of policyRequestID. It returns 0, which no request has, if id is not such an id.
func inflightIDOf(id policy.RequestID) inflightID {
	if len(id) != 8 {
		return 0
	}
	return inflightID(binary.BigEndian.Uint64([]byte(id)))
}

// acceptRequest registers a request as in flight and passes it to the dispatcher, or refuses it at once. A request
// without a deadline or with an unknown service class is malformed. So is one whose id is already in flight: an
// endpoint could not tell the two apart, and would answer one of them with the value of the other. A request that is
// not idempotent is also refused if an earlier one with its id may have run, whether or not the client has got an
// answer.
func (p *Proxy) acceptRequest(client *clientConn, request *clientRequest, at policy.Instant) {
	class := p.config.Settings.Names.Class(request.class)
	if request.timeout <= 0 || class < 0 {
		p.refuse(client, request, refusedMalformed)
		return
	}
	request.idempotent = p.config.Settings.Policy.Classes[class].Idempotency == policy.Idempotent
	if p.inflight.ids[string(request.id)] || !request.idempotent && p.hasRecentID(request.id) {
		p.refuse(client, request, refusedDuplicateID)
		return
	}
	p.metrics.counters.Requests++
	deadline := at.Add(min(request.timeout, maxClientTimeout))
	deadline, mustReject := p.capDeadline(class, at, deadline)
	if mustReject || p.cannotAccept(client) {
		p.rejectUnaccepted(client, request, class)
		return
	}
	if !request.idempotent {
		switch p.claimID(request.id) {
		case claimedByOther:
			p.refuse(client, request, refusedDuplicateID)
			return
		case claimUnavailable:
			p.rejectUnaccepted(client, request, class)
			return
		}
	}
	client.overLimit = false
	req := &inflightRequest{
		class:     class,
		deadline:  deadline,
		client:    client.id,
		slot:      client.firstSlot + uint64(len(client.pipeline)),
		codec:     client.codec,
		arrivedAt: at,
	}
	req.parsed, req.size = cloneRequest(request)
	p.inflight.bufferedBytes += req.size
	req.id = p.inflight.requests.Add(req)
	p.inflight.pending++
	p.inflight.ids[string(req.parsed.id)] = true
	client.pipeline = append(client.pipeline, pipelineSlot{request: req.id, deadline: deadline})
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

// refuse answers a request that is not valid.
func (p *Proxy) refuse(client *clientConn, request *clientRequest, reason refusalReason) {
	p.metrics.counters.Malformed++
	p.respond(client, client.codec.refusal(reason, request.headOnly))
}

// rejectUnaccepted answers a request that the node does not accept that the client may retry it.
func (p *Proxy) rejectUnaccepted(client *clientConn, request *clientRequest, class policy.ClassID) {
	p.metrics.counters.NotAccepted++
	p.metrics.countRejected(class)
	p.respond(client, client.codec.rejected(request, 0))
}

// hasRecentID reports whether an earlier request with this id, which must not run again, may have run.
func (p *Proxy) hasRecentID(id []byte) bool {
	return p.inflight.recentIDs.Contains(requestids.DigestOf(id), time.Now())
}

// releaseID makes the id of a request that has ended available again, unless the request must not run again.
func (p *Proxy) releaseID(req *inflightRequest) {
	delete(p.inflight.ids, string(req.parsed.id))
	if req.parsed.idempotent {
		return
	}
	id := requestids.DigestOf(req.parsed.id)
	if req.mayHaveRun {
		p.inflight.recentIDs.Add(id, time.Now())
	} else if p.takeover.requests.claims {
		p.takeover.requests.exchange.Release(id)
	}
}

// capDeadline returns the deadline of a request that arrived at the given time. While the node drains, no deadline is
// later than the node's end. mustReject reports whether to reject the request: its deadline was cut and it is not
// idempotent, or less time than its latency objective is left. All other requests are accepted with the earlier
// deadline, because the node can still serve them within their latency objective; rejecting every request with a long
// deadline would reject whole service classes during a drain.
func (p *Proxy) capDeadline(
	class policy.ClassID, at, deadline policy.Instant,
) (capped policy.Instant, mustReject bool) {
	answerBy := p.drainAnswerDeadline()
	if p.lifecycle.phase != Draining || deadline <= answerBy {
		return deadline, false
	}
	rules := &p.config.Settings.Policy.Classes[class]
	return answerBy, rules.Idempotency != policy.Idempotent || answerBy.Since(at) < rules.LatencyObjective
}

// cannotAccept reports whether the node lacks the capacity for another request of a client, or accepts none in its
// current phase.
func (p *Proxy) cannotAccept(client *clientConn) bool {
	return p.lifecycle.phase == Starting ||
		p.rejectsInStandby() ||
		len(client.pipeline) >= maxPipelined ||
		client.overLimit && p.tooManyClients() ||
		p.bufferedBytes() > p.config.MemoryLimit/bufferedDivisor
}

// bufferedBytes returns the size of buffered requests and answers, of streamed values that wait for their clients, and
// of what clients have not read yet.
func (p *Proxy) bufferedBytes() int64 {
	return int64(p.inflight.bufferedBytes+p.upstream.streamBytes) + p.engine.Unsent()
}

// exceedsAnswerMemory reports whether an answer must not be kept because the answers that wait take too much memory.
// This does not apply to a short answer, nor to one that is written at once to a client that has read everything.
func (p *Proxy) exceedsAnswerMemory(req *inflightRequest, response, value []byte) bool {
	size := len(response) + len(value)
	client := p.downstream.conns.Get(req.client)
	if client == nil || size <= minIncompleteBytes {
		return false
	}
	isNext := req.slot == client.firstSlot && client.socket.Unsent() == 0
	if isNext && len(value) <= maxUnsentWindow {
		return false
	}
	return p.bufferedBytes()+int64(size) > p.config.MemoryLimit/answersDivisor
}

// cloneRequest copies the parts of a request that are still needed out of the read buffer, in one allocation. It also
// returns how many bytes the copy takes.
func cloneRequest(request *clientRequest) (clone clientRequest, size int) {
	size = len(request.key) + len(request.flags) + len(request.id) + len(request.value)
	buffer := make([]byte, 0, size)
	copyBytes := func(b []byte) []byte {
		buffer = append(buffer, b...)
		return buffer[len(buffer)-len(b):]
	}
	clone = *request
	clone.key = copyBytes(request.key)
	clone.flags = copyBytes(request.flags)
	clone.id = copyBytes(request.id)
	clone.value = copyBytes(request.value)
	clone.class = nil
	clone.tenant = nil
	return clone, requestOverhead + size + len(request.httpDetails().headers)
}

// abandonRequest ends a request whose client has disconnected. Its attempts are cancelled if the settings allow it, or
// if the kernel has not accepted all their bytes.
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

// releaseIfDone removes a request that has been answered and has no attempt in flight.
func (p *Proxy) releaseIfDone(req *inflightRequest) {
	for i := range req.attempts {
		if req.attempts[i].inFlight {
			return
		}
	}
	if req.answered && p.inflight.requests.Get(req.id) != nil {
		p.inflight.requests.Remove(req.id)
		p.releaseID(req)
		p.inflight.bufferedBytes -= req.size
	}
}
