// Package checker checks the four rules of a router from outside, without relying on what the router reports: the
// emulator tells a Checker what it observes at the clients, at the servers and where the endpoint list is delivered.
// Views and its Judge method check the nodes' membership views in the same way.
//
// The rules: each request gets exactly one final answer by its deadline (1); no effect happens twice (2); after a grace
// period, no new attempt is sent to a server that drains or has left the endpoint list (3); all nodes together do not
// overload a server while it warms up (4).
package checker
