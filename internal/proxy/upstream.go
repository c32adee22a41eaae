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
	// defaultConnectTimeout is how long a connection may take to come up where the settings state no time.
	defaultConnectTimeout = 250 * time.Millisecond
	// duplicateResponseWindow is the time in which a second response would have followed a first: paths within a site
	// and their jitter.
	duplicateResponseWindow = 10 * time.Millisecond
	// incompleteResponseShare is the part of the memory, one of so many, that responses may take which have not come
	// complete.
	incompleteResponseShare = 4
	// minIncompleteBytes of one such response are never too many: on all connections together they stay under that
	// part.
	minIncompleteBytes = 4 << 10
)

type upstreamConnID uint64

// upstream is the table of connections to endpoints and discovery, with the pool of the idle ones. The loop writes it.
type upstream struct {
	conns           slotmap.Table[upstreamConnID, upstreamConn]
	idle            idleConnList
	idleTimeout     idletimeout.Timeout // how long an idle connection is kept
	response        upstreamResponse    // the response read last; kept to be reused
	incompleteBytes int                 // of responses that have not come complete, over all connections
}

// connPurpose is what a connection is used for at a time.
type connPurpose int

const (
	purposeIdle connPurpose = iota
	purposeAttempt
	purposeHealthCheck
	purposeEndpointList
	purposeStream // the rest of a long value
)

// upstreamConn is a connection from this node to an endpoint or to discovery. It serves one purpose at a time.
type upstreamConn struct {
	id       upstreamConnID
	socket   *sockets.Conn  // nil until it is up
	endpoint *knownEndpoint // nil for discovery
	purpose  connPurpose
	attempt  attemptRef      // of purposeAttempt
	stream   *responseStream // of purposeStream, else nil
	input    upstreamInput
	proven   bool // something was answered on it
	// closesAfterStream is whether the connection ends with the value that it streams.
	closesAfterStream bool
	lastUsedAt        policy.Instant
	deadline          policy.Instant // of the connect or the health check; 0 for none
	idleCheckAt       policy.Instant // when the timer for its idle timeout fires; 0 for not set
	unattributedAt    policy.Instant // when a response came that does not say whose it is; 0 if the last one did
	idleConnEntry
}

// upstreamInput is what has come on an upstream connection and is not read yet.
type upstreamInput struct {
	buf             buffer.Buffer
	progress        http1.Progress // in reading the response that comes in
	eof             bool           // the other side has ended the connection in order: nothing more will come
	incompleteBytes int            // of a response that has not come complete, as counted in upstream
}

// consume passes over a response that has been read; what follows belongs to the next one.
func (in *upstreamInput) consume(size int) {
	in.buf.Consume(size)
	in.progress = http1.Progress{}
}

func (p *Proxy) connectTimeout() time.Duration {
	if p.config.Settings.ConnectTimeout > 0 {
		return p.config.Settings.ConnectTimeout
	}
	return defaultConnectTimeout
}

func (p *Proxy) idleTimeout() time.Duration { return p.upstream.idleTimeout.Current(p.now()) }

// maxUpstreamConns is the number of upstream connections above which one is opened only in place of an idle one.
func (p *Proxy) maxUpstreamConns() int { return p.engine.MaxClients() / upstreamShare }

