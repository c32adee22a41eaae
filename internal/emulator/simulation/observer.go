package simulation

import (
	"time"

	"dahliapin/policy"
)

// This file implements dispatch.Observer: a node records events of its dispatcher in its own event log and in the
// fleet's.

// EndpointStateChanged records a changed state. The fleet's log has an endpoint as ejected while more than half of the
// nodes have ejected it.
func (n *node) EndpointStateChanged(now policy.Instant, id policy.EndpointID, state policy.EndpointState) {
	n.recorder.EndpointStateChanged(now, id, state)
	sim := n.sim
	isEjected := state == policy.StateUnresponsive || state == policy.StateUnreachable || state == policy.StateFailing
	if n.ejected[id] != isEjected {
		n.ejected[id] = isEjected
		if isEjected {
			sim.ejections[id]++
		} else {
			sim.ejections[id]--
		}
	}
	byMost := 2*sim.ejections[id] > len(sim.nodes)
	switch {
	case byMost && isEjected:
		sim.fleetRecorder.EndpointStateChanged(now, id, state)
	case !byMost:
		sim.fleetRecorder.EndpointStateChanged(now, id, policy.StateInUse)
	}
}

// AttemptSent records the start of an attempt.
func (n *node) AttemptSent(now policy.Instant, id policy.EndpointID) {
	n.recorder.AttemptSent(now, id)
	n.sim.fleetRecorder.AttemptSent(now, id)
}

// AttemptDone records the result of an attempt.
func (n *node) AttemptDone(now policy.Instant, id policy.EndpointID, result policy.Result, latency time.Duration) {
	n.sim.log.AttemptEnded(now, result)
	n.recorder.AttemptDone(now, id, result, latency)
	n.sim.fleetRecorder.AttemptDone(now, id, result, latency)
}

// EndpointsUpdated records an update of the endpoint list.
func (n *node) EndpointsUpdated(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint) {
	n.recorder.EndpointsUpdated(now, kind, entries)
}
