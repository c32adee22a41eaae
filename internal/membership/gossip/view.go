package gossip

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/membership"
	"dahliapin/internal/membership/trace"
)

// View returns the latest view of the membership.
func (n *Node) View() *membership.View { return n.view.Load() }

// publish stores a view as the latest, and logs and traces it if its members or MayBePartitioned have changed.
func (n *Node) publish(view *membership.View) {
	before := n.view.Swap(view)
	if before.Number == view.Number && before.MayBePartitioned == view.MayBePartitioned {
		return
	}
	line := trace.Line{
		Kind:             trace.View,
		Number:           view.Number,
		Fingerprint:      fmt.Sprintf("%016x", view.Fingerprint),
		MayBePartitioned: view.MayBePartitioned,
	}
	for _, node := range view.Nodes {
		line.Members = append(line.Members, string(node))
	}
	n.writeTrace(line)
	n.Log.WithFields(logrus.Fields{
		"members": len(view.Nodes),
		"view":    view.Number,
		"cut_off": view.MayBePartitioned,
		"in":      difference(view.Nodes, before.Nodes),
		"out":     difference(before.Nodes, view.Nodes),
	}).Info("fleet membership changed")
}

// difference returns the names that are in names but not in others. Both lists must be sorted.
func difference(names, others []membership.NodeName) []membership.NodeName {
	var rest []membership.NodeName
	for _, name := range names {
		for len(others) > 0 && others[0] < name {
			others = others[1:]
		}
		if len(others) == 0 || others[0] != name {
			rest = append(rest, name)
		}
	}
	return rest
}
