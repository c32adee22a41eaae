// Package trace says how a process writes down what it did in the fleet, for a judge who sees the lines of all.
package trace

import "dahliapin/internal/monotime"

// What a line may tell.
const (
	Library = "library" // a change of the gossip library's members
	View    = "view"    // a change of the view
	Traffic = "traffic" // what went and came between nodes until now
)

// Line is one thing that a process did.
type Line struct {
	At      monotime.Instant `json:"at"` // by the clock that all processes of a machine share, and that runs on through a suspend
	Node    string           `json:"node"`
	Process string           `json:"process"`
	What    string           `json:"what"`
	Members []string         `json:"members"`           // names of those that are members to it now
	Seen    string           `json:"seen,omitempty"`    // of whom, for a change of one
	Here    bool             `json:"here,omitempty"`    // it came, rather than went
	Number  uint64           `json:"number,omitempty"`  // of the view
	Mark    string           `json:"mark,omitempty"`    // the same for the same members
	Cut     bool             `json:"cut_off,omitempty"` // it says of itself that it is cut off
	Out     uint64           `json:"out,omitempty"`     // bytes sent to other nodes, in datagrams
	In      uint64           `json:"in,omitempty"`
	Lost    uint64           `json:"lost,omitempty"` // lines that were dropped until now
}
