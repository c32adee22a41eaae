package proxy

import (
	"cmp"
	"slices"
)

// compareByUse orders clients by the number of commands answered on their connections, capped at maxCount, and then by
// last use, the least recent first.
func compareByUse(maxCount uint64) func(a, b *clientConn) int {
	return func(a, b *clientConn) int {
		byCommands := cmp.Compare(min(a.firstSlot, maxCount), min(b.firstSlot, maxCount))
		return cmp.Or(byCommands, cmp.Compare(a.lastUsedAt, b.lastUsedAt))
	}
}

// mayCloseClient reports whether a client is idle and, if none of its commands has been answered yet, was last used at
// least firstCommandGrace ago: a new client gets some time to send its first command.
func (p *Proxy) mayCloseClient(client *clientConn) bool {
	return client.isIdle() && (client.firstSlot > 0 || p.now().Since(client.lastUsedAt) >= firstCommandGrace)
}

// closeIdleClients closes all idle client connections.
func (p *Proxy) closeIdleClients() {
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		if p.mayCloseClient(client) {
			p.closeIfIdle(client)
		}
	})
}

// closeLongestIdleClient closes the client connection that has been idle longest, starting with those that have never
// sent a command. It reports whether there was one.
func (p *Proxy) closeLongestIdleClient() bool {
	var idle []*clientConn
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		if p.mayCloseClient(client) {
			idle = append(idle, client)
		}
	})
	slices.SortFunc(idle, compareByUse(1))
	for _, client := range idle {
		if p.closeIfIdle(client) {
			p.metrics.counters.EvictedConns++
			return true
		}
	}
	return false
}

// closeIfIdle closes a connection between commands, and reports whether it did. It keeps one whose next command has
// reached the socket but not the event loop: the command would be lost.
func (p *Proxy) closeIfIdle(client *clientConn) bool {
	if !client.socket.CloseIfIdle() {
		return false
	}
	p.removeClient(client)
	return true
}

func (p *Proxy) closeClient(client *clientConn) {
	client.socket.Close()
	p.removeClient(client)
}

func (p *Proxy) onClientClosed(id clientConnID) {
	if client := p.downstream.conns.Get(id); client != nil {
		p.removeClient(client)
	}
}

// removeClient removes a connection that has ended, along with its pending answers and requests.
func (p *Proxy) removeClient(client *clientConn) {
	p.downstream.conns.Remove(client.id)
	p.downstream.incompleteBytes -= client.incompleteBytes
	for i := range client.pipeline {
		slot := &client.pipeline[i]
		p.discardAnswer(slot)
		if conn := p.upstream.conns.Get(slot.streamConn); conn != nil { // the stream's only client
			p.inflight.pending--
			p.metrics.counters.ClientsGone++
			p.dropConn(conn)
		}
		if req := p.inflight.requests.Get(slot.request); req != nil && !req.answered {
			p.abandonRequest(req)
		}
	}
}
