package membership

import (
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

// Member is what a view tells of one process, whether it is a member or not.
type Member struct {
	Process     ProcessID
	Node        NodeName
	Incarnation Incarnation
	Addr        string
	Status      Status
	Since       time.Duration // run time of the process whose view it is when the status began
	HeardBy     int           // how many processes that are believed hear it
	MissedBy    int           // how many members that are believed miss it
}

// View is the membership as one process knows it. Nobody changes it once it is made.
type View struct {
	// Number counts the changes of Nodes at this process.
	Number uint64
	// Fingerprint is a hash of Nodes: the same at all processes that have the same members.
	Fingerprint uint64
	// Nodes are the names of the members, sorted.
	Nodes []NodeName
	// Members are all processes that are known, by node and process.
	Members []Member
	// MayBePartitioned is whether this process is removed, doubts itself, or so many are missing that it may be the
	// one which is cut off: no member is removed meanwhile. Operators see it as "cut_off".
	MayBePartitioned bool
	// Self is the process whose view it is.
	Self ProcessID
	// Incarnation is Own's; 0 while it has not taken its name.
	Incarnation Incarnation
}

// View returns the latest view.
func (d *Detector) View() *View { return d.view }

// publishView makes a new view. Its number goes up where another set of nodes are members.
func (d *Detector) publishView() {
	d.peers.sorted()
	view := &View{
		Number:           d.view.Number,
		Fingerprint:      d.view.Fingerprint,
		Nodes:            make([]NodeName, 0, len(d.peers.byName)),
		Members:          make([]Member, 0, len(d.peers.byName)),
		MayBePartitioned: d.evaluation.frozen || d.self.status == Removed,
		Self:             d.self.Process,
		Incarnation:      d.self.Incarnation,
	}
	for _, p := range d.peers.byName {
		view.Members = append(view.Members, p.describe())
		if p.isMember() {
			view.Nodes = append(view.Nodes, p.Node)
		}
	}
	view.Nodes = slices.Compact(view.Nodes)
	if !slices.Equal(view.Nodes, d.view.Nodes) {
		view.Number++
		view.Fingerprint = fingerprint(view.Nodes)
	}
	d.view = view
}

func (p *peer) describe() Member {
	return Member{
		Process:     p.Process,
		Node:        p.Node,
		Incarnation: p.Incarnation,
		Addr:        p.Addr,
		Status:      p.status,
		Since:       p.since,
		HeardBy:     p.evidence.heardBy,
		MissedBy:    p.evidence.missedByTrusted,
	}
}

// fingerprint hashes a set of names, whatever their order.
func fingerprint(names []NodeName) uint64 {
	var sum uint64
	for _, name := range names {
		sum ^= keyhash.String(string(name))
	}
	return sum
}
