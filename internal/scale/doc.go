// Package scale measures the cost of a fleet's control plane by fleet size, on one machine.
//
// The control plane of a node is its membership (gossip) and its polling of the endpoint list. A fleet consists of
// hollow nodes, which run only that, many to a process (as in Kubemark), and of real nodes, each a process of the
// program's command serve. Real nodes calibrate the hollow ones: the report states how much the two differ.
//
// A Rig takes each size of a Plan through phases: the fleet forms, is steady, loses a node, and has a region cut off.
// It reads the traffic and resource usage of every node at the end of each phase; a phase's figures are the differences
// between two readings. A Report fits a line through the means by size, which gives the marginal cost of a node, and
// compares the figures with a budget.
//
// The rig owns all processes and stops them. A process of hollow nodes (ServeHollowNodes) reads orders as lines of JSON
// from its standard input and exits when that is closed. Delay, loss and partitions between regions are emulated in the
// processes of hollow nodes, for what they send and for what real nodes send to them; two real nodes are therefore
// always in one region.
package scale
