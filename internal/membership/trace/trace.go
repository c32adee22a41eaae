// Package trace defines the lines in which processes trace their part in the fleet, for a checker that reads the lines
// of all processes.
package trace

import "dahliapin/internal/monotime"

// The values of Line.Kind.
const (
	Library = "library" // the members of the gossip library have changed
	View    = "view"    // the view has changed
	Traffic = "traffic" // bytes sent to and received from other nodes so far
)

// Line is one event of a process. Fields that do not apply to the kind of event are zero.
type Line struct {
	// At is read from the clock that all processes of a machine share and that continues through a system suspend.
	At               monotime.Instant `json:"at"`
	Node             string           `json:"node"`
	Process          string           `json:"process"`
	Kind             string           `json:"what"`
	Members          []string         `json:"members"`           // names of the member nodes according to the process
	ChangedNode      string           `json:"seen,omitempty"`    // Library: the node whose process joined or left
	Joined           bool             `json:"here,omitempty"`    // Library: whether it joined
	Number           uint64           `json:"number,omitempty"`  // View: number of the view
	Fingerprint      string           `json:"mark,omitempty"`    // View: fingerprint of the view
	MayBePartitioned bool             `json:"cut_off,omitempty"` // View: whether the process considers itself cut off
	BytesOut         uint64           `json:"out,omitempty"`     // Traffic: bytes of datagrams sent to other nodes
	BytesIn          uint64           `json:"in,omitempty"`      // Traffic: bytes of datagrams received
	Dropped          uint64           `json:"lost,omitempty"`    // number of lines dropped so far
}
