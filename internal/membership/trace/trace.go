// Package trace has the lines in which processes trace their part in the fleet, for a checker who sees the lines of
// all.
package trace

import "dahliapin/internal/monotime"

// The values of Line.What.
const (
	Library = "library" // the gossip library's members have changed
	View    = "view"    // the view has changed
	Traffic = "traffic" // how much went and came between nodes until now
)

// Line is one event of a process. Fields that an event doesn't have are zero.
type Line struct {
	// At is of the clock that all processes of a machine share, and that runs on through a suspend.
	At               monotime.Instant `json:"at"`
	Node             string           `json:"node"`
	Process          string           `json:"process"`
	Kind             string           `json:"what"`
	Members          []string         `json:"members"`           // names of those that are members to the process now
	ChangedNode      string           `json:"seen,omitempty"`    // Library: the node whose process came or went
	Joined           bool             `json:"here,omitempty"`    // Library: it came
	Number           uint64           `json:"number,omitempty"`  // View: its number
	Fingerprint      string           `json:"mark,omitempty"`    // View: its fingerprint
	MayBePartitioned bool             `json:"cut_off,omitempty"` // View: the process takes itself for cut off
	BytesOut         uint64           `json:"out,omitempty"`     // Traffic: bytes sent to other nodes in datagrams
	BytesIn          uint64           `json:"in,omitempty"`      // Traffic: bytes received in datagrams
	Dropped          uint64           `json:"lost,omitempty"`    // lines that were dropped until now
}
