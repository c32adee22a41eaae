package simulation

import (
	"time"

	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// scheduleArrival schedules the next first try of a client, which in turn schedules the one after it. Arrivals end with
// the scenario's duration.
func (sim *Simulation) scheduleArrival(at policy.Instant) {
	if at.Since(startOfRun) >= sim.scenario.Duration() {
		return
	}
	sim.At(at, func() {
		message := sim.traffic.Draw(sim.now)
		sim.sendRequest(message, sim.now, true)
		sim.scheduleArrival(sim.traffic.Next(sim.now))
	})
}

// sendRequest sends one try of a client to a node. If there is no node to connect to, the try counts as cut off and is
// not retried.
func (sim *Simulation) sendRequest(message world.Request, firstSentAt policy.Instant, isFirst bool) {
	sim.log.RequestSent(sim.now, isFirst)
	if len(sim.serving) == 0 {
		counts := &sim.checker.Classes[message.Class]
		counts.Asked++
		if isFirst {
			counts.First++
		}
		counts.Cut++
		return
	}
	n := sim.chooseNode()
	message.Sent = sim.now
	deadline := sim.now.Add(message.Deadline)
	sim.checker.RequestSent(sim.now, message.ID, n.number, message.Class, message.Label, deadline, isFirst)
	incarnation := n.incarnation
	sim.after(sim.clientLatency(), func() {
		if n.incarnation != incarnation || n.dispatcher == nil {
			// The node ended while the request was in transit: the client's connection is reset.
			sim.checker.Forget(message.ID)
			sim.connectionCut(message, firstSentAt)
			return
		}
		req := n.accept(message, firstSentAt)
		if message.Leaves > 0 {
			leavesAt := max(sim.now, message.Sent.Add(message.Leaves))
			sim.At(leavesAt, func() { n.clientLeaves(req, incarnation) })
		}
	})
}

// chooseNode draws the node that a try goes to: uniformly, or by the nodes' traffic weights if the scenario skews the
// traffic. Two processes of one node, whose numbers differ by the number of nodes in the settings, have the same
// weight.
func (sim *Simulation) chooseNode() *node {
	draw := sim.random.Float64()
	if sim.scenario.Traffic.Skew == 0 {
		return sim.serving[int(draw*float64(len(sim.serving)))]
	}
	total := 0.0
	for _, n := range sim.serving {
		total += n.trafficWeight
	}
	draw *= total
	for _, n := range sim.serving {
		draw -= n.trafficWeight
		if draw < 0 {
			return n
		}
	}
	return sim.serving[len(sim.serving)-1]
}

// connectionCut counts a try whose node ended before it answered, and retries it if that is allowed.
func (sim *Simulation) connectionCut(message world.Request, firstSentAt policy.Instant) {
	sim.checker.Classes[message.Class].Cut++
	sim.retry(message, firstSentAt, false, 0)
}

// retry schedules a client's next try, if there is one.
func (sim *Simulation) retry(
	message world.Request, firstSentAt policy.Instant, rejected bool, retryAfter time.Duration,
) {
	next, at, ok := sim.traffic.Retry(sim.now, message, rejected, retryAfter)
	if ok {
		sim.At(at, func() { sim.sendRequest(next, firstSentAt, false) })
	}
}
