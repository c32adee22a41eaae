package simulation

import (
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// minToldTime is the least time that a server is told for an attempt: the unit of the protocol.
const minToldTime = time.Millisecond

// attempt is one attempt of a request at a server. It is outstanding until its one result is reported to the
// dispatcher. Later events on its connection or at the server do not change that result.
type attempt struct {
	node          *node
	incarnation   int // the node's incarnation when the attempt began
	request       *request
	number        int // within the request, from 0
	server        int
	tag           uint64 // identifies the attempt's job at the server; unique in a run
	startedAt     policy.Instant
	executeBy     policy.Instant // the server is told not to begin later
	outstanding   bool           // its result has not been reported to the dispatcher
	written       bool           // the request was written to the connection
	knewOfStart   bool           // the node knew of the server's last start then
	endReported   bool           // its end was reported to the checker
	hasConnection bool
	resets        uint64 // the server's reset count when the connection was established
}

// connect opens a connection to the server. It is called one network latency after the attempt began.
func (a *attempt) connect() {
	sim := a.node.sim
	server := sim.world.Servers[a.server]
	sim.log.Second(sim.now).Dials++
	if server.Liveness == world.Silent { // the server never answers
		a.failConnectAt(a.connectDeadline())
		return
	}
	if sim.fault(a.server) == "refuse" || !sim.world.Connect(sim.now, a.server) {
		a.onRefused(server)
		return
	}
	server.OpenConnections++
	resets := sim.resets(a.server)
	delay := sim.connectDelay(a.server)
	if delay > sim.connectTimeout() {
		sim.At(a.connectDeadline(), func() {
			if resets == sim.resets(a.server) {
				server.OpenConnections--
			}
			a.finish(policy.ConnectFailed, nil)
		})
		return
	}
	sim.after(sim.serverLatency(a.node, a.server)+delay, func() { a.onConnected(resets) })
}

// connectDeadline returns when the node stops waiting for the connection.
func (a *attempt) connectDeadline() policy.Instant {
	return a.startedAt.Add(a.node.sim.connectTimeout())
}

func (a *attempt) failConnectAt(at policy.Instant) {
	a.node.sim.At(at, func() { a.finish(policy.ConnectFailed, nil) })
}

// onRefused fails the attempt. A refusal for lack of capacity is also counted, and shortens the node's idle timeout if
// the node has another connection to the server.
func (a *attempt) onRefused(server *world.Server) {
	sim := a.node.sim
	if server.Liveness == world.Up && server.OpenConnections >= server.Connections {
		sim.log.Second(sim.now).FullDials++
		if a.incarnation == a.node.incarnation && a.node.hasConnection(a.server) {
			a.node.onServerFull()
		}
	}
	sim.after(sim.serverLatency(a.node, a.server), func() { a.finish(policy.ConnectFailed, nil) })
}

// onConnected writes the request, unless the node or the attempt has ended or the decider no longer allows the attempt.
func (a *attempt) onConnected(resets uint64) {
	n := a.node
	a.hasConnection = true
	a.resets = resets
	switch {
	case a.incarnation != n.incarnation || n.dispatcher == nil:
		a.closeConnection()
	case !a.outstanding:
		a.releaseConnection()
	case !n.dispatcher.MayStart(n.sim.now, a.request.id, a.number):
		a.releaseConnection()
		a.finishUnconnected(policy.NotSent)
	default:
		a.write()
	}
}

// write sends the request; it arrives one network latency later.
func (a *attempt) write() {
	sim := a.node.sim
	a.written = true
	a.knewOfStart = a.node.knowsStart(sim.world.Servers[a.server])
	writtenAt := sim.now
	sim.after(sim.serverLatency(a.node, a.server), func() { a.arrive(writtenAt) })
}

// arrive handles the request's arrival at the server.
func (a *attempt) arrive(writtenAt policy.Instant) {
	sim := a.node.sim
	server := sim.world.Servers[a.server]
	if server.Liveness == world.Silent {
		return
	}
	if server.Liveness == world.Down || a.resets != sim.resets(a.server) {
		sim.after(sim.serverLatency(a.node, a.server), func() { a.connectionLost() })
		return
	}
	sim.log.AttemptArrived(sim.now, server.ID)
	sim.checker.AttemptArrived(sim.now, writtenAt, a.request.message.ID, server.ID)
	switch sim.fault(a.server) {
	case "reset":
		a.reportEnd(true)
		sim.after(sim.serverLatency(a.node, a.server), func() { a.connectionLost() })
		return
	case "silent":
		return
	}
	a.offer(server, writtenAt)
}

// offer submits the request to the server as a job. The server counts the time that it was told from the arrival.
func (a *attempt) offer(server *world.Server, writtenAt policy.Instant) {
	sim := a.node.sim
	message := a.request.message
	sim.atServers[a.tag] = a
	done, accepted := sim.world.Offer(sim.now, a.server, world.Job{
		Request: message.ID,
		Node:    a.node.number,
		Key:     message.Key,
		Label:   message.Label,
		Class:   message.Class,
		Until:   sim.now.Add(max(minToldTime, a.executeBy.Since(writtenAt))),
		Tag:     a.tag,

		KnewOfStart: a.knewOfStart,
	})
	if !accepted {
		sim.jobDone(done)
		return
	}
	if !a.outstanding {
		// The node closed the connection while the request was in transit. A job that is already running runs to its
		// end; a waiting one is withdrawn.
		delete(sim.atServers, a.tag)
		sim.world.Withdraw(sim.now, a.server, a.tag)
	}
}

// finish handles the arrival of the result at the node. If the node has ended, or a result was already reported, it
// only closes the connection.
func (a *attempt) finish(result policy.Result, loadReport []float64) {
	n := a.node
	sim := n.sim
	if !a.outstanding || a.incarnation != n.incarnation || n.dispatcher == nil {
		a.closeConnection()
		return
	}
	a.outstanding = false
	isGarbage := result == policy.Errored && sim.fault(a.server) == "garbage"
	if result == policy.ConnectionBroken || isGarbage {
		a.closeConnection()
	} else {
		a.releaseConnection()
	}
	if result == policy.Answered && !a.request.answered {
		n.answer(a.request, checker.Satisfied, 0)
	}
	a.report(result, loadReport)
}

// finishUnconnected reports the result of an attempt whose connection is already closed or released, or was never
// established.
func (a *attempt) finishUnconnected(result policy.Result) {
	a.outstanding = false
	a.report(result, nil)
}

// report passes the attempt's one result to the dispatcher.
func (a *attempt) report(result policy.Result, loadReport []float64) {
	n := a.node
	n.sim.Decided++
	n.dispatcher.AttemptDone(n.sim.now, a.request.id, result, a.request.answered, policy.Outcome{
		Attempt:    a.number,
		Latency:    n.sim.now.Since(a.startedAt),
		LoadReport: loadReport,
	})
	n.release(a.request)
}

// reportEnd reports the end of an attempt to the checker, unless it has been reported: the server may still answer an
// attempt that the node has abandoned.
func (a *attempt) reportEnd(notExecuted bool) {
	if a.endReported {
		return
	}
	a.endReported = true
	sim := a.node.sim
	sim.checker.AttemptEnded(sim.now, a.request.message.ID, sim.world.Servers[a.server].ID, notExecuted)
}

// connectionLost ends an attempt whose connection was reset.
func (a *attempt) connectionLost() {
	sim := a.node.sim
	if sim.atServers[a.tag] != nil {
		delete(sim.atServers, a.tag)
		a.reportEnd(false)
	}
	a.hasConnection = false
	a.finish(policy.ConnectionBroken, nil)
}

// stop ends an attempt from the node's side, by closing its connection. An attempt that was never written is reported
// as not sent, or as a failed connect if its time ran out before it had a connection.
func (a *attempt) stop(result policy.Result) {
	switch {
	case a.written:
		a.abandon()
	case result != policy.ConnectFailed:
		result = policy.NotSent
	}
	a.finishUnconnected(result)
}

// abandon closes the connection of an attempt. The server learns of it one network latency later, and withdraws the job
// if it is still waiting.
func (a *attempt) abandon() {
	sim := a.node.sim
	a.closeConnection()
	a.reportEnd(false)
	sim.after(sim.serverLatency(a.node, a.server), func() {
		if sim.atServers[a.tag] != nil {
			delete(sim.atServers, a.tag)
			sim.world.Withdraw(sim.now, a.server, a.tag)
		}
	})
}

// closeConnection closes the attempt's connection, if it has one.
func (a *attempt) closeConnection() {
	if !a.hasConnection {
		return
	}
	a.hasConnection = false
	if a.resets == a.node.sim.resets(a.server) {
		a.node.sim.world.Servers[a.server].OpenConnections--
	}
}

// releaseConnection returns the attempt's connection, if it has one, to the node's idle connections.
func (a *attempt) releaseConnection() {
	if !a.hasConnection {
		return
	}
	a.hasConnection = false
	a.node.addIdle(a.server, a.resets)
}
