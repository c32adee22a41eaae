package simulation

import (
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// attempt is one attempt of a request at a server. It is outstanding until the dispatcher has its one result; what
// happens to its connection and at the server after that changes nothing for the node.
type attempt struct {
	node          *node
	incarnation   int // of the node when the attempt began
	request       *request
	number        int // within the request, from 0
	server        int
	tag           uint64 // by which the server names its job; unique in a run
	startedAt     policy.Instant
	outstanding   bool // the dispatcher has not been told its result
	written       bool // the request was written to the connection
	hasConnection bool
	resets        uint64 // the server's count of resets when the connection came up
}

// connect opens a connection to the server, one network latency after the attempt began.
func (a *attempt) connect() {
	sim := a.node.sim
	server := sim.world.Servers[a.server]
	sim.log.Second(sim.now).Dials++
	if server.Liveness == world.Silent { // no answer ever
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

// connectDeadline is when the node gives the connection up.
func (a *attempt) connectDeadline() policy.Instant {
	return a.startedAt.Add(a.node.sim.connectTimeout())
}

func (a *attempt) failConnectAt(at policy.Instant) {
	a.node.sim.At(at, func() { a.finish(policy.ConnectFailed, nil) })
}

// onRefused notes where a server refused for want of capacity, and fails the attempt.
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

// onConnected writes the request, unless the node has ended or the dispatcher no longer wants the attempt.
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
	writtenAt := sim.now
	sim.after(sim.serverLatency(a.node, a.server), func() { a.arrive(writtenAt) })
}

// arrive is the request's arrival at the server.
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
		sim.checker.AttemptEnded(sim.now, a.request.message.ID, server.ID, true)
		sim.after(sim.serverLatency(a.node, a.server), func() { a.connectionLost() })
		return
	case "silent":
		return
	}
	a.offer(server)
}

// offer gives the server the request as a job.
func (a *attempt) offer(server *world.Server) {
	sim := a.node.sim
	message := a.request.message
	sim.atServers[a.tag] = a
	done, accepted := sim.world.Offer(sim.now, a.server, world.Job{
		Request: message.ID,
		Node:    a.node.number,
		Key:     message.Key,
		Label:   message.Label,
		Class:   message.Class,
		Until:   message.Sent.Add(message.Deadline + networkSlack),
		Tag:     a.tag,
	})
	if !accepted {
		sim.jobDone(done)
		return
	}
	if !a.outstanding {
		// The node closed the connection while the request was on its way. A job that has begun runs to its end all
		// the same, one that waits is withdrawn.
		sim.checker.AttemptEnded(sim.now, message.ID, server.ID, false)
		delete(sim.atServers, a.tag)
		sim.world.Withdraw(sim.now, a.server, a.tag)
	}
}

// finish is the result as it reaches the node. It does nothing but close the connection where the node has ended, or
// the dispatcher was told a result before.
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

// finishUnconnected is finish for an attempt whose connection is closed or released already, or never came up.
func (a *attempt) finishUnconnected(result policy.Result) {
	a.outstanding = false
	a.report(result, nil)
}

// report tells the dispatcher the attempt's one result.
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

// connectionLost ends an attempt whose connection was reset.
func (a *attempt) connectionLost() {
	sim := a.node.sim
	if sim.atServers[a.tag] != nil {
		delete(sim.atServers, a.tag)
		sim.checker.AttemptEnded(sim.now, a.request.message.ID, sim.world.Servers[a.server].ID, false)
	}
	a.hasConnection = false
	a.finish(policy.ConnectionBroken, nil)
}

// stop ends an attempt from the node's side, by closing its connection. One that was never written is told as not
// sent, or as a failed connect where its time ran out.
func (a *attempt) stop(result policy.Result) {
	switch {
	case a.written:
		a.abandon()
	case result != policy.ConnectFailed:
		result = policy.NotSent
	}
	a.finishUnconnected(result)
}

// abandon closes the connection under a written request; the server learns of it one network latency later.
func (a *attempt) abandon() {
	sim := a.node.sim
	a.closeConnection()
	sim.checker.AttemptEnded(sim.now, a.request.message.ID, sim.world.Servers[a.server].ID, false)
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

// releaseConnection makes the attempt's connection, if it has one, available to later attempts.
func (a *attempt) releaseConnection() {
	if !a.hasConnection {
		return
	}
	a.hasConnection = false
	a.node.keepIdle(a.server, a.resets)
}
