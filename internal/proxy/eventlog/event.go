package eventlog

import (
	"fmt"
	"time"

	"dahliapin/policy"
)

// The event kinds. Their values are part of the event log's format.
const (
	EndpointListed   = "listed"    // the endpoint has been added to the endpoint list
	EndpointAvoided  = "avoided"   // the endpoint is sent less than its usual share of attempts, or none
	EndpointRestored = "back"      // the endpoint is no longer avoided
	EndpointDrained  = "drained"   // the endpoint is draining and is sent no new attempts
	EndpointRemoved  = "gone"      // the endpoint has been removed from the endpoint list
	TrialAttempt     = "trial leg" // the first attempt was started at an endpoint that is avoided for not answering
	LevelChanged     = "level"     // the node's degradation level has changed
)

// Event is one entry of a node's event log.
type Event struct {
	At       policy.Instant    `json:"at_ns"`
	Node     string            `json:"node"`
	Server   policy.EndpointID `json:"server"` // the endpoint; empty for LevelChanged
	Kind     string            `json:"what"`
	Reason   string            `json:"why,omitempty"`
	Duration time.Duration     `json:"for_ns,omitempty"` // EndpointRestored only: how long the endpoint was avoided
}

// String returns the event as a line of text for operators, without a newline.
func (e Event) String() string {
	text := fmt.Sprintf("%8.3f s  %-6s %-10s %s", time.Duration(e.At).Seconds(), e.Node, e.Server, e.Kind)
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Duration > 0 {
		text += fmt.Sprintf(" after %.1f s", e.Duration.Seconds())
	}
	return text
}
