// Package eventlog records what a node does with its endpoints: which ones it avoided, why and for how long, and which
// ones it listed, drained, removed, tried or restored.
//
// A Recorder observes the dispatcher and emits an Event for each change. It does no I/O; its owner decides where the
// events go. Most events follow from an endpoint's state or from the endpoint list. The exception is an endpoint that
// is avoided for its load: it is sent fewer attempts because others are preferred, and the Recorder detects that by
// comparing shares of attempts. A Recorder is not safe for concurrent use.
//
// The values of the event kinds and the JSON field names are documented for operators and must not change.
package eventlog
