// Package scale measures the cost of a fleet's control plane by fleet size, on one machine.
//
// The control plane of a node consists of its membership (gossip) and its polling of the endpoint list. A fleet has
// simulated nodes and real nodes. Simulated nodes run the control plane without the proxy, many in one process, like
// the hollow nodes of Kubemark. A real node is a process of the command serve. Real nodes calibrate the simulated ones:
// the report states how much the two differ.
//
// A Rig takes each size of a Plan through phases: the fleet forms, runs without faults, loses a node, and has a region
// cut off. At the end of each phase it reads the traffic and resource usage of every node; the figures of a phase are
// the differences between two readings. A Report fits a line through the means by size, whose slope is the marginal
// cost of a node, and compares the figures with a budget.
//
// The rig owns all processes and stops them. A process of simulated nodes (ServeSimulatedNodes) reads orders as lines
// of JSON from its standard input and exits when that is closed. It also emulates delay, loss and partitions between
// regions, for the messages that its nodes send and for those that they receive from real nodes. No process does so for
// messages between two real nodes, which are therefore all in the same region.
package scale
