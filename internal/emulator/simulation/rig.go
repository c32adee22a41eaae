package simulation

import (
	"math"
	"slices"
	"time"

	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/emulator/runner"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// This file implements the methods of runner.Rig for nodes and the endpoint list. Those for connections are in
// network.go.

// drainCheckInterval is how often a restart checks whether the earlier process has finished its requests.
const drainCheckInterval = 50 * time.Millisecond

var _ runner.Rig = (*Simulation)(nil)

// LogEvent adds a line to the log of the run.
func (sim *Simulation) LogEvent(now policy.Instant, what string) { sim.log.AddEvent(now, what) }

// Registry returns the model of the capacity of discovery.
func (sim *Simulation) Registry() *world.Registry { return sim.registry }

// SetDiscovery takes discovery down or up. When it comes up, the changes made while it was down are published.
func (sim *Simulation) SetDiscovery(up bool) {
	sim.discoveryUp = up
	sim.notifications.SetDiscovery(sim.now, up)
	if !up {
		return
	}
	for _, e := range sim.pendingUpdates {
		sim.EndpointChanged(e)
	}
	sim.pendingUpdates = nil
	for _, n := range sim.pendingLists {
		n.sendCompleteList()
	}
	sim.pendingLists = nil
}

// EndpointChanged notifies each node of a change of the endpoint list, after a delay drawn for the node. If nodes poll
// for the list, it publishes the change at the registry.
func (sim *Simulation) EndpointChanged(e policy.Endpoint) {
	if !sim.discoveryUp {
		sim.pendingUpdates = append(sim.pendingUpdates, e)
		return
	}
	delayRange := sim.scenario.Discovery.NoticeS
	if sim.registry.Bounded() {
		sim.after(scenario.SecondsToDuration(delayRange[0]), func() { sim.publish(e) })
		return
	}
	shortest := time.Duration(math.MaxInt64)
	for _, n := range sim.nodes {
		delay := scenario.SecondsToDuration(delayRange[0] + (delayRange[1]-delayRange[0])*sim.random.Float64())
		shortest = min(shortest, delay)
		incarnation := n.incarnation
		sim.after(delay, func() {
			if n.incarnation == incarnation && n.dispatcher != nil {
				n.updateEndpoints(policy.DeltaUpdate, []policy.Endpoint{e})
			}
		})
	}
	sim.after(shortest, func() {
		sim.fleetRecorder.EndpointsUpdated(sim.now, policy.DeltaUpdate, []policy.Endpoint{e})
	})
}

// EndNode ends a node. In an orderly shutdown it finishes its requests and receives no new ones; otherwise it is
// killed.
func (sim *Simulation) EndNode(number int, orderly bool) {
	n := sim.nodes[number]
	sim.serving = slices.DeleteFunc(sim.serving, func(other *node) bool { return other == n })
	if !orderly {
		n.kill()
	}
}

// StartNode starts a node's next process after the earlier one has finished its requests. The process starts with the
// endpoint list that the node last knew, and receives the complete list soon after.
func (sim *Simulation) StartNode(number int) {
	n := sim.nodes[number]
	if n.dispatcher != nil {
		if len(n.inFlight) > 0 {
			sim.after(drainCheckInterval, func() { sim.StartNode(number) })
			return
		}
		n.kill()
	}
	n.start(policy.LastKnownUpdate, n.endpoints)
	if !sim.registry.Bounded() { // otherwise it polls
		n.sendCompleteList()
	}
}

// sendCompleteList sends the complete endpoint list to a node that has started. If discovery is down by then, the node
// gets the list once it is up: changes that were published while the node had no process are in the list only.
func (n *node) sendCompleteList() {
	sim := n.sim
	entries := runner.Endpoints(sim.world)
	incarnation := n.incarnation
	sim.after(scenario.SecondsToDuration(sim.scenario.Discovery.NoticeS[0]), func() {
		switch {
		case n.incarnation != incarnation:
		case sim.discoveryUp:
			n.updateEndpoints(policy.CompleteUpdate, entries)
		default:
			sim.pendingLists = append(sim.pendingLists, n)
		}
	})
}

// The methods below are for events on processes or on the network between them. Run rejects a scenario with such an
// event, so they are never called.

// UpgradeNode does nothing.
func (sim *Simulation) UpgradeNode(int) {}

// StandbyNode does nothing.
func (sim *Simulation) StandbyNode(int, bool) {}

// ScrapeNode does nothing.
func (sim *Simulation) ScrapeNode(int, policy.Instant) {}

// PauseNode does nothing.
func (sim *Simulation) PauseNode(int, bool) {}

// HangNode does nothing.
func (sim *Simulation) HangNode(int, bool) {}

// OpenIdleClients does nothing.
func (sim *Simulation) OpenIdleClients(int, int, policy.Instant) {}

// StallClients does nothing.
func (sim *Simulation) StallClients(int, int) {}

// ReloadNode does nothing.
func (sim *Simulation) ReloadNode(int, int) {}

// FreezeNode does nothing.
func (sim *Simulation) FreezeNode(int, time.Duration) {}

// StartDuplicateNode does nothing.
func (sim *Simulation) StartDuplicateNode(int) {}

// ChangeLink does nothing.
func (sim *Simulation) ChangeLink(int, int, func(*netfault.Link)) {}
