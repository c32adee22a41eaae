package proxy

import (
	"math"
	"strconv"
	"time"

	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// attempt is one try of a request at an endpoint. The first is 0.
type attempt struct {
	inFlight      bool
	conn          upstreamConnID
	sentAt        policy.Instant // when the dispatcher decided on it
	deadline      policy.Instant
	partlyWritten bool // it was written, but the kernel had not taken all of it then
}

// attemptRef names an attempt.
type attemptRef struct {
	request inflightID
	index   int
}

// unreadableResponse is the result of an attempt whose response can't be read, until it is reported as one that package
// policy knows.
const unreadableResponse policy.Result = -1

// Send starts an attempt on the connection used last, or on a new one. It implements dispatch.Actions.
func (p *Proxy) Send(id policy.RequestID, to policy.EndpointID, deadline policy.Instant) {
	req := p.inflight.requests.Get(inflightIDOf(id))
	if req == nil {
		return
	}
	ref := attemptRef{request: req.id, index: len(req.attempts)}
	req.attempts = append(req.attempts, attempt{inFlight: true, sentAt: p.now(), deadline: deadline})
	p.metrics.counters.Attempts++
	endpoint := p.endpoints.byID[to]
	if endpoint == nil {
		p.endAttempt(req, ref.index, policy.ConnectFailed, nil)
		return
	}
	if p.clientLeftUnnoticed(req) {
		p.endAttempt(req, ref.index, policy.NotSent, nil)
		return
	}
	strict := !req.parsed.idempotent || !endpoint.codec.identifiesRequest()
	conn, err := p.acquireConn(endpoint, purposeAttempt, strict)
	if err != nil {
		p.endAttempt(req, ref.index, policy.NotSent, nil) // for lack of a descriptor: the endpoint is not to blame
		return
	}
	conn.attempt = ref
	req.attempts[ref.index].conn = conn.id
	p.schedule(deadline, timerEvent{kind: timerAttemptDeadline, attempt: ref})
	if conn.socket != nil {
		p.writeAttempt(conn, req, ref.index)
	}
}

// startAttempt writes an attempt whose connection has come up. Guards against one that was allowed when it was decided
// on and is not any more: after the final answer although it could not be cancelled, to an endpoint that drains by now,
// or as a retry after the deduplication window. Each could carry a request out twice, or for nobody.
func (p *Proxy) startAttempt(conn *upstreamConn) {
	ref := conn.attempt
	req := p.inflight.requests.Get(ref.request)
	mayStart := !req.answered && !p.clientLeftUnnoticed(req) &&
		p.dispatcher.MayStart(p.now(), policyRequestID(req.id), ref.index)
	if !mayStart {
		p.returnToPool(conn)
		p.endAttempt(req, ref.index, policy.NotSent, nil)
		return
	}
	p.writeAttempt(conn, req, ref.index)
}

// clientLeftUnnoticed reports whether the client of a request has closed its connection and the loop has not come to
// that event yet: it stands behind others, and the request may have waited long. Guards against attempts for nobody.
func (p *Proxy) clientLeftUnnoticed(req *inflightRequest) bool {
	client := p.downstream.conns.Get(req.client)
	if req.answered || client == nil || !client.socket.PeerClosed() {
		return false
	}
	p.deferCall(func() { // before the dispatcher gets the attempt's result, on which it would decide on another one
		if p.downstream.conns.Get(client.id) == client {
			p.closeClient(client)
		}
	})
	return true
}

// writeAttempt hands an attempt to the kernel. Only if that fails is it sure that its last byte never was.
func (p *Proxy) writeAttempt(conn *upstreamConn, req *inflightRequest, index int) {
	attempt := &req.attempts[index]
	timeoutMs := max(1, int64(attempt.deadline.Since(p.now())/time.Millisecond))
	req.anyWritten = true
	message := conn.endpoint.codec.encodeRequest(&req.parsed, conn.endpoint.addr, timeoutMs)
	if conn.socket.Write(message) != nil {
		p.failConn(conn, policy.ConnectFailed)
		return
	}
	if conn.socket.Unsent() > 0 {
		attempt.partlyWritten = true
		return
	}
	p.metrics.attemptsSent++
}

// Cancel cancels an attempt by closing its connection, which carries no other; one that is still coming up is kept. It
// implements dispatch.Actions.
func (p *Proxy) Cancel(id policy.RequestID, index int) {
	req := p.inflight.requests.Get(inflightIDOf(id))
	if req == nil || index < 0 || index >= len(req.attempts) || !req.attempts[index].inFlight {
		return
	}
	p.abandonAttempt(req, index, policy.Cancelled)
}

// isPartlyWritten reports whether the kernel has not taken all of an attempt yet. Such an attempt has not been sent,
// and so may be stopped whatever the settings say of cancelling. Guards against one that is sent completely long
// after nobody waits for it any more.
func (p *Proxy) isPartlyWritten(req *inflightRequest, index int) bool {
	conn := p.upstream.conns.Get(req.attempts[index].conn)
	return req.attempts[index].inFlight && conn != nil && conn.socket != nil && conn.socket.Unsent() > 0
}

func (p *Proxy) onAttemptDeadline(ref attemptRef) {
	req := p.inflight.requests.Get(ref.request)
	if req != nil && req.attempts[ref.index].inFlight {
		p.abandonAttempt(req, ref.index, policy.TimedOut)
	}
}

// abandonAttempt ends an attempt that has had no response. If the kernel never took its last byte, it was never carried
// out, and the result says so.
func (p *Proxy) abandonAttempt(req *inflightRequest, index int, result policy.Result) {
	conn := p.upstream.conns.Get(req.attempts[index].conn)
	if conn != nil && (conn.socket == nil || p.dropConn(conn) > 0) {
		conn.purpose = purposeIdle
		if result == policy.TimedOut {
			result = policy.ConnectFailed
		} else {
			result = policy.NotSent
		}
	}
	p.endAttempt(req, index, result, nil)
}

// endAttempt ends an attempt with its one result, which the dispatcher gets as soon as it has returned.
func (p *Proxy) endAttempt(req *inflightRequest, index int, result policy.Result, report []float64) {
	attempt := &req.attempts[index]
	attempt.inFlight = false
	if attempt.partlyWritten && result != policy.ConnectFailed && result != policy.NotSent {
		p.metrics.attemptsSent++
	}
	req.lastAttemptTimedOut = result == policy.TimedOut
	p.metrics.counters.Outcomes[result]++
	outcome := policy.Outcome{Attempt: index, Latency: p.now().Since(attempt.sentAt), LoadReport: report}
	p.deferCall(func() {
		p.dispatcher.AttemptDone(p.now(), policyRequestID(req.id), result, req.answered, outcome)
		p.releaseIfDone(req)
	})
}

// readAttemptResponse reads an endpoint's response to an attempt, as far as it has come.
func (p *Proxy) readAttemptResponse(conn *upstreamConn, req *inflightRequest) {
	response := &p.upstream.response
	input := &conn.input
	codec := conn.endpoint.codec
	req.parsed.attemptSentAt = p.clock.timeOf(req.attempts[conn.attempt.index].sentAt)
	var size, wants int
	*response, size, wants = codec.readResponse(input.buf.Unread(), &req.parsed, input.eof, &input.progress)
	if size == 0 && response.result != unreadableResponse {
		if !p.startStream(conn, req, response, wants) {
			input.buf.Reserve(wants)
		}
		return
	}
	p.onAttemptResponse(conn, req, response, size)
	if response.closesConn && p.upstream.conns.Get(conn.id) != nil {
		p.dropConn(conn)
	}
}

// onAttemptResponse ends an attempt by its response. One that can't be read or answers another request is served to
// nobody: the attempt has failed and may have been carried out, though the endpoint lives, and nothing else that comes
// on its connection can be trusted.
func (p *Proxy) onAttemptResponse(conn *upstreamConn, req *inflightRequest, response *upstreamResponse, size int) {
	if response.result == unreadableResponse {
		p.metrics.counters.ProtocolErrors++
		p.failConn(conn, policy.Errored)
		return
	}
	var head, value []byte
	isAnswer := response.result == policy.Answered && !req.answered
	switch { // before the response's bytes are passed over
	case isAnswer && req.parsed.write:
		head = req.codec.writeReceipt(&req.parsed, response)
	case isAnswer:
		head, value = req.codec.value(&req.parsed, response)
	}
	report := p.parseLoadReport(response.loadReport)
	conn.input.consume(size)
	conn.unattributedAt = 0
	if !response.identified {
		conn.unattributedAt = p.now()
	}
	index := conn.attempt.index
	if len(conn.input.buf.Unread()) > 0 {
		p.metrics.counters.ProtocolErrors++
		p.dropConn(conn)
	} else {
		p.returnToPool(conn)
	}
	if isAnswer {
		p.metrics.countSatisfied(req.class)
		p.completeRequest(req, head, value)
	}
	p.endAttempt(req, index, response.result, report)
}

// parseLoadReport reads a load report: names and values, of which only the settings' columns count.
func (p *Proxy) parseLoadReport(report []byte) []float64 {
	if len(report) == 0 {
		return nil
	}
	return p.config.Settings.Names.LoadReport(func(column string) (float64, bool) {
		value, _ := meta.Item(report, column)
		x, err := strconv.ParseFloat(string(value), 64)
		return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
	})
}
