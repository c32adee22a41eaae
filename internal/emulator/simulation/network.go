package simulation

import (
	"slices"
	"time"

	"dahliapin/internal/emulator/scenario"
)

// jittered draws a latency between d and d*(1+jitter), with the jitter of the scenario's network.
func (sim *Simulation) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + sim.scenario.Network.Jitter*sim.random.Float64()))
}

// clientLatency draws the one-way latency between a client and a node.
func (sim *Simulation) clientLatency() time.Duration {
	return sim.jittered(scenario.SecondsToDuration(sim.scenario.Network.ClientMs / 1000))
}

// serverLatency draws the one-way latency between a node and a server.
func (sim *Simulation) serverLatency(n *node, server int) time.Duration {
	ms := sim.scenario.Network.OneWayMs
	if zone := sim.world.Servers[server].Zone; zone != "" && zone != n.settings.Policy.Zone {
		ms = sim.scenario.Network.CrossZoneMs
	}
	return sim.jittered(scenario.SecondsToDuration(ms / 1000))
}

// connectTimeout returns how long a node waits for a connection to be established.
func (sim *Simulation) connectTimeout() time.Duration {
	return scenario.SecondsToDuration(sim.scenario.Allowed.ConnectMs / 1000)
}

// connectDelay draws the additional time to establish a connection to a server. It is 0 for the origin.
func (sim *Simulation) connectDelay(server int) time.Duration {
	network := &sim.scenario.Network
	if network.LateShare == 0 || sim.world.IsOrigin(server) || sim.random.Float64() >= network.LateShare {
		return 0
	}
	return time.Duration(sim.random.Float64() * float64(scenario.SecondsToDuration(network.LateMs/1000)))
}

// ResetConnections resets all connections to a server; the attempts on them are lost one network latency later.
func (sim *Simulation) ResetConnections(server int) {
	sim.countReset(server)
	var lost []uint64
	for tag, a := range sim.atServers {
		if a.server == server {
			lost = append(lost, tag)
		}
	}
	slices.Sort(lost) // the iteration order of a map is random, and a run must be reproducible
	for _, tag := range lost {
		a := sim.atServers[tag]
		sim.after(sim.serverLatency(a.node, server), func() { a.connectionLost() })
	}
}

// countReset marks all connections to a server as broken: each records the reset count at which it was established.
func (sim *Simulation) countReset(server int) {
	for len(sim.resetCounts) <= server {
		sim.resetCounts = append(sim.resetCounts, 0)
	}
	sim.resetCounts[server]++
	sim.world.Servers[server].OpenConnections = 0
}

// resets returns how often all connections to a server were reset.
func (sim *Simulation) resets(server int) uint64 {
	if server < len(sim.resetCounts) {
		return sim.resetCounts[server]
	}
	return 0
}

// fault returns the fault on a server's connections; "" for none.
func (sim *Simulation) fault(server int) string {
	if server < len(sim.faults) {
		return sim.faults[server]
	}
	return ""
}

// SetFault sets the fault on a server's connections; "" for none.
func (sim *Simulation) SetFault(server int, kind string) {
	for len(sim.faults) <= server {
		sim.faults = append(sim.faults, "")
	}
	sim.faults[server] = kind
}
