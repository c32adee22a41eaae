package simulation

import (
	"slices"

	"dahliapin/policy"
)

// idleConnection is a node's connection to a server on which no attempt is outstanding.
type idleConnection struct {
	since  policy.Instant
	resets uint64 // the server's count of resets when the connection came up: a later count means that it is broken
}

// hasConnection tells whether a connection to a server is up.
func (n *node) hasConnection(server int) bool {
	resets := n.sim.resets(server)
	uses := func(a *attempt) bool { return a.hasConnection && a.server == server && a.resets == resets }
	for _, req := range n.inFlight {
		if slices.ContainsFunc(req.attempts, uses) {
			return true
		}
	}
	isUp := func(c idleConnection) bool { return c.resets == resets }
	return slices.ContainsFunc(n.idleConnections[server], isUp)
}

// takeIdle takes the most recently used idle connection to a server, dropping broken ones.
func (n *node) takeIdle(server int) (idleConnection, bool) {
	for {
		idle := n.idleConnections[server]
		if len(idle) == 0 {
			return idleConnection{}, false
		}
		last := idle[len(idle)-1]
		n.idleConnections[server] = idle[:len(idle)-1]
		if last.resets == n.sim.resets(server) {
			return last, true
		}
	}
}

// keepIdle keeps a connection for later attempts until the idle timeout.
func (n *node) keepIdle(server int, resets uint64) {
	c := idleConnection{since: n.sim.now, resets: resets}
	n.idleConnections[server] = append(n.idleConnections[server], c)
	n.closeWhenIdle(server, c)
}

// closeWhenIdle schedules the close of an idle connection after the idle timeout as it is now. A connection that was
// used since, or for which the timeout has become longer, has a later timer of its own, and this one does nothing.
func (n *node) closeWhenIdle(server int, c idleConnection) {
	incarnation := n.incarnation
	n.sim.At(c.since.Add(n.idleTimeout.Current(n.sim.now)), func() {
		i := slices.Index(n.idleConnections[server], c)
		if n.incarnation != incarnation || i < 0 || n.sim.now.Since(c.since) < n.idleTimeout.Current(n.sim.now) {
			return
		}
		n.idleConnections[server] = slices.Delete(n.idleConnections[server], i, i+1)
		if c.resets == n.sim.resets(server) {
			n.sim.world.Servers[server].OpenConnections--
		}
	})
}

// closeIdle closes all idle connections.
func (n *node) closeIdle() {
	for server, idle := range n.idleConnections {
		for _, c := range idle {
			if c.resets == n.sim.resets(server) {
				n.sim.world.Servers[server].OpenConnections--
			}
		}
	}
	n.idleConnections = map[int][]idleConnection{}
}

// onServerFull shortens the idle timeout when a running server had no capacity for another connection.
func (n *node) onServerFull() {
	if !n.idleTimeout.OnCacheFull(n.sim.now) {
		return
	}
	for server := range n.sim.world.Servers {
		for _, c := range n.idleConnections[server] {
			n.closeWhenIdle(server, c)
		}
	}
}
