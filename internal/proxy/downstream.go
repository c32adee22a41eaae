package proxy

import (
	"cmp"
	"slices"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/proxy/sockets"
	"dahliapin/internal/slotmap"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

const (
	// commandTimeout is how long a command may take to come complete, and a new connection to send its first byte:
	// usually that takes milliseconds.
	commandTimeout = 5 * time.Second / 2
	// clientIdleTimeout is how long a client may keep a connection without a command in flight.
	clientIdleTimeout = 2 * time.Second
	// firstCommandGrace is how long a new connection may wait for its first command before it counts as idle.
	firstCommandGrace = 50 * time.Millisecond
	// sweepInterval is the time between two looks for slow and idle clients.
	sweepInterval = 100 * time.Millisecond
	// flushTimeout is how long a connection that closes may take until its client has read the last answer.
	flushTimeout = time.Second
	// flushCheckInterval is the time between two looks whether it has.
	flushCheckInterval = 20 * time.Millisecond
	// maxPipelined is the number of commands in flight on one connection from which on more are rejected.
	maxPipelined = 256
	// maxPendingResponses is the number of commands and of answers that wait for them on one connection, from which on
	// it is closed: else one slow request would let answers pile up behind it without bound.
	maxPendingResponses = 4 * maxPipelined
)

// Parts of the memory and of the descriptors that each use may take: one of so many.
const (
	// idleClientShare is the part of the descriptors that idle clients may keep: under half of what clients may hold.
	idleClientShare = 8
	// incompleteRequestShare is the part of the memory that commands may take which have not come complete.
	incompleteRequestShare = 4
	// readAheadShare is the part of the memory that what endpoints send may take before the loop reads it.
	readAheadShare = 8
	// spareDescriptorShare is the part of the descriptors kept for upstream connections that are not open yet.
	spareDescriptorShare = 8
	// upstreamShare is the part of the descriptors that upstream connections may have, and clients leave them: a
	// request needs one or two each.
	upstreamShare = 2
)

type clientConnID uint64

// downstream is the table of the clients' connections.
type downstream struct {
	conns           slotmap.Table[clientConnID, clientConn]
	codecs          []downstreamCodec // by listener
	parsed          parsedRequest     // the command read last; kept to be reused
	lastConnectedAt policy.Instant    // when a client last connected
	incompleteBytes int               // of commands that have not come complete, over all connections
}

// clientConn is a connection that a client has opened to this node.
type clientConn struct {
	id              clientConnID
	socket          *sockets.Conn
	codec           downstreamCodec
	buf             buffer.Buffer
	progress        http1.Progress // in reading the command that comes in
	pipeline        []pipelineSlot // one for each command not yet answered to the client, in their order
	firstSlot       uint64         // the number of the first of them; the connection's first command is 0
	lastUsedAt      policy.Instant
	continueSent    bool           // "100 Continue" went out for the command that comes in
	closing         bool           // nothing more is read; the connection closes once all is answered
	overLimit       bool           // it came when there were too many: its requests are rejected until there are fewer
	incompleteBytes int            // of a command that has not come complete
	incompleteSince policy.Instant // when that, or a connection with no command yet, began; 0 for neither
	// flushDeadline is when a connection that closes is closed although its client has not read all; 0 for not set.
	flushDeadline policy.Instant
}

// isIdle reports whether nothing is in flight on the connection, in either direction.
func (c *clientConn) isIdle() bool {
	return len(c.pipeline) == 0 && len(c.buf.Unread()) == 0 && c.socket.Unsent() == 0
}

func (p *Proxy) onClientConnected(ev *sockets.Event) {
	connectedAt := p.clock.instantOf(ev.At)
	client := &clientConn{
		socket:          ev.Conn,
		codec:           p.downstream.codecs[ev.Conn.Listener],
		lastUsedAt:      connectedAt,
		incompleteSince: connectedAt,
	}
	client.id = p.downstream.conns.Add(client)
	client.socket.Tag = uint64(client.id)
	p.metrics.counters.Clients++
	p.downstream.lastConnectedAt = connectedAt
	if p.tooManyClients() {
		client.overLimit = !p.closeLongestIdleClient()
	}
}

// tooManyClients reports whether clients hold descriptors that upstream connections need: half of them, or fewer while
// few upstream connections are open.
func (p *Proxy) tooManyClients() bool {
	limit := p.engine.MaxClients()
	leaveForUpstream := limit - p.maxUpstreamConns()
	leaveSpare := limit - limit/spareDescriptorShare - p.upstream.conns.Len()
	return p.downstream.conns.Len() > max(leaveForUpstream, leaveSpare)
}

// onClientData reads the commands in what a client has sent, and answers or accepts each.
func (p *Proxy) onClientData(id clientConnID, data []byte, at policy.Instant) {
	client := p.downstream.conns.Get(id)
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
		parsed := &p.downstream.parsed
		size := client.codec.readRequest(client.buf.Unread(), parsed, &client.progress)
		if size == 0 && !parsed.mustAnswerNow(client.continueSent) {
			break
		}
		client.continueSent = parsed.intent == intentContinue
		p.handleCommand(client, parsed, at)
		client.closing = client.closing || parsed.stopReading
		client.buf.Consume(size)
		if size > 0 {
			client.progress = http1.Progress{}
		}
		commandStart = at
		if len(client.pipeline) >= maxPendingResponses {
			p.respond(client, client.codec.refusal(refusedTooMany, false))
			client.closing = true
		}
	}
	p.updateIncomplete(client, commandStart)
	p.flushPipeline(client)
}

