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
	maxPipelined           = 256                    // commands in hand on one connection; more are rejected
	maxPendingResponses    = 4 * maxPipelined       // answers that may wait on one for those before them; more end it
	maxClientTimeout       = 10 * time.Minute       // that a client may say it waits: no deployment's is near it
	commandTimeout         = 5 * time.Second / 2    // for a command to come whole, and for the first word: a usual one takes milliseconds
	clientIdleTimeout      = 2 * time.Second        // that a client may keep a connection without a command open on it
	sweepInterval          = 100 * time.Millisecond // between looks at clients that say nothing whole or are idle
	idleClientShare        = 8                      // part of the descriptors that idle clients may keep: under half of the third that clients may hold
	flushTimeout           = time.Second            // that a connection to be closed may take to be read out
	flushCheckInterval     = 20 * time.Millisecond
	bufferedShare          = 8 // part of the memory that requests and answers may take: the rest is for what grows with them
	incompleteRequestShare = 4 // part of the memory that commands may take which have not come whole
	readAheadShare         = 8 // part of the memory that what servers send may take before the loop has it
	spareDescriptorShare   = 8 // part of the descriptors kept for links that are not open yet
	upstreamShare          = 2 // part of the descriptors that links may have, and clients leave them: a leg or two each
)

// clientConn is a connection that somebody opened to this node.
type clientConn struct {
	id              clientConnID
	wire            *sockets.Conn
	codec           downstreamCodec
	buf             buffer.Buffer
	progress        http1.Progress // of the command that is coming
	pipeline        []pipelineSlot // one for each command not yet answered, in their order
	firstSlot       uint64         // the number of the first turn
	lastUsedAt      policy.Instant
	continueSent    bool           // was told to go on with what has begun
	closing         bool           // nothing more is read; it closes once all is answered
	overLimit       bool           // came when there were too many: its requests are rejected, and it is closed when idle
	incompleteBytes int            // bytes of a command that has not come whole
	incompleteSince policy.Instant // when that began, or the connection, while nothing has been said on it; 0 for neither
	flushDeadline   policy.Instant
}

type pipelineSlot struct {
	request    inflightID // 0 for what is no request
	answered   bool
	response   []byte
	streamConn upstreamConnID // where a long value comes from that is passed on, or 0
	value      []byte         // a value that follows it uncopied, with what ends values still to be written
}

func (t *pipelineSlot) size() int { return len(t.response) + len(t.value) }

func (client *clientConn) idle() bool {
	return len(client.pipeline) == 0 && len(client.buf.Unread()) == 0 && client.wire.Unsent() == 0
}

// inflightRequest is one in hand. The host keeps its own part of it.
type inflightRequest struct {
	id                  inflightID
	class               policy.ClassID
	client              clientConnID
	slot                uint64
	codec               downstreamCodec
	parsed              clientRequest // its parts lie in a copy
	deadline            policy.Instant
	answered            bool // or nobody waits any more
	lastAttemptTimedOut bool // its last leg to end had not answered in time
	anyWritten          bool // a leg of it was handed to the kernel, if only in part
	size                int
	attempts            []attempt
}

func (p *Proxy) onClientConnected(ev *sockets.Event) {
	client := &clientConn{wire: ev.Conn, codec: p.codecs[ev.Conn.Listener], lastUsedAt: p.instantOf(ev.At), incompleteSince: p.instantOf(ev.At)}
	client.id = p.clients.Add(client)
	client.wire.Tag = uint64(client.id)
	p.counters.Clients++
	p.lastConnectedAt = client.lastUsedAt
	if p.tooManyClients() {
		client.overLimit = !p.closeLongestIdleClient()
	}
}

// tooManyClients tells whether they take what links need: half, or more while there are few links.
func (p *Proxy) tooManyClients() bool {
	most := p.engine.MaxClients()
	return p.clients.Len() > max(most-p.maxUpstreamConns(), most-most/spareDescriptorShare-p.conns.Len())
}

func (p *Proxy) maxUpstreamConns() int { return p.engine.MaxClients() / upstreamShare }

