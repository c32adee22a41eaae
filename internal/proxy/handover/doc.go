// Package handover passes a node's listening sockets from a running process to its successor, the process that replaces
// it, over a Unix socket in a directory that both know.
//
// Afterwards both processes hold the same listening sockets, so that no connection queued in one of them is lost,
// whichever process ends first. The connection between the processes stays open: each detects by its end that the other
// has ended, or that the successor has returned the sockets.
//
// The running process opens an Offer. The successor calls Inherit, which requests and receives the sockets with their
// addresses. Once the successor serves clients, it calls Inherited.NotifyServing, and the old process stops accepting
// clients; it drains when it receives SIGTERM.
//
// The successor also requests the state of the running process: what that has learned since it read its configuration.
// The running process sends it with Offer.SendState, at first and after each change; Inherited.Wait receives it. A
// process of an earlier version sends none (Inherited.SendsState). Before the first state it sends a descriptor for
// package requestids (Offer.TakeChannel, Inherited.TakeChannel). Otherwise the protocol is the same in all versions
// that may replace each other.
package handover