// handleCommand answers a command, or accepts it as a request.
func (p *Proxy) handleCommand(client *clientConn, parsed *parsedRequest, at policy.Instant) {
	switch parsed.intent {
	case intentContinue:
		p.respond(client, parsed.response)
	case intentUnserved:
		p.metrics.counters.Malformed++
		p.respond(client, parsed.response)
	case intentReadiness:
		p.respond(client, client.codec.readiness(&parsed.clientRequest, p.lifecycle.phase))
	case intentCounters:
		p.respond(client, client.codec.counters(&parsed.clientRequest, &p.metrics.counters))
	default:
		p.acceptRequest(client, &parsed.clientRequest, at)
	}
}

// updateIncomplete notes how much of a command has come that is not complete, and refuses it if all such commands
// together take too much memory.
func (p *Proxy) updateIncomplete(client *clientConn, commandStart policy.Instant) {
	unread := len(client.buf.Unread())
	p.downstream.incompleteBytes += unread - client.incompleteBytes
	client.incompleteBytes = unread
	client.incompleteSince = 0
	if unread == 0 {
		return
	}
	client.incompleteSince = commandStart
	if int64(p.downstream.incompleteBytes) > p.config.MemoryLimit/incompleteRequestShare {
		p.metrics.counters.NotAccepted++
		p.respond(client, client.codec.refusal(refusedForMemory, false))
		client.closing = true
	}
}

// sweepClients closes connections on which nothing was sent, or a command has not come complete, in time, and those
// that have been idle for long. Some clients ask once and keep their connection: of the idle ones only so many are
// kept, those whose clients sent more than one command, then those used last.
func (p *Proxy) sweepClients() {
	now := p.now()
	p.schedule(now.Add(sweepInterval), timerEvent{kind: timerSweep})
	p.publishMetrics()
	p.engine.SetReadAhead(p.config.MemoryLimit / readAheadShare / int64(1+p.upstream.conns.Len()))
	var idle []*clientConn
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		overdue := client.incompleteSince != 0 && now.Since(client.incompleteSince) >= commandTimeout
		switch {
		case client.closing:
		case overdue && client.incompleteBytes > 0:
			p.metrics.counters.ClientTimeouts++
			p.respond(client, client.codec.refusal(refusedTooLate, false))
			client.closing = true
			p.flushPipeline(client)
		case overdue && client.isIdle():
			if p.closeIfQuiet(client) {
				p.metrics.counters.ClientTimeouts++
			}
		case client.firstSlot > 0 && client.isIdle() && now.Since(client.lastUsedAt) >= firstCommandGrace:
			idle = append(idle, client)
		}
	})
	slices.SortFunc(idle, compareByUse(2))
	excess := len(idle) - p.engine.MaxClients()/idleClientShare
	for i, client := range idle {
		if (i < excess || now.Since(client.lastUsedAt) >= clientIdleTimeout) && p.closeIfQuiet(client) {
			p.metrics.counters.IdleClosed++
		}
	}
}

