// Package world models the environment of a fleet of nodes: cache servers, the origin, the registry that serves the
// endpoint list, and the clients.
//
// It does no I/O: time is an argument, and random draws come from sources seeded by the plan, so that the same model
// serves runs on real sockets and in virtual time. The rig of a run calls Next to learn when the next job ends, calls
// Advance at that time, and carries messages between nodes and servers. A World, a Traffic and a Registry are not
// safe for concurrent use.
package world
