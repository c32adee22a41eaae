package simulation

import (
	"slices"
	"testing"
	"time"

	"dahliapin/internal/emulator/runner"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/policy"
)

const idleScenario = `
seconds = 60
[fleet]
nodes = 1
caches = 2
[traffic]
per_second = 1
[[grade]]
name = "read"
share = 1
benefit = 1
soft_ms = 100
hard_ms = 300
work_ms = 2
`

// newIdleSimulation returns a started simulation to which no clients send requests.
func newIdleSimulation(t *testing.T) *Simulation {
	t.Helper()
	s, err := scenario.Parse("idle.toml", []byte(idleScenario))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := s.DecodedSettings(s.Fleet.Zones[0])
	if err != nil {
		t.Fatal(err)
	}
	sim := newSimulation(s, settings, Module)
	if err := sim.startNodes(); err != nil {
		t.Fatal(err)
	}
	return sim
}

// runFor advances a simulation by a time.
func runFor(t *testing.T, sim *Simulation, duration time.Duration) {
	t.Helper()
	if err := sim.run(sim.now.Add(duration)); err != nil {
		t.Fatal(err)
	}
}

// A node that had no process when a cache was removed, and started during an outage of discovery, used to keep the
// cache in its list for good: the change was sent before its start, and the complete list was dropped.
func TestNodeThatStartsDuringAnOutageGetsTheListAfterwards(t *testing.T) {
	sim := newIdleSimulation(t)
	n := sim.nodes[0]
	knows := func() bool {
		return slices.ContainsFunc(n.endpoints, func(e policy.Endpoint) bool { return e.ID == "c2" })
	}
	sim.EndNode(0, false)
	removed, _ := sim.world.Find("c2")
	sim.world.Servers[removed].State = policy.Removed
	sim.EndpointChanged(runner.EndpointOf(sim.world, removed))
	runFor(t, sim, 5*time.Second)
	sim.SetDiscovery(false)
	sim.StartNode(0)
	runFor(t, sim, 5*time.Second)
	if !knows() {
		t.Error("the node learned of the change during the outage")
	}
	sim.SetDiscovery(true)
	runFor(t, sim, 5*time.Second)
	if knows() {
		t.Error("the node still has the removed cache")
	}
}
