package simulation

import (
	"slices"

	"dahliapin/policy"
)

// idleConnection is a node's connection to a server on which no attempt is outstanding.
type idleConnection struct {
	since  policy.Instant
	resets uint64 // the server's reset count when it was established; it is broken if the count has changed
}

// hasConnection reports whether the node has a working connection to a server.
func (n *node) hasConnection(server int) bool {
	resets := n.sim.resets(server)
	usesServer := func(a *attempt) bool { return a.hasConnection && a.server == server && a.resets == resets }
	for _, req := range n.inFlight {
		if slices.ContainsFunc(req.attempts, usesServer) {
			return true
		}
	}
	isUp := func(c idleConnection) bool { return c.resets == resets }
	return slices.ContainsFunc(n.idleConnections[server], isUp)
}

// takeIdle removes and returns the most recently used idle connection to a server. It drops broken ones.
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

// addIdle makes a connection available to later attempts until the idle timeout.
func (n *node) addIdle(server int, resets uint64) {
	c := idleConnection{since: n.sim.now, resets: resets}
	n.idleConnections[server] = append(n.idleConnections[server], c)
	n.closeWhenIdle(server, c)
}

// closeWhenIdle schedules the close of an idle connection after the current idle timeout. The timer does nothing if the
// connection has been used since, which started a timer of its own. If the timeout has become longer, it starts again.
func (n *node) closeWhenIdle(server int, c idleConnection) {
	incarnation := n.incarnation
	n.sim.At(c.since.Add(n.idleTimeout.Current(n.sim.now)), func() {
		i := slices.Index(n.idleConnections[server], c)
		if n.incarnation != incarnation || i < 0 {
			return
		}
		if n.sim.now.Since(c.since) < n.idleTimeout.Current(n.sim.now) {
			n.closeWhenIdle(server, c)
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

// onServerFull shortens the idle timeout after a running server had no capacity for another connection, and schedules
// the idle connections to be closed accordingly.
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
