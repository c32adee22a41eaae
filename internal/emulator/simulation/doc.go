// Package simulation plays a scenario in virtual time: any number of nodes, each a dispatcher with its decider, on one
// model of the world. The same seed gives the same run to the byte, on any machine.
//
// One goroutine plays a run. Its clock jumps from one due event to the next: those of the world (jobs that end at
// servers) and those of the simulation's own queue (messages that arrive, timers, the scenario's events). Nothing else
// moves the clock, and nothing reads the machine's.
//
// A run is reproducible because all random draws come from one source, in the order of events, and because whatever is
// kept in a map is sorted before it has an effect. A change of that order is a change of all recorded runs.
//
// The state of a node is its own (node.go, connections.go, attempt.go, polling.go); the simulation holds what nodes
// share: the world, the traffic, the checker of invariants, the log for the report, and what the scenario has broken
// (rig.go, network.go).
package simulation