// compareByUse sorts first the client whose connection is worth least: it has sent fewer commands, of which maxCount
// count, or else was used longer ago.
func compareByUse(maxCount uint64) func(a, b *clientConn) int {
	return func(a, b *clientConn) int {
		byCommands := cmp.Compare(min(a.firstSlot, maxCount), min(b.firstSlot, maxCount))
		return cmp.Or(byCommands, cmp.Compare(a.lastUsedAt, b.lastUsedAt))
	}
}

// mayCloseClient reports whether a client is idle; a new one has some time for its first command.
func (p *Proxy) mayCloseClient(client *clientConn) bool {
	return client.isIdle() && (client.firstSlot > 0 || p.now().Since(client.lastUsedAt) >= firstCommandGrace)
}

// closeIdleClients closes all connections that are idle.
func (p *Proxy) closeIdleClients() {
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		if p.mayCloseClient(client) {
			p.closeIfQuiet(client)
		}
	})
}

// closeLongestIdleClient closes the connection that has been idle longest, first those that have never sent a command.
// It reports whether there was one.
func (p *Proxy) closeLongestIdleClient() bool {
	var idle []*clientConn
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		if p.mayCloseClient(client) {
			idle = append(idle, client)
		}
	})
	slices.SortFunc(idle, compareByUse(1))
	for _, client := range idle {
		if p.closeIfQuiet(client) {
			p.metrics.counters.EvictedConns++
			return true
		}
	}
	return false
}

// closeOnceFlushed closes a connection once the kernel has taken its last answer, or its client has had flushTimeout.
func (p *Proxy) closeOnceFlushed(id clientConnID) {
	client := p.downstream.conns.Get(id)
	if client == nil {
		return
	}
	now := p.now()
	if client.socket.Unsent() == 0 || now >= client.flushDeadline {
		p.closeClient(client)
		return
	}
	p.schedule(now.Add(flushCheckInterval), timerEvent{kind: timerFlush, client: id})
}

// closeIfQuiet closes a connection between commands, and reports whether it did. Guards against closing one whose next
// command has come to the socket but not to the loop: it would be lost.
func (p *Proxy) closeIfQuiet(client *clientConn) bool {
	if !client.socket.CloseIfIdle() {
		return false
	}
	p.forgetClient(client)
	return true
}

func (p *Proxy) closeClient(client *clientConn) {
	client.socket.Close()
	p.forgetClient(client)
}

func (p *Proxy) onClientClosed(id clientConnID) {
	if client := p.downstream.conns.Get(id); client != nil {
		p.forgetClient(client)
	}
}

// forgetClient removes a connection that has ended, and what waits for it.
func (p *Proxy) forgetClient(client *clientConn) {
	p.downstream.conns.Remove(client.id)
	p.downstream.incompleteBytes -= client.incompleteBytes
	for i := range client.pipeline {
		slot := &client.pipeline[i]
		p.inflight.bufferedBytes -= slot.size()
		if conn := p.upstream.conns.Get(slot.streamConn); conn != nil { // its only reader has gone
			p.inflight.pending--
			p.metrics.counters.ClientsGone++
			p.dropConn(conn)
		}
		if req := p.inflight.requests.Get(slot.request); req != nil && !req.answered {
			p.abandonRequest(req)
		}
	}
}
