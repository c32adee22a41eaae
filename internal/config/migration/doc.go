// Package migration converts a node's configuration for a pool of nodes that clients share into its counterpart for a
// node in each client process, with one request in flight a connection and caches in several zones.
//
// Convert changes what follows from the new shape, and returns remarks on what the operator has to fill in or look
// at. It reads and writes the configuration as JSON in the protocol's own words, and decides nothing by them.
package migration
