// Package checker checks the four rules of a router from outside, without relying on what the router reports. The
// emulator passes its observations to a Checker: those at the clients, at the servers and at the delivery of the
// endpoint list. Views.Check checks the nodes' membership views in the same way.
//
// The rules are:
//
//  1. Each request gets exactly one final answer by its deadline.
//  2. No request takes effect twice.
//  3. After a grace period no new attempt is sent to a server that drains or has left the endpoint list.
//  4. All nodes together do not overload a server while it warms up.
package checker
