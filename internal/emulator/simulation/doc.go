// Package simulation runs a scenario in virtual time: any number of nodes, each a dispatcher with its decider, on one
// model of the world. The same seed gives the same run, byte for byte, on any host.
//
// A run uses one goroutine. Its clock advances from one due event to the next: events of the world (jobs that end at
// servers) and events of the simulation's own queue (messages that arrive, timers, the scenario's events). Nothing else
// advances the clock, and nothing reads the host's clock.
//
// A run is reproducible because all random draws come from sources seeded by the scenario, in the order of events, and
// because map entries are sorted wherever their order would have an effect. A change of that order changes all recorded
// runs.
//
// Nodes do not share their own state (node.go, connections.go, attempt.go, polling.go). The Simulation holds what they
// share: the world, the traffic, the checker of invariants, the report's log, and the faults in effect (rig.go,
// network.go).
package simulation
