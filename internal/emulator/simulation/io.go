package simulation

import (
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// This file implements dispatch.Actions in virtual time: attempts, answers, timers and health checks.

// Send starts an attempt at an endpoint, on an idle connection if there is one, and stops it at the deadline.
func (n *node) Send(id policy.RequestID, to policy.EndpointID, deadline, executeBy policy.Instant) {
	req := n.inFlight[id]
	sim := n.sim
	a := &attempt{
		node:        n,
		incarnation: n.incarnation,
		request:     req,
		number:      len(req.attempts),
		startedAt:   sim.now,
		executeBy:   executeBy,
		outstanding: true,
	}
	req.attempts = append(req.attempts, a)
	server, known := sim.world.Find(to)
	if !known {
		sim.after(0, func() { a.finish(policy.ConnectFailed, nil) })
		return
	}
	a.server = server
	sim.lastTag++
	a.tag = sim.lastTag
	sim.At(deadline, func() {
		switch {
		case !a.outstanding:
		case a.written:
			a.stop(policy.TimedOut)
		default:
			a.stop(policy.ConnectFailed)
		}
	})
	if c, ok := n.takeIdle(server); ok {
		a.hasConnection = true
		a.resets = c.resets
		a.write()
		return
	}
	sim.after(sim.serverLatency(n, server), func() { a.connect() })
}

// Cancel stops an attempt after the current call into the dispatcher has returned.
func (n *node) Cancel(id policy.RequestID, number int) {
	req := n.inFlight[id]
	if req == nil || number >= len(req.attempts) || !req.attempts[number].outstanding {
		return
	}
	a := req.attempts[number]
	incarnation := n.incarnation
	n.sim.after(0, func() {
		if a.outstanding && n.incarnation == incarnation {
			a.stop(policy.Cancelled)
		}
	})
}

// Reject answers that the request had no effect and may be retried after a delay.
func (n *node) Reject(id policy.RequestID, retryAfter time.Duration) {
	if req := n.inFlight[id]; req != nil && !req.answered {
		n.answer(req, checker.Rejected, retryAfter)
		n.releaseLater(req)
	}
}

// Fail answers that the request failed.
func (n *node) Fail(id policy.RequestID) {
	if req := n.inFlight[id]; req != nil && !req.answered {
		n.answer(req, checker.Failed, 0)
		n.releaseLater(req)
	}
}

// SetTimer calls the dispatcher's OnTimer after a delay of at least a nanosecond.
func (n *node) SetTimer(in time.Duration, token string) {
	incarnation := n.incarnation
	n.sim.after(max(in, 1), func() {
		if n.incarnation == incarnation && n.dispatcher != nil {
			n.sim.Decided++
			n.dispatcher.OnTimer(n.sim.now, token)
		}
	})
}

// CheckHealth probes a server and reports the result to the dispatcher.
func (n *node) CheckHealth(id policy.EndpointID) {
	sim := n.sim
	number, known := sim.world.Find(id)
	if !known {
		return
	}
	sim.log.Second(sim.now).Probes++
	incarnation := n.incarnation
	result := policy.Answered
	wait := sim.serverLatency(n, number) + sim.serverLatency(n, number) // round trip
	fault := sim.fault(number)
	server := sim.world.Servers[number]
	isFull := server.Liveness == world.Up && server.OpenConnections >= server.Connections
	switch {
	case server.Liveness == world.Down, fault == "refuse":
		result = policy.ConnectFailed
	case isFull && len(n.idleConnections[number]) == 0: // a probe needs a connection, as an attempt does
		sim.log.Second(sim.now).FullDials++
		result = policy.ConnectFailed
	case server.Liveness == world.Silent, server.Frozen(sim.now), fault == "silent":
		result = policy.TimedOut
		wait = sim.connectTimeout()
	case fault != "":
		result = policy.ConnectionBroken
	}
	sim.after(wait, func() {
		if n.incarnation == incarnation && n.dispatcher != nil {
			n.dispatcher.OnHealthCheck(sim.now, id, result)
		}
	})
}

// PollEndpoints does nothing: a simulated node receives updates of the endpoint list continuously.
func (n *node) PollEndpoints() {}
