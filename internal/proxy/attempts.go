package proxy

import (
	"math"
	"strconv"
	"time"

	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// attempt is one attempt to serve a request at an endpoint. The attempts of a request are numbered from 0.
type attempt struct {
	inFlight      bool
	conn          upstreamConnID
	sentAt        policy.Instant // when the dispatcher requested it
	deadline      policy.Instant
	executeBy     policy.Instant // the endpoint is told not to begin later
	partlyWritten bool           // the kernel accepted only part of it when it was written
}

// attemptRef identifies an attempt.
type attemptRef struct {
	request inflightID
	index   int
}

// unreadableResponse is the result of an attempt whose response cannot be used, because it cannot be parsed or answers
// another request. It is internal to this package, and reported as a result that package policy knows.
const unreadableResponse policy.Result = -1

// Send starts an attempt on the most recently used idle connection to the endpoint, or on a new one. It implements
// dispatch.Actions.
func (p *Proxy) Send(id policy.RequestID, to policy.EndpointID, deadline, executeBy policy.Instant) {
	req := p.inflight.requests.Get(inflightIDOf(id))
	if req == nil {
		return
	}
	ref := attemptRef{request: req.id, index: len(req.attempts)}
	req.attempts = append(req.attempts, attempt{
		inFlight:  true,
		sentAt:    p.now(),
		deadline:  deadline,
		executeBy: executeBy,
	})
	p.metrics.counters.Attempts++
	endpoint := p.endpoints.byID[to]
	if endpoint == nil {
		p.endAttempt(req, ref.index, policy.ConnectFailed, nil)
		return
	}
	if p.clientDisconnected(req) {
		p.endAttempt(req, ref.index, policy.NotSent, nil)
		return
	}
	strict := !req.parsed.idempotent || !endpoint.codec.canAttributeResponses()
	conn, err := p.acquireConn(endpoint, purposeAttempt, strict)
	if err != nil {
		p.endAttempt(req, ref.index, policy.NotSent, nil) // out of descriptors, which is not the endpoint's fault
		return
	}
	conn.attempt = ref
	req.attempts[ref.index].conn = conn.id
	p.schedule(deadline, timerEvent{kind: timerAttemptDeadline, attempt: ref})
	if conn.socket != nil {
		p.writeAttempt(conn, req, ref.index)
	}
}

// startAttempt writes an attempt whose connection has been established, if the attempt is still allowed. While it
// waited for the connection, the request may have been answered (if the attempt could not be cancelled), the endpoint
// may have started to drain, or the deduplication window of a retry may have passed. Sent then, the attempt could
// execute a request twice, or for a client that has gone.
func (p *Proxy) startAttempt(conn *upstreamConn) {
	ref := conn.attempt
	req := p.inflight.requests.Get(ref.request)
	mayStart := !req.answered && !p.clientDisconnected(req) &&
		p.dispatcher.MayStart(p.now(), policyRequestID(req.id), ref.index)
	if !mayStart {
		p.returnToPool(conn)
		p.endAttempt(req, ref.index, policy.NotSent, nil)
		return
	}
	p.writeAttempt(conn, req, ref.index)
}

// clientDisconnected reports whether the client of a request has closed its connection although the event loop has not
// handled that event yet, because it is queued behind others and the request may have waited long. It prevents attempts
// whose answer nobody would receive. The connection is closed in a deferred call.
func (p *Proxy) clientDisconnected(req *inflightRequest) bool {
	client := p.downstream.conns.Get(req.client)
	if req.answered || client == nil || !client.socket.PeerClosed() {
		return false
	}
	p.deferCall(func() { // runs before the dispatcher gets the attempt's result and could start another attempt
		if p.downstream.conns.Get(client.id) == client {
			p.closeClient(client)
		}
	})
	return true
}

// writeAttempt writes an attempt to its connection. A write error proves that its last byte never reached the kernel,
// so the attempt then ends as ConnectFailed: it was not executed.
func (p *Proxy) writeAttempt(conn *upstreamConn, req *inflightRequest, index int) {
	attempt := &req.attempts[index]
	timeoutMs := max(1, int64(attempt.executeBy.Since(p.now())/time.Millisecond))
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

// Cancel cancels an attempt by closing its connection, which carries no other attempt. A connection that is still being
// established is kept. It implements dispatch.Actions.
func (p *Proxy) Cancel(id policy.RequestID, index int) {
	req := p.inflight.requests.Get(inflightIDOf(id))
	if req == nil || index < 0 || index >= len(req.attempts) || !req.attempts[index].inFlight {
		return
	}
	p.abandonAttempt(req, index, policy.Cancelled)
}

// isPartlyWritten reports whether the kernel has not accepted all bytes of an attempt yet. Such an attempt has not been
// sent, so it may be stopped even if the settings do not allow cancelling. Otherwise the rest of it would be sent long
// after the client has gone.
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

// abandonAttempt ends an attempt that has had no response. If the kernel never accepted its last byte, the endpoint
// cannot have executed it, and the result says so. Such an attempt ends as ConnectFailed at its deadline, and otherwise
// as NotSent. A connection that is not established yet is kept.
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

// endAttempt ends an attempt with its only result. The dispatcher gets the result in a deferred call.
func (p *Proxy) endAttempt(req *inflightRequest, index int, result policy.Result, report []float64) {
	attempt := &req.attempts[index]
	attempt.inFlight = false
	req.mayHaveRun = req.mayHaveRun || !result.NotExecuted()
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

// readAttemptResponse parses what has been received of an endpoint's response to an attempt.
func (p *Proxy) readAttemptResponse(conn *upstreamConn, req *inflightRequest) {
	response := &p.upstream.response
	input := &conn.input
	codec := conn.endpoint.codec
	req.parsed.attemptSentAt = p.clock.timeOf(req.attempts[conn.attempt.index].sentAt)
	var size, totalSize int
	*response, size, totalSize = codec.readResponse(input.buf.Unread(), &req.parsed, input.eof, &input.progress)
	if size == 0 && response.result != unreadableResponse {
		if !p.startStream(conn, req, response, totalSize) {
			input.buf.Reserve(totalSize)
		}
		return
	}
	p.onAttemptResponse(conn, req, response, size)
	if response.closesConn && p.upstream.conns.Get(conn.id) != nil {
		p.dropConn(conn)
	}
}

// onAttemptResponse ends an attempt with its response. A response that cannot be parsed, or that answers another
// request, is served to no client: the attempt has failed but may have been executed, the endpoint is alive, and
// nothing else received on its connection can be trusted.
func (p *Proxy) onAttemptResponse(conn *upstreamConn, req *inflightRequest, response *upstreamResponse, size int) {
	if response.result == unreadableResponse {
		p.metrics.counters.ProtocolErrors++
		p.failConn(conn, policy.Errored)
		return
	}
	var head, value []byte
	isAnswer := response.result == policy.Answered && !req.answered
	switch { // runs before the response's bytes are consumed
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
		conn.hasServed = true
		p.returnToPool(conn)
	}
	if isAnswer {
		p.answerRequest(req, head, value)
	}
	p.endAttempt(req, index, response.result, report)
}

// answerRequest gives a request the answer of an endpoint. If the memory for answers is used up, it gives it a short
// answer instead: that the request may be retried or, if repeating it could do harm, that it has failed.
func (p *Proxy) answerRequest(req *inflightRequest, response, value []byte) {
	switch {
	case !p.exceedsAnswerMemory(req, response, value):
		p.metrics.countSatisfied(req.class)
		p.completeRequest(req, response, value)
		return
	case req.parsed.idempotent:
		p.Reject(policyRequestID(req.id), 0)
	default:
		p.Fail(policyRequestID(req.id))
	}
	p.metrics.counters.NotAccepted++
}

// parseLoadReport parses a load report, a list of names and values. Only the columns in the settings are used.
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
