// Package world models what a fleet of routers stands between: cache servers, the origin, the registry of the
// endpoint list, and the clients.
//
// It does no I/O: time is an argument, and random draws come from sources seeded by the plan, so that one model
// serves real sockets and virtual time alike. The shell of a run asks Next when something ends at a server, calls
// Advance then, and carries messages between nodes and servers. A World, a Traffic and a Registry are not safe for
// concurrent use.
package world
