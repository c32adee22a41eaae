package membership

import (
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

// Member describes one known process in a [View], whether it is a member or not.
type Member struct {
	Process     ProcessID
	Node        NodeName
	Incarnation Incarnation
	Addr        string
	Status      Status
	Since       time.Duration // when the status began, in run time of the process that made the view
	HeardBy     int           // number of trusted processes that hear it
	MissedBy    int           // number of trusted members that miss it
}

// View is the membership as one process sees it. It is immutable.
type View struct {
	// Number counts the changes of Nodes at this process.
	Number uint64
	// Fingerprint is a hash of Nodes: it is equal at all processes that have the same members.
	Fingerprint uint64
	// Nodes are the names of the members in ascending order.
	Nodes []NodeName
	// Members are all known processes, ordered by node and process.
	Members []Member
	// MayBePartitioned is true while this process is removed or isolated, or while so many members are missing that
	// this process may itself be cut off from the fleet. No member is removed meanwhile. Operators see it as "cut_off".
	MayBePartitioned bool
	// Self is the process that made the view.
	Self ProcessID
	// Incarnation is the incarnation of Self; 0 until it has claimed its name.
	Incarnation Incarnation
}

// View returns the latest view.
func (d *Detector) View() *View { return d.view }

// publishView replaces the view, and increments its number if the set of member nodes has changed.
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

// fingerprint returns a hash of a set of names that does not depend on their order.
func fingerprint(names []NodeName) uint64 {
	var sum uint64
	for _, name := range names {
		sum ^= keyhash.String(string(name))
	}
	return sum
}
