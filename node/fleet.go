package node

import (
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/proxy/admin"
)

// join joins the fleet and starts to follow its replicated log. A node whose name is in use by another process stops.
func (n *Node) join() error {
	member, err := gossip.Open(gossip.Config{
		Name:        n.config.Name,
		FleetConfig: n.config.fleet,
		Log:         n.log,
		Now:         gossip.BootTime,
		Trace:       n.config.OnTrace,
		OnNameConflict: func(err error) {
			n.log.WithError(err).Error("node name is in use by another process; shutting down")
			n.fatal.Store(&err)
			n.Shutdown()
		},
	})
	if err != nil {
		return err
	}
	n.gossip.Store(member)
	n.startFollower()
	return nil
}

// leaveFleet ends the membership when the node stops. A process that has been replaced does not announce that the node
// leaves.
func (n *Node) leaveFleet() { n.closeFleet(!n.replaced) }

// closeFleet closes the fleet member and the log follower, if they have been started.
func (n *Node) closeFleet(leave bool) {
	if member := n.gossip.Load(); member != nil {
		member.Close(leave)
	}
	if follower := n.follower.Load(); follower != nil {
		follower.Close()
	}
}

// onLoopIteration tells the fleet member that the event loop advances. It is called within the loop.
func (n *Node) onLoopIteration() {
	if member := n.gossip.Load(); member != nil {
		member.LoopAdvanced()
	}
}

// onPhaseChange announces a change of phase to the fleet where it matters there. It is called within the event loop.
func (n *Node) onPhaseChange(phase Phase) {
	before := Phase(n.phase.Swap(int32(phase)))
	member := n.gossip.Load()
	if member == nil {
		return
	}
	switch {
	case phase == Draining:
		n.replaced = n.proxy.Replaced()
		if n.replaced {
			member.SetPresence(gossip.Yielding)
		} else {
			member.SetPresence(gossip.Leaving)
		}
	case phase == Standby:
		member.SetPresence(gossip.Leaving)
	case before == Standby:
		member.SetPresence(gossip.Participating)
	}
}

// adminFleet returns the view of the fleet for the admin server, or nil without a fleet.
func (n *Node) adminFleet() admin.Fleet {
	if n.config.fleet == nil {
		return nil
	}
	return fleetView{n}
}

// fleetView is the view of the fleet for the admin server.
type fleetView struct{ node *Node }

// FleetStatus returns the state of the node within the fleet and whether it is connected to it.
func (v fleetView) FleetStatus() (status any, connected bool) {
	if member := v.node.gossip.Load(); member != nil {
		return v.node.withFollowerStatus(member.FleetStatus())
	}
	waiting := struct {
		Waits string `json:"waits"`
	}{"for the process before this one to go"}
	return waiting, false
}

// FleetMembers returns the members that the node knows.
func (v fleetView) FleetMembers() any {
	if member := v.node.gossip.Load(); member != nil {
		return member.FleetMembers()
	}
	return []struct{}{}
}
