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

// This file holds what the runner calls for events on nodes and the endpoint list; those on
// connections are in network.go.

// drainCheck is how often a restart looks whether the earlier process has finished its requests.
const drainCheck = 50 * time.Millisecond

var _ runner.Rig = (*Simulation)(nil)

// LogEvent adds a line to the log of the run.
func (sim *Simulation) LogEvent(now policy.Instant, what string) { sim.log.AddEvent(now, what) }

// Registry is the model of the capacity of discovery.
func (sim *Simulation) Registry() *world.Registry { return sim.registry }

// SetDiscovery takes discovery down or up; changes that were held back are then published.
func (sim *Simulation) SetDiscovery(up bool) {
	sim.discoveryUp = up
	if !up {
		return
	}
	for _, e := range sim.pendingUpdates {
		sim.EndpointChanged(e)
	}
	sim.pendingUpdates = nil
}

// EndpointChanged notifies each node of a change of the endpoint list, each after a delay of its own.
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

// EndNode ends a node. An orderly end lets it finish its requests and sends it no further ones; otherwise it is
// killed.
func (sim *Simulation) EndNode(number int, orderly bool) {
	n := sim.nodes[number]
	sim.serving = slices.DeleteFunc(sim.serving, func(o *node) bool { return o == n })
	if !orderly {
		n.kill()
	}
}

// StartNode starts a node anew once its earlier process has finished its requests. It starts with the endpoint list
// that it knew, and receives the complete one soon after.
func (sim *Simulation) StartNode(number int) {
	n := sim.nodes[number]
	if n.dispatcher != nil {
		if len(n.inFlight) > 0 {
			sim.after(drainCheck, func() { sim.StartNode(number) })
			return
		}
		n.kill()
	}
	n.start(policy.LastKnownUpdate, n.endpoints)
	if sim.registry.Bounded() {
		return // it polls
	}
	entries := runner.Endpoints(sim.world)
	incarnation := n.incarnation
	sim.after(scenario.SecondsToDuration(sim.scenario.Discovery.NoticeS[0]), func() {
		if n.incarnation == incarnation && sim.discoveryUp {
			n.updateEndpoints(policy.CompleteUpdate, entries)
		}
	})
}

// What follows concerns processes, or the network between them. A scenario with such an event is refused in virtual
// time, so none of it is ever called.

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
