// Package simwire implements the simulator's protocol: it reads batches of events, one JSON object per line, and writes
// a reply with actions to each.
//
// Serve holds the nodes of the simulator. It turns each event into a call on its Node, which writes actions through a
// Writer. Times are seconds on the wire, with a resolution of one microsecond.
//
// The protocol's names of events, actions, states and flags are used in this package only: words.go defines a constant
// for each, named with the term used in the rest of the code. Those of the settings object are in package settings.
//
// All code runs on the goroutine that calls Serve.
package simwire
