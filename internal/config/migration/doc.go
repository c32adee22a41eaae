// Package migration converts the configuration of a node in a shared pool to that of a node within a client process.
// In the new deployment, a connection has one request in flight and caches are in several zones.
//
// Convert changes the values that the new deployment determines and returns remarks on those that the operator has to
// set or review. It handles the configuration as JSON with the protocol's own keys and does not interpret the settings
// beyond that.
package migration
