// Package checker checks the four rules of a router from outside, whatever the router says of itself: the emulator reports
// to a Checker what happened where it happened, at the clients, at the servers and where the endpoint list is told. Views
// and its Judge do the same for what nodes say of one another.
//
// The rules: each request gets exactly one final answer by its deadline (1); no effect happens twice (2); nothing new goes
// to a server that drains or has left, after a grace (3); no server is overloaded by all nodes together while it warms up
// (4).
package checker
