// Package eventlog records what a node does to its endpoints: which one was avoided, why, from when until when; which
// one was drained, removed, tried or restored.
//
// A Recorder observes the dispatcher and passes an Event on for each change. It does no I/O, and its owner says where
// its events go. Most events follow from an endpoint's state or the endpoint list; one does not: an endpoint that is
// sent ever less, as others are preferred, is avoided for its load, which the Recorder finds by comparing shares of
// attempts. The Recorder belongs to one goroutine.
//
// The names of event kinds and of the fields in JSON are those of the operators' pages.
package eventlog