func (p *Proxy) onClientData(id clientConnID, data []byte, at policy.Instant) {
	client := p.clients.Get(id)
	if client == nil || client.closing {
		return
	}
	client.lastUsedAt = at
	client.buf.Append(data)
	commandStart := at
	if client.incompleteBytes > 0 {
		commandStart = client.incompleteSince
	}
	for !client.closing {
		parsed := &p.parsed
		size := client.codec.readRequest(client.buf.Unread(), parsed, &client.progress)
		if size == 0 && parsed.intent != intentUnserved && (parsed.intent != intentContinue || client.continueSent) {
			break
		}
		client.continueSent = parsed.intent == intentContinue
		switch parsed.intent {
		case intentContinue:
			p.respond(client, parsed.response)
		case intentUnserved:
			p.counters.Malformed++
			p.respond(client, parsed.response)
		case intentReadiness:
			p.respond(client, client.codec.readiness(&parsed.clientRequest, p.phase))
		case intentCounters:
			p.respond(client, client.codec.counters(&parsed.clientRequest, &p.counters))
		default:
			p.acceptRequest(client, &parsed.clientRequest, at)
		}
		client.closing = client.closing || parsed.stopReading
		if client.buf.Consume(size); size > 0 {
			client.progress = http1.Progress{}
		}
		commandStart = at
		if len(client.pipeline) >= maxPendingResponses { // else one request that takes long would let anything pile up behind it
			p.respond(client, client.codec.refusal(refusedTooMany, false))
			client.closing = true
		}
	}
	p.incompleteRequestBytes += len(client.buf.Unread()) - client.incompleteBytes
	client.incompleteBytes = len(client.buf.Unread())
	if client.incompleteSince = 0; client.incompleteBytes > 0 {
		client.incompleteSince = commandStart
	}
	if client.incompleteBytes > 0 && int64(p.incompleteRequestBytes) > p.Memory/incompleteRequestShare {
		p.counters.RejectedForRoom++
		p.respond(client, client.codec.refusal(refusedForMemory, false))
		client.closing = true
	}
	p.flushPipeline(client)
}

// sweepClients ends connections on which nothing was said, or a command has not come whole, in time, and those that are idle
// for long. Clients may hold only so many, and some ask once and keep theirs: of idle ones only so many are kept, those
// that came back rather than those that did not, then those used last.
func (p *Proxy) sweepClients() {
	now := p.now()
	p.timers.Push(now.Add(sweepInterval), timerEvent{sweep: true})
	p.publishMetrics()
	p.engine.SetReadAhead(p.Memory / readAheadShare / int64(1+p.conns.Len()))
	var idle []*clientConn
	p.clients.Each(func(_ clientConnID, client *clientConn) {
		switch late := client.incompleteSince != 0 && now.Since(client.incompleteSince) >= commandTimeout; {
		case client.closing:
		case late && client.incompleteBytes > 0:
			p.counters.Overdue++
			p.respond(client, client.codec.refusal(refusedTooLate, false))
			client.closing = true
			p.flushPipeline(client)
		case late && client.idle():
			if p.closeIfQuiet(client) {
				p.counters.Overdue++
			}
		case client.firstSlot > 0 && client.idle() && now.Since(client.lastUsedAt) >= firstCommandGrace:
			idle = append(idle, client)
		}
	})
	slices.SortFunc(idle, compareByUse(2))
	excess := len(idle) - p.engine.MaxClients()/idleClientShare
	for i, client := range idle {
		if (i < excess || now.Since(client.lastUsedAt) >= clientIdleTimeout) && p.closeIfQuiet(client) {
			p.counters.IdleClosed++
		}
	}
}

// compareByUse puts first who speaks least for being kept: has asked fewer times, which count up to so many, then was used
// longest ago.
func compareByUse(maxCount uint64) func(a, b *clientConn) int {
	return func(a, b *clientConn) int {
		return cmp.Or(cmp.Compare(min(a.firstSlot, maxCount), min(b.firstSlot, maxCount)), cmp.Compare(a.lastUsedAt, b.lastUsedAt))
	}
}

// respond answers a command that is no request in hand, in its turn.
func (p *Proxy) respond(client *clientConn, out []byte) {
	p.bufferedBytes += len(out)
	client.pipeline = append(client.pipeline, pipelineSlot{answered: true, response: out})
}

