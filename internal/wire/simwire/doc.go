// Package simwire speaks the simulator's wire: it reads batches of events, one JSON object a line, and writes a reply
// of actions for each.
//
// Serve keeps the nodes of the simulator. An event becomes a call on its Node, and what the Node does is written
// through a Writer. Times are seconds on the wire, rounded to the microsecond.
//
// The protocol's own words end here: each name of an event, an action, a state or a flag stands in words.go as a
// constant beside the term that the code uses for it. Those of the settings object are in package settings.
//
// All of it runs on the goroutine that calls Serve.
package simwire
