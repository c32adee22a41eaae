package simulation

import (
	"slices"

	"dahliapin/internal/discovery"
	"dahliapin/internal/emulator/runner"
	"dahliapin/policy"
)

// If a scenario limits the capacity of discovery, nodes poll for the endpoint list with the poller of the product.
// Otherwise changes of the list are pushed to them (rig.go).

// endpointPoll is a poll of a node, which may wait at the registry for a change.
type endpointPoll struct {
	node         *node
	incarnation  int    // the node's incarnation when the poll began
	number       uint64 // compared with node.polls to ignore answers to earlier polls
	startedAt    policy.Instant
	sinceVersion int
	expiresAt    policy.Instant
}

// isCurrent reports whether the node is waiting for the poll's answer.
func (p endpointPoll) isCurrent() bool {
	return p.node.incarnation == p.incarnation && p.node.polls == p.number && p.node.dispatcher != nil
}

// poll starts the node's next poll. A poll that gets no answer, because discovery is down, ends at its timeout.
func (n *node) poll() {
	sim := n.sim
	next := n.poller.NextPoll()
	n.polls++
	p := endpointPoll{
		node:         n,
		incarnation:  n.incarnation,
		number:       n.polls,
		startedAt:    sim.now,
		sinceVersion: next.SinceVersion,
	}
	sim.after(sim.clientLatency(), func() { sim.receivePoll(p, next) })
	sim.after(next.Timeout, func() { p.fail(discovery.ConnectionLost) })
}

// receivePoll handles a poll's arrival at the registry.
func (sim *Simulation) receivePoll(p endpointPoll, request discovery.Poll) {
	sim.log.Second(sim.now).Polls++
	if !sim.discoveryUp {
		return
	}
	at, accepted := sim.registry.Poll(sim.now, request.Complete)
	if !accepted {
		sim.after(sim.clientLatency(), func() { p.fail(discovery.Refused) })
		return
	}
	sim.At(at, func() { sim.servePoll(p, request) })
}

// servePoll answers a poll that the registry has processed, or makes it wait for a change.
func (sim *Simulation) servePoll(p endpointPoll, request discovery.Poll) {
	p.expiresAt = sim.now.Add(request.LongPollTime)
	switch {
	case !sim.discoveryUp: // it went down while the poll was in the queue
	case request.Complete:
		entries := runner.Endpoints(sim.world)
		version := len(sim.changes)
		sim.after(sim.clientLatency(), func() { p.onUpdate(version, entries) })
	case p.sinceVersion < len(sim.changes):
		sim.answerPoll(p)
	default:
		sim.waitingPolls = append(sim.waitingPolls, p)
		sim.At(p.expiresAt, func() { sim.expirePoll(p) })
	}
}

// fail ends a poll without an answer; the next one starts after the poller's backoff.
func (p endpointPoll) fail(failure discovery.Failure) {
	if !p.isCurrent() {
		return
	}
	n := p.node
	n.polls++
	backoff, _ := n.poller.OnFailure(failure, n.sim.now.Since(p.startedAt), n.sim.random.Float64())
	n.sim.after(backoff, func() {
		if n.incarnation == p.incarnation && n.dispatcher != nil {
			n.poll()
		}
	})
}

// onUpdate handles the answer's arrival at the node, which polls again at once.
func (p endpointPoll) onUpdate(version int, entries []policy.Endpoint) {
	if !p.isCurrent() {
		return
	}
	n := p.node
	kind, _ := n.poller.OnUpdate(version, false)
	n.listVersion = version
	if len(entries) > 0 || kind != policy.DeltaUpdate {
		n.updateEndpoints(kind, entries)
	}
	n.poll()
}

// answerPoll answers a poll with the changes since its version.
func (sim *Simulation) answerPoll(p endpointPoll) {
	version := len(sim.changes)
	changes := sim.changes[p.sinceVersion:]
	sim.after(sim.clientLatency(), func() { p.onUpdate(version, changes) })
}

// expirePoll answers a poll that has waited for its LongPollTime without a change.
func (sim *Simulation) expirePoll(p endpointPoll) {
	i := slices.Index(sim.waitingPolls, p)
	if i < 0 {
		return
	}
	sim.waitingPolls = slices.Delete(sim.waitingPolls, i, i+1)
	if sim.discoveryUp {
		sim.answerPoll(p)
	}
}

// publish adds a change to the endpoint list and answers all waiting polls. The registry has already done their work.
func (sim *Simulation) publish(e policy.Endpoint) {
	sim.changes = append(sim.changes, e)
	sim.fleetRecorder.EndpointsUpdated(sim.now, policy.DeltaUpdate, []policy.Endpoint{e})
	waiting := sim.waitingPolls
	sim.waitingPolls = nil
	for _, p := range waiting {
		if p.isCurrent() {
			sim.answerPoll(p)
		}
	}
}
