// Package scale measures what the control part of a fleet costs at its size, on one machine.
//
// The control part of a node is its membership (gossip) and its calls for the endpoint list. A fleet consists of hollow
// nodes, which run nothing but that, many to a process (as Kubemark has them), and of real nodes, each a process of the
// program's command serve. Real nodes calibrate the hollow ones: a report says by how much they differ.
//
// A Rig takes each size of a Plan through phases: the fleet forms, is steady, loses a node, and has a region cut off.
// It reads what every node has sent, received and used at the end of each phase; the differences are a phase's
// figures. A Report fits lines through the means by size, so that it says what one node more costs, and compares them
// with a budget.
//
// The rig owns all processes and ends them; a process of hollow nodes (Attend) takes orders as lines of JSON on its
// standard input and ends with it. Delay, loss and partitions between regions are emulated in the processes of hollow
// nodes, for what they send and for what real nodes send to them; two real nodes are therefore always in one region.
package scale