// acceptRequest takes a request in hand. One whose deadline or grade can't be told is malformed, and so is one with the id
// of another in hand: caches could not tell the two apart.
func (p *Proxy) acceptRequest(client *clientConn, request *clientRequest, at policy.Instant) {
	class := p.Settings.Names.Class(request.class)
	if request.timeout <= 0 || class < 0 {
		p.counters.Malformed++
		p.respond(client, client.codec.refusal(refusedMalformed, request.headOnly))
		return
	}
	if p.inflightIDs[string(request.id)] {
		p.counters.Malformed++
		p.respond(client, client.codec.refusal(refusedDuplicateID, request.headOnly))
		return
	}
	p.counters.Requests++
	deadline := at.Add(min(request.timeout, maxClientTimeout))
	outlastsDrain := false
	if by := p.drainDeadline().Add(-answerMargin); p.phase == Draining && deadline > by {
		outlastsDrain = p.Settings.Policy.Classes[class].Idempotency != policy.Idempotent || by.Since(at) < p.Settings.Policy.Classes[class].LatencyObjective
		deadline = by // guards against turning away what is served within its soft limit as a rule, and would have been
	}
	if len(client.pipeline) >= maxPipelined || p.phase == Starting || outlastsDrain || p.rejectsInStandby() || client.overLimit && p.tooManyClients() ||
		int64(p.bufferedBytes)+p.engine.Unsent() > p.Memory/bufferedShare {
		p.counters.RejectedForRoom++
		p.counters.Rejected++
		p.byClass[class].Rejected++
		p.respond(client, client.codec.rejected(request, 0))
		return
	}
	client.overLimit = false
	request.idempotent = p.Settings.Policy.Classes[class].Idempotency == policy.Idempotent
	req := &inflightRequest{class: class, deadline: deadline, client: client.id, slot: client.firstSlot + uint64(len(client.pipeline)), codec: client.codec}
	req.parsed, req.size = cloneRequest(request)
	p.bufferedBytes += req.size
	req.id = p.inflight.Add(req)
	p.pending++
	p.inflightIDs[string(req.parsed.id)] = true
	client.pipeline = append(client.pipeline, pipelineSlot{request: req.id})
	p.dispatcher.RequestArrived(p.now(), &policy.Request{ID: policyRequestID(req.id), Key: string(request.key),
		Class: class, Tenant: p.Settings.Names.Tenant(request.tenant),
		Write: request.write, ArrivedAt: at, Deadline: deadline})
}

// cloneRequest keeps a call beyond the buffer that it was read from, but for what it is no longer needed for.
func cloneRequest(request *clientRequest) (clone clientRequest, size int) {
	size = len(request.key) + len(request.flags) + len(request.id) + len(request.value)
	buffer := make([]byte, 0, size)
	keep := func(p []byte) []byte {
		buffer = append(buffer, p...)
		return buffer[len(buffer)-len(p):]
	}
	clone = *request
	clone.key, clone.flags, clone.id, clone.value = keep(request.key), keep(request.flags), keep(request.id), keep(request.value)
	clone.class, clone.tenant = nil, nil
	return clone, size + len(request.httpDetails().headers)
}

// answer gives a request its one final answer.
func (p *Proxy) completeRequest(req *inflightRequest, response, value []byte) {
	req.answered = true
	if p.now() > req.deadline {
		p.counters.AnsweredLate++
	}
	p.pending--
	client := p.clients.Get(req.client)
	if client == nil || req.slot < client.firstSlot {
		return
	}
	slot := &client.pipeline[req.slot-client.firstSlot]
	slot.answered, slot.response, slot.value, slot.request = true, response, value, 0
	p.bufferedBytes += slot.size()
	p.deferred = append(p.deferred, func() {
		if p.clients.Get(client.id) != nil {
			p.flushPipeline(client)
		}
	})
}

// flushPipeline writes what is answered, in the order of the commands.
func (p *Proxy) flushPipeline(client *clientConn) {
	var pieces [][]byte
	var out []byte
	answered := 0
	for ; answered < len(client.pipeline) && client.pipeline[answered].answered; answered++ {
		slot := &client.pipeline[answered]
		p.bufferedBytes -= slot.size()
		if answered == len(client.pipeline)-1 {
			p.announceClose(client, slot)
		}
		if out == nil {
			out = slot.response
		} else {
			out = append(out, slot.response...)
		}
		if slot.value != nil {
			pieces = append(pieces, out, slot.value)
			out = []byte(client.codec.valueTrailer())
		}
	}
	if answered > 0 {
		client.firstSlot += uint64(answered)
		left := copy(client.pipeline, client.pipeline[answered:])
		clear(client.pipeline[left:]) // their answers are not to be kept
		client.pipeline = client.pipeline[:left]
		client.lastUsedAt = p.now()
		for _, piece := range append(pieces, out) {
			if len(piece) > 0 && client.wire.Write(piece) != nil {
				p.onClientClosed(client.id)
				return
			}
		}
	}
	if answered > 0 && len(client.pipeline) > 0 && client.pipeline[0].streamConn != 0 { // it waited for these
		if conn := p.conns.Get(client.pipeline[0].streamConn); conn != nil {
			p.deferred = append(p.deferred, func() {
				if conn.stream != nil && p.conns.Get(conn.id) == conn {
					p.forwardStream(conn)
				}
			})
		}
	}
	if client.overLimit && client.idle() && p.tooManyClients() && p.closeIfQuiet(client) {
		return
	}
	if client.closing && len(client.pipeline) == 0 && client.flushDeadline == 0 {
		client.flushDeadline = p.now().Add(flushTimeout)
		p.closeOnceFlushed(client.id)
	}
}

