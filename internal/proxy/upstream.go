package proxy

import (
	"slices"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/idletimeout"
	"dahliapin/internal/proxy/sockets"
	"dahliapin/internal/slotmap"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

const (
	// duplicateResponseWindow is the time within which a duplicate response would follow the first one: the network
	// delay within a site and its jitter.
	duplicateResponseWindow = 10 * time.Millisecond
	// incompleteResponseDivisor limits incomplete responses to the memory limit divided by it.
	incompleteResponseDivisor = 4
	// shortReadsDivisor makes reads short while streamed values that wait for their clients exceed the memory limit
	// divided by it.
	shortReadsDivisor = 16
	// minIncompleteBytes is the size up to which an incomplete response is not dropped: responses of that size on all
	// connections together stay below the limit.
	minIncompleteBytes = 4 << 10
)

type upstreamConnID uint64

// upstream holds the connections to endpoints and discovery, and the pool of the idle ones. Only the event loop writes
// it.
type upstream struct {
	conns           slotmap.Table[upstreamConnID, upstreamConn]
	idle            idleConnList
	idleTimeout     idletimeout.Timeout // how long an idle connection is kept
	response        upstreamResponse    // the last response read; its memory is reused
	incompleteBytes int                 // of incomplete responses, over all connections
	streamBytes     int                 // of streamed values that have been received and not forwarded, likewise
}

// connPurpose is what a connection is currently used for.
type connPurpose int

const (
	purposeIdle connPurpose = iota
	purposeAttempt
	purposeHealthCheck
	purposeEndpointList
	purposeStream // the rest of a long value
)

// upstreamConn is a connection to an endpoint or to discovery. It serves one purpose at a time.
type upstreamConn struct {
	id        upstreamConnID
	socket    *sockets.Conn  // nil until connected
	endpoint  *knownEndpoint // nil for discovery
	purpose   connPurpose
	attempt   attemptRef      // for purposeAttempt
	stream    *responseStream // for purposeStream, otherwise nil
	input     upstreamInput
	hasServed bool // its endpoint has sent a response on it
	// closesAfterStream is whether the connection closes after the value that it streams.
	closesAfterStream bool
	lastUsedAt        policy.Instant
	deadline          connDeadline   // of the connect or the health check
	idleCheckAt       policy.Instant // when the timer for its idle timeout fires; 0 if not set
	unattributedAt    policy.Instant // when a response without a request id was received; 0 if the last one had an id
	idleConnEntry
}

// upstreamInput is the data received on an upstream connection and not consumed yet.
type upstreamInput struct {
	buf             buffer.Buffer
	progress        http1.Progress // in parsing the current response
	eof             bool           // the other side has closed the connection in order: no more data follows
	incompleteBytes int            // of the current incomplete response, as counted in upstream
	streamBytes     int            // of the current streamed value, as counted in upstream
}

// consume removes a response that has been read. What follows belongs to the next one.
func (in *upstreamInput) consume(size int) {
	in.buf.Consume(size)
	in.progress = http1.Progress{}
}

func (p *Proxy) idleTimeout() time.Duration { return p.upstream.idleTimeout.Current(p.now()) }

// maxUpstreamConns returns the number of upstream connections above which a new one is opened only in place of an idle
// one.
func (p *Proxy) maxUpstreamConns() int { return p.engine.MaxClients() / upstreamDivisor }

// acquireConn returns the most recently used idle connection to an endpoint, or dials a new one, which has no socket
// yet. If strict is set, it skips connections on which a response without a request id was received within
// duplicateResponseWindow: if the endpoint sent that response twice, the second one would be taken for the response to
// the next request.
func (p *Proxy) acquireConn(endpoint *knownEndpoint, purpose connPurpose, strict bool) (*upstreamConn, error) {
	for i := len(endpoint.idleConns) - 1; i >= 0; i-- {
		conn := p.upstream.conns.Get(endpoint.idleConns[i])
		if strict && conn.unattributedAt != 0 && p.now().Since(conn.unattributedAt) < duplicateResponseWindow {
			continue
		}
		idle, sure := conn.socket.Idle()
		if !idle && sure {
			// It has unrequested data or has ended, and neither belongs to the next request. An end is no protocol
			// error: endpoints may close idle connections.
			if !conn.socket.PeerClosed() {
				p.metrics.counters.ProtocolErrors++
			}
			p.dropConn(conn)
		}
		if !idle {
			continue
		}
		endpoint.idleConns = slices.Delete(endpoint.idleConns, i, i+1)
		p.upstream.idle.remove(conn)
		conn.purpose = purpose
		p.metrics.counters.Reused++
		return conn, nil
	}
	conn := &upstreamConn{endpoint: endpoint, purpose: purpose}
	if err := p.openConn(conn, endpoint.addr); err != nil {
		return nil, err
	}
	p.metrics.counters.Dials++
	return conn, nil
}

// openConn dials a new connection. It returns an error only if there is no free descriptor; all other failures are
// reported as events.
func (p *Proxy) openConn(conn *upstreamConn, addr string) error {
	conn.lastUsedAt = p.now()
	conn.id = p.upstream.conns.Add(conn)
	if err := p.dial(addr, conn.id, conn.endpoint == nil); err != nil {
		p.upstream.conns.Remove(conn.id)
		return err
	}
	p.setConnDeadline(conn)
	p.limitReadAhead()
	return nil
}

// limitReadAhead divides the memory for data that has been read ahead among the connections to endpoints.
func (p *Proxy) limitReadAhead() {
	p.engine.SetReadAhead(p.config.MemoryLimit / readAheadDivisor / int64(1+p.upstream.conns.Len()))
}

// dial opens a connection, and closes an idle one for it if necessary. Connections to endpoints never use the clients'
// share of the descriptors: new clients could not be accepted then, and the requests that they had already sent would
// be lost. The endpoint list's connection is reserved: it may be opened at any time.
func (p *Proxy) dial(addr string, id upstreamConnID, reserved bool) error {
	if !reserved && p.upstream.conns.Len() > p.maxUpstreamConns() && !p.closeLongestIdleConn() {
		return sockets.ErrNoDescriptor
	}
	err := p.engine.Dial(addr, p.connectTimeout(), uint64(id))
	if err != nil && p.freeDescriptor() {
		err = p.engine.Dial(addr, p.connectTimeout(), uint64(id))
	}
	return err
}

// onDialResult handles a connection that has been established, or has failed to.
func (p *Proxy) onDialResult(ev *sockets.Event) {
	conn := p.upstream.conns.Get(upstreamConnID(ev.DialID))
	if ev.Kind == sockets.DialFailed {
		if conn != nil {
			p.onDialFailed(conn, ev.LocalFailure)
		}
		return
	}
	if conn == nil {
		ev.Conn.Close()
		return
	}
	conn.socket = ev.Conn
	conn.deadline = connDeadline{}
	conn.lastUsedAt = p.now()
	p.startPurpose(conn)
}

// onDialFailed handles a connection that could not be opened. If local is set, the reason lies with this machine and
// not with the endpoint: an attempt or a health check then ends as NotSent.
func (p *Proxy) onDialFailed(conn *upstreamConn, local bool) {
	if local {
		p.failConn(conn, policy.NotSent)
		return
	}
	p.onConnectRefused(conn)
	p.failConn(conn, policy.ConnectFailed)
}

// onConnectRefused handles a new connection that its endpoint did not accept. If other connections to it are up, the
// endpoint is alive but has reached its connection limit, and idle connections to all endpoints are closed sooner from
// now on. Otherwise nodes would keep idle connections while other nodes' dials to the same endpoint are refused.
func (p *Proxy) onConnectRefused(conn *upstreamConn) {
	isListed := conn.endpoint != nil && p.endpoints.byID[conn.endpoint.id] == conn.endpoint
	if conn.hasServed || !isListed { // an established connection may end for many reasons
		return
	}
	isUp := false
	p.upstream.conns.Each(func(_ upstreamConnID, other *upstreamConn) {
		if other != conn && other.endpoint == conn.endpoint && other.hasServed {
			isUp = true
		}
	})
	if !isUp {
		return
	}
	p.metrics.counters.ServerFull++
	if changed := p.upstream.idleTimeout.OnCacheFull(p.now()); !changed {
		return
	}
	p.upstream.conns.Each(func(_ upstreamConnID, other *upstreamConn) {
		if other.endpoint != nil && other.purpose == purposeIdle && other.socket != nil {
			p.scheduleIdleCheck(other, other.lastUsedAt)
		}
	})
}

// scheduleIdleCheck sets the timer that closes a connection if it has been idle since the given time.
func (p *Proxy) scheduleIdleCheck(conn *upstreamConn, since policy.Instant) {
	conn.idleCheckAt = since.Add(p.idleTimeout())
	p.schedule(conn.idleCheckAt, timerEvent{kind: timerUpstreamConn, conn: conn.id})
}

// startPurpose starts what a connection was dialed for, once it is established.
func (p *Proxy) startPurpose(conn *upstreamConn) {
	switch conn.purpose {
	case purposeAttempt:
		p.startAttempt(conn)
	case purposeHealthCheck:
		p.writeHealthCheck(conn)
	case purposeEndpointList:
		p.writePoll(conn)
	case purposeIdle:
		p.returnToPool(conn)
	}
}

// returnToPool keeps a connection for the next attempt, unless its endpoint is no longer listed.
func (p *Proxy) returnToPool(conn *upstreamConn) {
	conn.purpose = purposeIdle
	conn.lastUsedAt = p.now()
	conn.deadline = connDeadline{}
	if p.endpoints.byID[conn.endpoint.id] != conn.endpoint { // no longer listed
		p.dropConn(conn)
		return
	}
	conn.endpoint.idleConns = append(conn.endpoint.idleConns, conn.id)
	p.upstream.idle.push(conn)
	if conn.idleCheckAt == 0 {
		p.scheduleIdleCheck(conn, conn.lastUsedAt)
	}
}

// onConnTimer handles a connection that has not been established in time, whose health check is unanswered, or that may
// have been idle for too long.
func (p *Proxy) onConnTimer(id upstreamConnID) {
	conn := p.upstream.conns.Get(id)
	if conn == nil {
		return
	}
	now := p.now()
	if conn.deadline.hasPassed(now) {
		p.onConnDeadline(conn)
		return
	}
	if conn.idleCheckAt == 0 || now < conn.idleCheckAt {
		return
	}
	if conn.purpose != purposeIdle {
		// The connection is in use, and may have been taken from the pool just before its idle timeout. Its next check
		// is set from now: set from its last use, it would then be due at once, again and again until the attempt ends,
		// and no event would be handled.
		p.scheduleIdleCheck(conn, now)
		return
	}
	if now.Since(conn.lastUsedAt) >= p.idleTimeout() {
		p.metrics.counters.IdleClosed++
		p.dropConn(conn)
		return
	}
	p.scheduleIdleCheck(conn, conn.lastUsedAt)
}

// dropConn closes a connection, and returns how many bytes written to it the kernel never accepted.
func (p *Proxy) dropConn(conn *upstreamConn) (unsent int64) {
	p.upstream.conns.Remove(conn.id)
	p.upstream.idle.remove(conn)
	p.upstream.incompleteBytes -= conn.input.incompleteBytes
	conn.input.incompleteBytes = 0
	p.upstream.streamBytes -= conn.input.streamBytes
	conn.input.streamBytes = 0
	if conn.socket != nil {
		unsent = conn.socket.Close()
	}
	if conn.endpoint == nil {
		return unsent
	}
	if i := slices.Index(conn.endpoint.idleConns, conn.id); i >= 0 {
		conn.endpoint.idleConns = slices.Delete(conn.endpoint.idleConns, i, i+1)
	}
	return unsent
}

// failConn drops a connection, and ends its current use with a result.
func (p *Proxy) failConn(conn *upstreamConn, result policy.Result) {
	purpose := conn.purpose
	conn.purpose = purposeIdle
	p.dropConn(conn)
	switch purpose {
	case purposeAttempt:
		req := p.inflight.requests.Get(conn.attempt.request)
		if req != nil && req.attempts[conn.attempt.index].inFlight {
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

// onUpstreamClosed handles the end of a connection. unsent means that the kernel never accepted all bytes written to
// the connection, and orderly that the other side closed it and everything that it sent has been read.
func (p *Proxy) onUpstreamClosed(id upstreamConnID, unsent, orderly bool) {
	conn := p.upstream.conns.Get(id)
	if conn == nil {
		return
	}
	conn.input.eof = orderly
	if orderly && len(conn.input.buf.Unread()) > 0 && conn.purpose != purposeStream {
		p.readUpstream(conn) // the end of the connection may delimit a response of the origin or of discovery
	}
	if p.upstream.conns.Get(id) == nil {
		return
	}
	if unsent {
		p.onConnectRefused(conn)
		p.failConn(conn, policy.ConnectFailed)
		return
	}
	if conn.purpose == purposeStream && conn.stream.isComplete(&conn.input) { // the client is slow
		conn.closesAfterStream = true
		return
	}
	// A connection that is reset right after it was established also indicates a full endpoint: its kernel accepted the
	// connection, but its process did not.
	if !orderly && conn.purpose != purposeIdle && p.now().Since(conn.lastUsedAt) < p.connectTimeout() {
		p.onConnectRefused(conn)
	}
	p.failConn(conn, policy.ConnectionBroken)
}

func (p *Proxy) onUpstreamData(id upstreamConnID, data []byte) {
	conn := p.upstream.conns.Get(id)
	if conn == nil {
		return
	}
	if conn.purpose == purposeStream {
		data = p.forwardDirect(conn, data)
		if p.upstream.conns.Get(id) == nil {
			return
		}
	}
	conn.input.buf.Append(data)
	p.readUpstream(conn)
	if p.upstream.conns.Get(id) == nil {
		return
	}
	p.updateIncompleteResponse(conn)
}

// updateIncompleteResponse updates the count of incomplete response bytes. It drops the response if all incomplete ones
// together exceed their share of the memory limit, which is not the endpoint's fault.
func (p *Proxy) updateIncompleteResponse(conn *upstreamConn) {
	p.updateStreamBytes(conn)
	unread := len(conn.input.buf.Unread())
	if conn.purpose == purposeStream { // each is bounded by the data that may wait for the event loop
		unread = 0
	}
	p.upstream.incompleteBytes += unread - conn.input.incompleteBytes
	conn.input.incompleteBytes = unread
	tooMuch := int64(p.upstream.incompleteBytes) > p.config.MemoryLimit/incompleteResponseDivisor
	if unread > minIncompleteBytes && conn.endpoint != nil && tooMuch {
		p.metrics.counters.NotAccepted++
		p.failConn(conn, policy.ConnectionBroken)
	}
}

// updateStreamBytes updates the count of bytes of streamed values, and makes reads short while those exceed their share
// of the memory limit. Other responses are better read at once: short reads would make more of them incomplete.
func (p *Proxy) updateStreamBytes(conn *upstreamConn) {
	unread := 0
	if conn.purpose == purposeStream {
		unread = len(conn.input.buf.Unread())
	}
	p.upstream.streamBytes += unread - conn.input.streamBytes
	conn.input.streamBytes = unread
	p.engine.SetShortReads(int64(p.upstream.streamBytes) > p.config.MemoryLimit/shortReadsDivisor)
}

// readUpstream handles the data received on a connection according to its purpose.
func (p *Proxy) readUpstream(conn *upstreamConn) {
	switch conn.purpose {
	case purposeEndpointList:
		p.readEndpointList(conn)
	case purposeIdle: // unrequested data
		p.metrics.counters.ProtocolErrors++
		p.dropConn(conn)
	case purposeHealthCheck:
		p.readHealthCheck(conn)
	case purposeStream:
		p.forwardStream(conn)
	case purposeAttempt: // its request is in flight as long as the attempt is
		p.readAttemptResponse(conn, p.inflight.requests.Get(conn.attempt.request))
	}
}
