package proxy

import (
	"math"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/proxy/sockets"
	"dahliapin/internal/wire/http1"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

const (
	defaultConnectTimeout   = 250 * time.Millisecond // to come up, where no time is stated
	duplicateResponseWindow = 10 * time.Millisecond  // in which a second answer would have followed a first: ways within a site and their jitter

	incompleteResponseShare = 4       // part of the memory that answers may take which have not come whole
	minIncompleteBytes      = 4 << 10 // of such an answer that are never too many: with all links they stay under that part
)

// cache is what the list says of a cache, and the connections to it.
type knownEndpoint struct {
	id        policy.EndpointID
	addr      string
	codec     upstreamCodec
	start     processStart
	idleConns []upstreamConnID // the latest used last
}

// spoilt is the outcome of a leg whose answer can't be read, until it is told as one that the module knows.
const unreadableResponse policy.Result = -1

// connPurpose is what a link is used for.
type connPurpose int

const (
	purposeIdle connPurpose = iota
	purposeAttempt
	purposeHealthCheck
	purposeEndpointList
	purposeStream // the rest of a long value
)

// link is a connection from this node, for one thing at a time.
type upstreamConn struct {
	id                upstreamConnID
	wire              *sockets.Conn  // nil until it is up
	endpoint          *knownEndpoint // nil for the list
	buf               buffer.Buffer
	progress          http1.Progress // of the answer that is coming
	purpose           connPurpose
	attempt           attemptRef
	lastUsedAt        policy.Instant
	deadline          policy.Instant  // when a probe, or the wait for the connection, is over; 0 for no need
	eof               bool            // all that was sent has come
	idleCheckAt       policy.Instant  // when to see whether it is idle for long; 0 for not yet
	incompleteBytes   int             // bytes of an answer that has not come whole
	proven            bool            // something was answered on it
	unattributedAt    policy.Instant  // when something came on it that does not say whose answer it is; 0 for never
	stream            *responseStream // what it passes on, or nil
	closesAfterStream bool            // it ends with the answer that it passes on
	inIdleList        bool            // it is among the idle links, between these two
	older             *upstreamConn
	newer             *upstreamConn
}

// consumeResponse passes over an answer that has been read; what follows belongs to the next.
func (conn *upstreamConn) consumeResponse(size int) {
	conn.buf.Consume(size)
	conn.progress = http1.Progress{}
}

type attempt struct {
	inFlight      bool
	conn          upstreamConnID
	sentAt        policy.Instant
	deadline      policy.Instant
	partlyWritten bool // written, but the kernel had not taken all of it then
}

func (p *Proxy) connectTimeout() time.Duration {
	if p.Settings.ConnectTimeout > 0 {
		return p.Settings.ConnectTimeout
	}
	return defaultConnectTimeout
}

func (p *Proxy) idleTimeout() time.Duration { return p.idleTimeouts.Current(p.now()) }

// Send starts a leg on the connection used last, or on a new one.
func (p *Proxy) Send(id policy.RequestID, to policy.EndpointID, deadline policy.Instant) {
	req := p.inflight.Get(inflightIDOf(id))
	if req == nil {
		return
	}
	now := p.now()
	ref := attemptRef{req.id, len(req.attempts)}
	req.attempts = append(req.attempts, attempt{inFlight: true, sentAt: now, deadline: deadline})
	p.counters.Attempts++
	endpoint := p.endpoints[to]
	if endpoint == nil {
		p.endAttempt(req, ref.index, policy.ConnectFailed, nil)
		return
	}
	if p.clientLeftUnnoticed(req) {
		p.endAttempt(req, ref.index, policy.NotSent, nil)
		return
	}
	conn, err := p.acquireConn(endpoint, purposeAttempt, !req.parsed.idempotent || !endpoint.codec.identifiesRequest())
	if err != nil {
		p.endAttempt(req, ref.index, policy.NotSent, nil) // for want of a descriptor: the cache is not to blame
		return
	}
	conn.attempt, req.attempts[ref.index].conn = ref, conn.id
	p.timers.Push(deadline, timerEvent{attempt: ref})
	if conn.wire != nil {
		p.writeAttempt(conn, req, ref.index)
	}
}

// acquireConn finds the idle link used last or dials a new one. A strict errand takes none on which the last answer did not say whose it was
// until a second of its kind would have come: that could be taken for this errand's.
func (p *Proxy) acquireConn(endpoint *knownEndpoint, purpose connPurpose, strict bool) (*upstreamConn, error) {
	for i := len(endpoint.idleConns) - 1; i >= 0; i-- {
		conn := p.conns.Get(endpoint.idleConns[i])
		if strict && conn.unattributedAt != 0 && p.now().Since(conn.unattributedAt) < duplicateResponseWindow {
			continue
		}
		if quiet, sure := conn.wire.Idle(); !quiet {
			if sure { // more has come than belongs to the last answer, or its end: that is not the next one's
				p.counters.ProtocolErrors++
				p.dropConn(conn)
			}
			continue
		}
		endpoint.idleConns = slices.Delete(endpoint.idleConns, i, i+1)
		p.idleConns.remove(conn)
		conn.purpose = purpose
		p.counters.Reused++
		return conn, nil
	}
	conn := &upstreamConn{endpoint: endpoint, purpose: purpose}
	if err := p.openConn(conn, endpoint.addr); err != nil {
		return nil, err
	}
	p.counters.Dials++
	return conn, nil
}

// openConn dials for a new link.
func (p *Proxy) openConn(conn *upstreamConn, addr string) error {
	conn.lastUsedAt = p.now()
	conn.deadline = conn.lastUsedAt.Add(p.connectTimeout())
	conn.id = p.conns.Add(conn)
	if err := p.dial(addr, conn.id, conn.endpoint == nil); err != nil {
		p.conns.Remove(conn.id)
		return err
	}
	p.timers.Push(conn.deadline, timerEvent{conn: conn.id})
	return nil
}

// clientLeftUnnoticed tells whether the client of a request has gone, which the loop has not come to yet: its end stands behind others'
// bytes, or its own, and it may have waited long before anything of it was taken. Guards against legs for nobody.
func (p *Proxy) clientLeftUnnoticed(req *inflightRequest) bool {
	client := p.clients.Get(req.client)
	if req.answered || client == nil || !client.wire.PeerClosed() {
		return false
	}
	p.deferred = append(p.deferred, func() { // before the module hears of the leg, or it would decide on another
		if p.clients.Get(client.id) == client {
			p.closeClient(client)
		}
	})
	return true
}

// writeAttempt hands a leg to the kernel. Only if that fails is it sure that its last byte never was.
func (p *Proxy) writeAttempt(conn *upstreamConn, req *inflightRequest, index int) {
	timeoutMs := max(1, int64(req.attempts[index].deadline.Since(p.now())/time.Millisecond))
	req.anyWritten = true
	if conn.wire.Write(conn.endpoint.codec.encodeRequest(&req.parsed, conn.endpoint.addr, timeoutMs)) != nil {
		p.failConn(conn, policy.ConnectFailed)
	} else if leg := &req.attempts[index]; conn.wire.Unsent() == 0 {
		p.attemptsSent++
	} else {
		leg.partlyWritten = true
	}
}

// Cancel calls a leg off by closing its connection, which carries no other. One that is still coming up is kept.
func (p *Proxy) Cancel(id policy.RequestID, index int) {
	req := p.inflight.Get(inflightIDOf(id))
	if req == nil || index < 0 || index >= len(req.attempts) || !req.attempts[index].inFlight {
		return
	}
	p.abandonAttempt(req, index, policy.Cancelled)
}

// isPartlyWritten tells whether the kernel has not taken all of a leg yet. Such a leg has not been sent, and so may be stopped whatever the
// settings say of calling off. Guards against one that goes out whole long after nobody waits for it any more.
func (p *Proxy) isPartlyWritten(req *inflightRequest, index int) bool {
	conn := p.conns.Get(req.attempts[index].conn)
	return req.attempts[index].inFlight && conn != nil && conn.wire != nil && conn.wire.Unsent() > 0
}

func (p *Proxy) onAttemptDeadline(ref attemptRef) {
	if req := p.inflight.Get(ref.request); req != nil && req.attempts[ref.index].inFlight {
		p.abandonAttempt(req, ref.index, policy.TimedOut)
	}
}

// abandonAttempt ends a leg. If its last byte never went to the kernel, it never ran.
func (p *Proxy) abandonAttempt(req *inflightRequest, index int, result policy.Result) {
	conn := p.conns.Get(req.attempts[index].conn)
	if conn != nil && (conn.wire == nil || p.dropConn(conn) > 0) {
		if conn.purpose = purposeIdle; result == policy.TimedOut {
			result = policy.ConnectFailed
		} else {
			result = policy.NotSent
		}
	}
	p.endAttempt(req, index, result, nil)
}

// end closes a leg with its one outcome; the host hears of it once it has carried out what it is at.
func (p *Proxy) endAttempt(req *inflightRequest, index int, result policy.Result, report []float64) {
	l := &req.attempts[index]
	l.inFlight = false
	if l.partlyWritten && result != policy.ConnectFailed && result != policy.NotSent {
		p.attemptsSent++
	}
	req.lastAttemptTimedOut = result == policy.TimedOut
	p.counters.Outcomes[result]++
	o := policy.Outcome{Attempt: index, Latency: p.now().Since(l.sentAt), LoadReport: report}
	p.deferred = append(p.deferred, func() {
		p.dispatcher.AttemptDone(p.now(), policyRequestID(req.id), result, req.answered, o)
		p.releaseIfDone(req)
	})
}

// releaseIfDone forgets a request that is answered and has nothing out.
func (p *Proxy) releaseIfDone(req *inflightRequest) {
	for _, l := range req.attempts {
		if l.inFlight {
			return
		}
	}
	if req.answered && p.inflight.Get(req.id) != nil {
		p.inflight.Remove(req.id)
		delete(p.inflightIDs, string(req.parsed.id))
		p.bufferedBytes -= req.size
	}
}

// onDialResult tells of a connection that is up, or never will be.
func (p *Proxy) onDialResult(ev *sockets.Event) {
	conn := p.conns.Get(upstreamConnID(ev.DialID))
	switch {
	case ev.Kind == sockets.Refused:
		switch {
		case conn == nil:
		case ev.Local && conn.purpose == purposeAttempt: // the cache is not to blame
			p.failConn(conn, policy.NotSent)
		default:
			p.onConnectRefused(conn)
			p.failConn(conn, policy.ConnectFailed)
		}
	case conn == nil:
		ev.Conn.Close()
	default:
		conn.wire, conn.deadline, conn.lastUsedAt = ev.Conn, 0, p.now()
		p.startPurpose(conn)
	}
}

// refused looks at a new link that a server did not take. If others to it are up, it lives and is full: idle links are given back
// sooner then, to all. Guards against nodes that keep a connection for a leg in some seconds while others dial in vain.
func (p *Proxy) onConnectRefused(conn *upstreamConn) {
	if conn.proven || conn.endpoint == nil || p.endpoints[conn.endpoint.id] != conn.endpoint { // an old link ends for many reasons
		return
	}
	up := false
	p.conns.Each(func(_ upstreamConnID, other *upstreamConn) {
		up = up || other != conn && other.endpoint == conn.endpoint && other.proven
	})
	if !up {
		return
	}
	if p.counters.ServerFull++; !p.idleTimeouts.OnServerFull(p.now()) {
		return
	}
	p.conns.Each(func(id upstreamConnID, other *upstreamConn) {
		if other.endpoint != nil && other.purpose == purposeIdle && other.wire != nil {
			other.idleCheckAt = other.lastUsedAt.Add(p.idleTimeout())
			p.timers.Push(other.idleCheckAt, timerEvent{conn: id})
		}
	})
}

// begin does what a link was dialled for.
func (p *Proxy) startPurpose(conn *upstreamConn) {
	switch conn.purpose {
	case purposeAttempt:
		req := p.inflight.Get(conn.attempt.request)
		// nothing goes out after the final answer, though the leg could not be called off, nor to a cache that drains by now, nor
		// as a repeat when its window is over: what was lawful as the leg was decided may not be any more
		if req.answered || p.clientLeftUnnoticed(req) || !p.dispatcher.MayStart(p.now(), policyRequestID(req.id), conn.attempt.index) {
			ref := conn.attempt
			p.returnToPool(conn)
			p.endAttempt(req, ref.index, policy.NotSent, nil)
			return
		}
		p.writeAttempt(conn, req, conn.attempt.index)
	case purposeHealthCheck:
		p.writeHealthCheck(conn)
	case purposeEndpointList:
		p.writePoll(conn)
	case purposeIdle:
		p.returnToPool(conn)
	}
}

// returnToPool keeps a link for the next leg.
func (p *Proxy) returnToPool(conn *upstreamConn) {
	conn.proven = conn.proven || conn.purpose == purposeAttempt || conn.purpose == purposeHealthCheck
	conn.purpose, conn.lastUsedAt, conn.deadline = purposeIdle, p.now(), 0
	if p.endpoints[conn.endpoint.id] != conn.endpoint { // the list does not name it any more
		p.dropConn(conn)
		return
	}
	conn.endpoint.idleConns = append(conn.endpoint.idleConns, conn.id)
	p.idleConns.push(conn)
	if conn.idleCheckAt == 0 {
		conn.idleCheckAt = conn.lastUsedAt.Add(p.idleTimeout())
		p.timers.Push(conn.idleCheckAt, timerEvent{conn: conn.id})
	}
}

// onConnTimer looks after a link whose time has come: it may not have come up, a probe may have gone unanswered, or it
// may have been idle for long.
func (p *Proxy) onConnTimer(id upstreamConnID) {
	conn, now := p.conns.Get(id), p.now()
	if conn == nil {
		return
	}
	if conn.deadline != 0 && now >= conn.deadline {
		result := policy.ConnectFailed
		if conn.wire != nil {
			result = policy.TimedOut
		}
		p.failConn(conn, result)
		return
	}
	if conn.idleCheckAt == 0 || now < conn.idleCheckAt {
		return
	}
	if conn.purpose == purposeIdle && now.Since(conn.lastUsedAt) >= p.idleTimeout() {
		p.counters.IdleClosed++
		p.dropConn(conn)
		return
	}
	conn.idleCheckAt = conn.lastUsedAt.Add(p.idleTimeout())
	if conn.purpose != purposeIdle { // taken up just before its time: looked after at once, it would be until its leg ends
		conn.idleCheckAt = now.Add(p.idleTimeout())
	}
	p.timers.Push(conn.idleCheckAt, timerEvent{conn: conn.id})
}

// dropConn closes a link, and returns how much of what was written to it never went to the kernel.
func (p *Proxy) dropConn(conn *upstreamConn) (lost int64) {
	p.conns.Remove(conn.id)
	p.idleConns.remove(conn)
	p.incompleteResponseBytes -= conn.incompleteBytes
	conn.incompleteBytes = 0
	if conn.wire != nil {
		lost = conn.wire.Close()
	}
	if conn.endpoint == nil {
		return lost
	}
	for i, id := range conn.endpoint.idleConns {
		if id == conn.id {
			conn.endpoint.idleConns = append(conn.endpoint.idleConns[:i], conn.endpoint.idleConns[i+1:]...)
			break
		}
	}
	return lost
}

// failConn drops a link, and tells what that means for what it was used for.
func (p *Proxy) failConn(conn *upstreamConn, result policy.Result) {
	purpose := conn.purpose
	conn.purpose = purposeIdle
	p.dropConn(conn)
	switch purpose {
	case purposeAttempt:
		if req := p.inflight.Get(conn.attempt.request); req != nil && req.attempts[conn.attempt.index].inFlight {
			p.endAttempt(req, conn.attempt.index, result, nil)
		}
	case purposeHealthCheck:
		p.reportHealthCheck(conn.endpoint.id, result)
	case purposeEndpointList:
		p.onPollFailed()
	case purposeStream:
		p.failStream(conn.stream)
	}
}

func (p *Proxy) onUpstreamClosed(id upstreamConnID, unsent, orderly bool) {
	conn := p.conns.Get(id)
	if conn == nil {
		return
	}
	if conn.eof = orderly; orderly && len(conn.buf.Unread()) > 0 && conn.purpose != purposeStream { // an answer of the origin or of discovery may end with its connection
		p.readUpstream(conn)
	}
	switch {
	case p.conns.Get(id) == nil:
	case unsent:
		p.onConnectRefused(conn)
		p.failConn(conn, policy.ConnectFailed)
	case conn.purpose == purposeStream && conn.stream.remaining+conn.stream.trailerSize <= len(conn.buf.Unread()): // all is there; its reader is slow
		conn.closesAfterStream = true
	default:
		if !orderly && conn.purpose != purposeIdle && p.now().Since(conn.lastUsedAt) < p.connectTimeout() {
			p.onConnectRefused(conn) // it came up only to be reset: so a full table shows where the kernel accepts for it
		}
		p.failConn(conn, policy.ConnectionBroken)
	}
}

func (p *Proxy) onUpstreamData(id upstreamConnID, data []byte) {
	conn := p.conns.Get(id)
	if conn == nil {
		return
	}
	if conn.purpose == purposeStream {
		if data = p.forwardDirect(conn, data); p.conns.Get(id) == nil {
			return
		}
	}
	conn.buf.Append(data)
	if p.readUpstream(conn); p.conns.Get(id) == nil {
		return
	}
	unused := len(conn.buf.Unread())
	if conn.purpose == purposeStream { // bounded each, by what may wait for the loop
		unused = 0
	}
	p.incompleteResponseBytes += unused - conn.incompleteBytes
	if conn.incompleteBytes = unused; conn.incompleteBytes > minIncompleteBytes && conn.endpoint != nil && int64(p.incompleteResponseBytes) > p.Memory/incompleteResponseShare {
		p.counters.RejectedForRoom++
		p.failConn(conn, policy.ConnectionBroken) // for want of memory: the cache is not to blame
	}
}

func (p *Proxy) readUpstream(conn *upstreamConn) {
	switch {
	case conn.purpose == purposeEndpointList:
		p.readEndpointList(conn)
	case conn.purpose == purposeIdle: // nobody asked
		p.counters.ProtocolErrors++
		p.dropConn(conn)
	case conn.purpose == purposeHealthCheck:
		p.readHealthCheck(conn)
	case conn.purpose == purposeStream:
		p.forwardStream(conn)
	default:
		p.readAttemptResponse(conn, p.inflight.Get(conn.attempt.request)) // it is in hand as long as a leg of it is out
	}
}

// readAttemptResponse reads a server's answer to a leg.
func (p *Proxy) readAttemptResponse(conn *upstreamConn, req *inflightRequest) {
	response, size, wants := &p.response, 0, 0
	req.parsed.attemptSentAt = p.startedAt.Add(req.attempts[conn.attempt.index].sentAt.Since(clockEpoch))
	*response, size, wants = conn.endpoint.codec.readResponse(conn.buf.Unread(), &req.parsed, conn.eof, &conn.progress)
	if size == 0 && response.result != unreadableResponse {
		if p.startStream(conn, req, response, wants) {
			return
		}
		conn.buf.Reserve(wants)
		return
	}
	p.onAttemptResponse(conn, req, response, size)
	if response.closesConn && p.conns.Get(conn.id) != nil {
		p.dropConn(conn)
	}
}

// onAttemptResponse ends a leg by what came back. What can't be read or answers another request is served to nobody: the
// leg has failed and may have run, though the cache lives; whatever else comes on its connection can't be trusted.
func (p *Proxy) onAttemptResponse(conn *upstreamConn, req *inflightRequest, response *upstreamResponse, size int) {
	if response.result == unreadableResponse {
		p.counters.ProtocolErrors++
		p.failConn(conn, policy.Errored)
		return
	}
	var head, value []byte
	serves := response.result == policy.Answered && !req.answered
	switch { // before its bytes are passed over
	case serves && req.parsed.write:
		head = req.codec.writeReceipt(&req.parsed, response)
	case serves:
		head, value = req.codec.value(&req.parsed, response)
	}
	report := p.parseLoadReport(response.loadReport)
	conn.consumeResponse(size)
	if conn.unattributedAt = 0; !response.identified {
		conn.unattributedAt = p.now()
	}
	index := conn.attempt.index
	if len(conn.buf.Unread()) > 0 {
		p.counters.ProtocolErrors++
		p.dropConn(conn)
	} else {
		p.returnToPool(conn)
	}
	if serves {
		p.counters.Satisfied++
		p.byClass[req.class].Satisfied++
		p.completeRequest(req, head, value)
	}
	p.endAttempt(req, index, response.result, report)
}

// parseLoadReport reads a load report: names and values, of which only the stated columns count.
func (p *Proxy) parseLoadReport(report []byte) []float64 {
	if len(report) == 0 {
		return nil
	}
	return p.Settings.Names.LoadReport(func(column string) (float64, bool) {
		value, _ := meta.Item(report, column)
		x, err := strconv.ParseFloat(string(value), 64)
		return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
	})
}

// CheckHealth checks on a cache.
func (p *Proxy) CheckHealth(id policy.EndpointID) {
	endpoint := p.endpoints[id]
	if endpoint == nil {
		return
	}
	p.counters.HealthChecks++
	conn, err := p.acquireConn(endpoint, purposeHealthCheck, false)
	if err != nil {
		p.reportHealthCheck(id, policy.ConnectFailed)
		return
	}
	if conn.wire != nil {
		p.writeHealthCheck(conn)
	}
}

func (p *Proxy) writeHealthCheck(conn *upstreamConn) {
	conn.deadline = p.now().Add(p.connectTimeout())
	p.timers.Push(conn.deadline, timerEvent{conn: conn.id})
	if conn.wire.Write(conn.endpoint.codec.healthCheck(conn.endpoint.addr)) != nil {
		p.failConn(conn, policy.ConnectFailed)
	}
}

func (p *Proxy) readHealthCheck(conn *upstreamConn) {
	result := policy.Errored
	up, size, err := conn.endpoint.codec.readHealthCheck(conn.buf.Unread(), conn.eof)
	if up {
		result = policy.Answered
	}
	switch {
	case err != nil:
		p.failConn(conn, policy.ConnectionBroken)
	case size > 0:
		conn.consumeResponse(size)
		p.returnToPool(conn)
		p.reportHealthCheck(conn.endpoint.id, result)
	}
}

func (p *Proxy) reportHealthCheck(id policy.EndpointID, found policy.Result) {
	p.deferred = append(p.deferred, func() { p.dispatcher.OnHealthCheck(p.now(), id, found) })
}