// acquireConn returns the idle connection to an endpoint that was used last, or dials a new one; that has no socket
// yet. With strict set, it returns none on which an unattributed response came within duplicateResponseWindow. Guards
// against an endpoint that answers twice: the second answer, which does not say whose it is, would be taken for the
// next request's.
func (p *Proxy) acquireConn(endpoint *knownEndpoint, purpose connPurpose, strict bool) (*upstreamConn, error) {
	for i := len(endpoint.idleConns) - 1; i >= 0; i-- {
		conn := p.upstream.conns.Get(endpoint.idleConns[i])
		if strict && conn.unattributedAt != 0 && p.now().Since(conn.unattributedAt) < duplicateResponseWindow {
			continue
		}
		idle, sure := conn.socket.Idle()
		if !idle && sure { // more than the last response has come, or the end: none of it is the next one's
			p.metrics.counters.ProtocolErrors++
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

// openConn dials for a new connection. The error is that of a lack of descriptors; all else is an event.
func (p *Proxy) openConn(conn *upstreamConn, addr string) error {
	conn.lastUsedAt = p.now()
	conn.deadline = conn.lastUsedAt.Add(p.connectTimeout())
	conn.id = p.upstream.conns.Add(conn)
	if err := p.dial(addr, conn.id, conn.endpoint == nil); err != nil {
		p.upstream.conns.Remove(conn.id)
		return err
	}
	p.schedule(conn.deadline, timerEvent{kind: timerUpstreamConn, conn: conn.id})
	return nil
}

// dial opens a connection, and closes an idle one for it if need be. Connections to endpoints never take the clients'
// share of the descriptors: a client that connects could not be accepted, and what it had sent would be lost. The
// endpoint list's connection is reserved: it may be opened at any time.
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

// onDialResult handles a connection that has come up, or failed to.
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
	conn.deadline = 0
	conn.lastUsedAt = p.now()
	p.startPurpose(conn)
}

// onDialFailed handles a connection that could not be opened; local tells that this machine is the reason, for which
// the endpoint is not to blame.
func (p *Proxy) onDialFailed(conn *upstreamConn, local bool) {
	if local && conn.purpose == purposeAttempt {
		p.failConn(conn, policy.NotSent)
		return
	}
	p.onConnectRefused(conn)
	p.failConn(conn, policy.ConnectFailed)
}

// onConnectRefused looks at a new connection that its endpoint did not take. If others to it are up, it lives and has
// no room for more: idle connections are closed sooner then, to all endpoints. Guards against nodes that keep
// connections for later while others' dials to the same endpoint are refused.
func (p *Proxy) onConnectRefused(conn *upstreamConn) {
	isListed := conn.endpoint != nil && p.endpoints.byID[conn.endpoint.id] == conn.endpoint
	if conn.proven || !isListed { // an old connection ends for many reasons
		return
	}
	isUp := false
	p.upstream.conns.Each(func(_ upstreamConnID, other *upstreamConn) {
		if other != conn && other.endpoint == conn.endpoint && other.proven {
			isUp = true
		}
	})
	if !isUp {
		return
	}
	p.metrics.counters.ServerFull++
	if changed := p.upstream.idleTimeout.OnServerFull(p.now()); !changed {
		return
	}
	p.upstream.conns.Each(func(_ upstreamConnID, other *upstreamConn) {
		if other.endpoint != nil && other.purpose == purposeIdle && other.socket != nil {
			p.scheduleIdleCheck(other, other.lastUsedAt)
		}
	})
}

// scheduleIdleCheck sets the timer that closes a connection if it has been idle since a time.
func (p *Proxy) scheduleIdleCheck(conn *upstreamConn, since policy.Instant) {
	conn.idleCheckAt = since.Add(p.idleTimeout())
	p.schedule(conn.idleCheckAt, timerEvent{kind: timerUpstreamConn, conn: conn.id})
}

// startPurpose does what a connection was dialled for, now that it is up.
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

// returnToPool keeps a connection for the next attempt.
func (p *Proxy) returnToPool(conn *upstreamConn) {
	if conn.purpose == purposeAttempt || conn.purpose == purposeHealthCheck {
		conn.proven = true
	}
	conn.purpose = purposeIdle
	conn.lastUsedAt = p.now()
	conn.deadline = 0
	if p.endpoints.byID[conn.endpoint.id] != conn.endpoint { // the list does not name it any more
		p.dropConn(conn)
		return
	}
	conn.endpoint.idleConns = append(conn.endpoint.idleConns, conn.id)
	p.upstream.idle.push(conn)
	if conn.idleCheckAt == 0 {
		p.scheduleIdleCheck(conn, conn.lastUsedAt)
	}
}

// onConnTimer handles a connection that has not come up in time, whose health check is unanswered, or that may have
// been idle for too long.
func (p *Proxy) onConnTimer(id upstreamConnID) {
	conn := p.upstream.conns.Get(id)
	if conn == nil {
		return
	}
	now := p.now()
	if conn.deadline != 0 && now >= conn.deadline {
		result := policy.ConnectFailed
		if conn.socket != nil {
			result = policy.TimedOut
		}
		p.failConn(conn, result)
		return
	}
	if conn.idleCheckAt == 0 || now < conn.idleCheckAt {
		return
	}
	if conn.purpose != purposeIdle {
		// Guards against a connection that was taken up just before its idle timeout: counted from its last use the
		// next check would be due at once, again and again until the attempt ends, and no event would be handled.
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

// dropConn closes a connection, and returns how many bytes that were written to it the kernel never took.
func (p *Proxy) dropConn(conn *upstreamConn) (unsent int64) {
	p.upstream.conns.Remove(conn.id)
	p.upstream.idle.remove(conn)
	p.upstream.incompleteBytes -= conn.input.incompleteBytes
	conn.input.incompleteBytes = 0
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

// failConn drops a connection, and ends what it was used for with a result.
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

// onUpstreamClosed handles the end of a connection; unsent tells that the kernel never took all that was written.
func (p *Proxy) onUpstreamClosed(id upstreamConnID, unsent, orderly bool) {
	conn := p.upstream.conns.Get(id)
	if conn == nil {
		return
	}
	conn.input.eof = orderly
	if orderly && len(conn.input.buf.Unread()) > 0 && conn.purpose != purposeStream {
		p.readUpstream(conn) // a response of the origin or of discovery may end with its connection
	}
	if p.upstream.conns.Get(id) == nil {
		return
	}
	if unsent {
		p.onConnectRefused(conn)
		p.failConn(conn, policy.ConnectFailed)
		return
	}
	if conn.purpose == purposeStream && conn.stream.isComplete(&conn.input) { // its reader is slow
		conn.closesAfterStream = true
		return
	}
	// One that came up only to be reset shows a full endpoint, too: the kernel had accepted for it.
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

// updateIncompleteResponse notes how much of a response has come that is not complete, and drops it if all such
// responses together take too much memory: its endpoint is not to blame.
func (p *Proxy) updateIncompleteResponse(conn *upstreamConn) {
	unread := len(conn.input.buf.Unread())
	if conn.purpose == purposeStream { // each is bounded by what may wait for the loop
		unread = 0
	}
	p.upstream.incompleteBytes += unread - conn.input.incompleteBytes
	conn.input.incompleteBytes = unread
	tooMuch := int64(p.upstream.incompleteBytes) > p.config.MemoryLimit/incompleteResponseShare
	if unread > minIncompleteBytes && conn.endpoint != nil && tooMuch {
		p.metrics.counters.NotAccepted++
		p.failConn(conn, policy.ConnectionBroken)
	}
}

// readUpstream reads what has come on a connection, by its purpose.
func (p *Proxy) readUpstream(conn *upstreamConn) {
	switch conn.purpose {
	case purposeEndpointList:
		p.readEndpointList(conn)
	case purposeIdle: // nothing was asked for
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
