// Package handover passes a node's listening sockets from a process to the one that replaces it, its successor, over a
// Unix socket in a folder that both know.
//
// Both processes then hold the same listening sockets, so that no connection that waits in one of them is lost,
// whichever process ends. The connection between the two stays open: its end is how each knows that the other has
// gone.
//
// The running process opens an Offer. The successor calls Inherit, which sends the greeting and receives the sockets
// with their addresses; once it serves clients it calls Inherited.Serving, upon which the old process stops accepting;
// it drains once it gets SIGTERM. The conversation is the same between all versions that may replace each other.
package handover
