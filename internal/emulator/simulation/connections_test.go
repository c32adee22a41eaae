package simulation

import (
	"testing"
	"time"
)

// An idle connection used to stay open for good if the idle timeout grew before it was due to be closed.
func TestIdleConnectionIsClosedAfterTheTimeoutHasGrown(t *testing.T) {
	sim := newIdleSimulation(t)
	n := sim.nodes[0]
	const cache = 0
	longest := n.idleTimeout.Current(sim.now)
	n.idleTimeout.OnCacheFull(sim.now)
	n.idleTimeout.OnCacheFull(sim.now) // a quarter; it doubles after ten seconds
	runFor(t, sim, 9*time.Second)
	if n.idleTimeout.Current(sim.now) != longest/4 {
		t.Fatalf("the timeout is %v, want %v", n.idleTimeout.Current(sim.now), longest/4)
	}
	n.addIdle(cache, sim.resets(cache))
	sim.world.Servers[cache].OpenConnections = 1
	runFor(t, sim, 2*longest)
	if open := sim.world.Servers[cache].OpenConnections; open != 0 || len(n.idleConnections[cache]) != 0 {
		t.Errorf("%d connections are open, %d of them idle, want none", open, len(n.idleConnections[cache]))
	}
}
