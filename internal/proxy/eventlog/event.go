package eventlog

import (
	"fmt"
	"time"

	"dahliapin/policy"
)

// The kinds of events.
const (
	EndpointListed   = "listed"    // the endpoint list names it for the first time
	EndpointAvoided  = "avoided"   // it is sent less than its share, or nothing
	EndpointRestored = "back"      // it is not avoided any more
	EndpointDrained  = "drained"   // it leaves, and is sent nothing new
	EndpointRemoved  = "gone"      // the endpoint list does not name it any more
	TrialAttempt     = "trial leg" // one that is avoided was sent an attempt, the first since
	LevelChanged     = "level"     // the node's degradation level has changed
)

// Event is one thing that a node did.
type Event struct {
	At       policy.Instant    `json:"at_ns"`
	Node     string            `json:"node"`
	Server   policy.EndpointID `json:"server"` // empty with LevelChanged
	Kind     string            `json:"what"`
	Reason   string            `json:"why,omitempty"`
	Duration time.Duration     `json:"for_ns,omitempty"` // with EndpointRestored: how long it was avoided
}

// String returns the event as a line for operators, without a line end.
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
