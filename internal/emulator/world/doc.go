// Package world models the surroundings of a fleet of routers: cache servers, the origin, the registry of the
// endpoint list, and the clients.
//
// It does no I/O: time is an argument, and random draws come from sources seeded by the plan, so that one model
// serves both real sockets and virtual time. The shell of a run calls Next to learn when a job ends at a server,
// calls Advance at that time, and carries messages between nodes and servers. A World, a Traffic and a Registry are
// not safe for concurrent use.
package world