// announceClose lets a node that drains say with the last answer on a connection that it ends with that, so that nothing more is sent on it
// to be lost. It is the last only as it leaves: what was answered before may have waited.
func (p *Proxy) announceClose(client *clientConn, slot *pipelineSlot) {
	if p.phase != Draining && p.phase != Standby || client.incompleteBytes > 0 || client.closing {
		return
	}
	if quiet, _ := client.wire.Idle(); quiet {
		slot.response, client.closing = client.codec.announceClose(slot.response)
	}
}

// closeOnceFlushed closes a connection once its last answer is with the kernel, or its reader too slow.
func (p *Proxy) closeOnceFlushed(id clientConnID) {
	client := p.clients.Get(id)
	switch now := p.now(); {
	case client == nil:
	case client.wire.Unsent() == 0 || now >= client.flushDeadline:
		p.closeClient(client)
	default:
		p.timers.Push(now.Add(flushCheckInterval), timerEvent{flush: id})
	}
}

// closeIfQuiet closes a client between commands; one whose next is on its way through the queue stays.
func (p *Proxy) closeIfQuiet(client *clientConn) bool {
	if !client.wire.CloseIfIdle() {
		return false
	}
	p.forgetClient(client)
	return true
}

func (p *Proxy) closeClient(client *clientConn) {
	client.wire.Close()
	p.forgetClient(client)
}

func (p *Proxy) onClientClosed(id clientConnID) {
	if client := p.clients.Get(id); client != nil {
		p.forgetClient(client)
	}
}

// forgetClient forgets a connection. Those whose answers it waited for have left: their legs are called off where
// that is allowed.
func (p *Proxy) forgetClient(client *clientConn) {
	p.clients.Remove(client.id)
	p.incompleteRequestBytes -= client.incompleteBytes
	for _, slot := range client.pipeline {
		p.bufferedBytes -= slot.size()
		if conn := p.conns.Get(slot.streamConn); conn != nil { // the rest is nobody's
			p.pending--
			p.counters.ClientsGone++
			p.dropConn(conn)
		}
		req := p.inflight.Get(slot.request)
		if req == nil || req.answered {
			continue
		}
		req.answered = true
		p.pending--
		p.counters.ClientsGone++
		if !req.anyWritten {
			p.counters.ClientsGoneUnsent++
		}
		p.dispatcher.ClientGone(p.now(), policyRequestID(req.id))
		for n := range req.attempts {
			if p.Settings.Policy.CancelAllowed || p.isPartlyWritten(req, n) {
				p.Cancel(policyRequestID(req.id), n)
			}
		}
		p.releaseIfDone(req)
	}
}

// Reject answers that a retry is harmless.
func (p *Proxy) Reject(id policy.RequestID, retryAfter time.Duration) {
	if req := p.inflight.Get(inflightIDOf(id)); req != nil && !req.answered {
		p.counters.Rejected++
		p.byClass[req.class].Rejected++
		p.completeRequest(req, req.codec.rejected(&req.parsed, retryAfter), nil)
		p.releaseIfDone(req)
	}
}

// Fail answers that it failed.
func (p *Proxy) Fail(id policy.RequestID) {
	if req := p.inflight.Get(inflightIDOf(id)); req != nil && !req.answered {
		p.counters.Failed++
		p.byClass[req.class].Failed++
		p.completeRequest(req, req.codec.failed(&req.parsed, req.lastAttemptTimedOut), nil)
		p.releaseIfDone(req)
	}
}
