package proxy

import (
	"slices"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/proxy/sockets"
	"dahliapin/internal/slotmap"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

const (
	// commandTimeout is how long a client may take to send a complete command, and a new connection to send its first
	// byte. Normally that takes milliseconds.
	commandTimeout = 5 * time.Second / 2
	// clientIdleTimeout is how long a client may keep a connection open without a command in flight.
	clientIdleTimeout = 2 * time.Second
	// firstCommandGrace is how long a new connection may wait for its first command before it counts as idle.
	firstCommandGrace = 50 * time.Millisecond
	// sweepInterval is the interval of sweep, which looks for slow and idle clients.
	sweepInterval = 100 * time.Millisecond
	// maxPipelined is the number of commands in flight on one connection at which further ones are rejected.
	maxPipelined = 256
	// maxPendingResponses is the number of pending commands and queued answers on a connection at which it is closed.
	// Otherwise answers could queue up behind one slow request without bound.
	maxPendingResponses = 4 * maxPipelined
)

// Divisors of the memory limit and of the limit on descriptors.
const (
	// idleClientDivisor limits idle clients to the descriptors divided by it, less than half of what clients may use.
	idleClientDivisor = 8
	// incompleteRequestDivisor limits incomplete commands to the memory limit divided by it.
	incompleteRequestDivisor = 4
	// readAheadDivisor limits data received from endpoints that the event loop has not read yet to the memory limit
	// divided by it.
	readAheadDivisor = 8
	// spareDescriptorDivisor keeps the descriptors divided by it free for upstream connections that are not open yet.
	spareDescriptorDivisor = 8
	// upstreamDivisor limits upstream connections to the descriptors divided by it, which clients leave to them: a
	// request needs one or two of them.
	upstreamDivisor = 2
)

type clientConnID uint64

// downstream holds the client connections.
type downstream struct {
	conns           slotmap.Table[clientConnID, clientConn]
	codecs          []downstreamCodec // by listener
	parsed          parsedRequest     // the last command read; its memory is reused
	lastConnectedAt policy.Instant    // when a client last connected
	incompleteBytes int               // of incomplete commands, over all connections
}

// clientConn is a client's connection to this node.
type clientConn struct {
	id              clientConnID
	socket          *sockets.Conn
	codec           downstreamCodec
	buf             buffer.Buffer
	progress        http1.Progress // in parsing the current command
	pipeline        []pipelineSlot // one per command not yet answered to the client, in order
	firstSlot       uint64         // number of the first slot, from 0: how many commands were answered before
	lastUsedAt      policy.Instant
	continueSent    bool           // "100 Continue" has been sent for the current command
	closing         bool           // nothing more is read; the connection closes once all commands are answered
	overLimit       bool           // accepted above the client limit; its requests are rejected while that is exceeded
	incompleteBytes int            // of the current incomplete command
	incompleteSince policy.Instant // when that command, or a connection without any, began; 0 if neither applies
	reading         readProgress   // while something is left to write or unsent
}

// isIdle reports whether nothing is in flight on the connection in either direction.
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

// tooManyClients reports whether clients use descriptors that upstream connections need. Those need half of all
// descriptors, or fewer while few upstream connections are open.
func (p *Proxy) tooManyClients() bool {
	limit := p.engine.MaxClients()
	limitLeavingHalf := limit - p.maxUpstreamConns()
	limitLeavingSpare := limit - limit/spareDescriptorDivisor - p.upstream.conns.Len()
	return p.downstream.conns.Len() > max(limitLeavingHalf, limitLeavingSpare)
}

// onClientData parses the commands that a client has sent, and answers or accepts each.
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
			p.respond(client, client.codec.refusal(refusedTooManyPending, false))
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
	case intentInvalid:
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

// updateIncomplete updates the count of incomplete command bytes, and refuses the command if all incomplete ones
// together exceed their share of the memory limit.
func (p *Proxy) updateIncomplete(client *clientConn, commandStart policy.Instant) {
	unread := len(client.buf.Unread())
	p.downstream.incompleteBytes += unread - client.incompleteBytes
	client.incompleteBytes = unread
	client.incompleteSince = 0
	if unread == 0 {
		return
	}
	client.incompleteSince = commandStart
	if int64(p.downstream.incompleteBytes) > p.config.MemoryLimit/incompleteRequestDivisor {
		p.metrics.counters.NotAccepted++
		p.respond(client, client.codec.refusal(refusedMemoryLimit, false))
		client.closing = true
	}
}

// sweep does the periodic work of the event loop, first in New and then every sweepInterval. It publishes the metrics
// snapshot, sets the read-ahead of all connections according to the number of upstream connections, and closes clients'
// connections: those on which nothing or no complete command was sent in time, and those that have been idle for too
// long. Some clients send one request and then keep their connection open, so the number of idle connections is
// limited. Connections on which only one command was answered are closed before others, and the least recently used
// ones first.
func (p *Proxy) sweep() {
	now := p.now()
	p.schedule(now.Add(sweepInterval), timerEvent{kind: timerSweep})
	p.publishMetrics()
	p.limitReadAhead()
	var idle []*clientConn
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		overdue := client.incompleteSince != 0 && now.Since(client.incompleteSince) >= commandTimeout
		switch {
		case client.closing:
		case overdue && client.incompleteBytes > 0:
			p.metrics.counters.ClientTimeouts++
			p.respond(client, client.codec.refusal(refusedTimeout, false))
			client.closing = true
			p.flushPipeline(client)
		case overdue && client.isIdle():
			if p.closeIfIdle(client) {
				p.metrics.counters.ClientTimeouts++
			}
		case client.firstSlot > 0 && client.isIdle() && now.Since(client.lastUsedAt) >= firstCommandGrace:
			idle = append(idle, client)
		}
	})
	slices.SortFunc(idle, compareByUse(2))
	excess := len(idle) - p.engine.MaxClients()/idleClientDivisor
	for i, client := range idle {
		if (i < excess || now.Since(client.lastUsedAt) >= clientIdleTimeout) && p.closeIfIdle(client) {
			p.metrics.counters.IdleClosed++
		}
	}
}
