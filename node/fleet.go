package node

import (
	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/proxy/admin"
)

// join joins the fleet, and starts to follow its log of changes. A node with another's name ends.
func (n *Node) join() error {
	member, err := gossip.Open(gossip.Config{
		Name:        n.config.Name,
		FleetConfig: n.config.fleet,
		Log:         n.log,
		Now:         gossip.BootTime,
		Trace:       n.config.OnTrace,
		OnNameConflict: func(err error) {
			n.log.WithError(err).Error("this process ends")
			n.fatal.Store(&err)
			n.Shutdown()
		},
	})
	if err != nil {
		return err
	}
	n.gossip.Store(member)
	n.follow()
	return nil
}

// leaveFleet leaves the fleet as the node ends. A node that is replaced does not say that it leaves.
func (n *Node) leaveFleet() { n.closeFleet(!n.replaced) }

// closeFleet ends the membership, and the following of the log, if they have begun.
func (n *Node) closeFleet(leave bool) {
	if member := n.gossip.Load(); member != nil {
		member.Close(leave)
	}
	if follower := n.follower.Load(); follower != nil {
		follower.Close()
	}
}

// onLoopIteration tells the membership that the event loop advances. It is called within the loop.
func (n *Node) onLoopIteration() {
	if member := n.gossip.Load(); member != nil {
		member.LoopAdvanced()
	}
}

// onPhaseChange tells the membership how a phase concerns the fleet. It is called within the event loop.
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

// adminFleet returns what operators may ask about the fleet; nil without one.
func (n *Node) adminFleet() admin.Fleet {
	if n.config.fleet == nil {
		return nil
	}
	return fleetView{n}
}

// fleetView is the fleet as operators see it.
type fleetView struct{ node *Node }

// FleetStatus returns how the node takes part in the fleet, and whether it does.
func (v fleetView) FleetStatus() (status any, connected bool) {
	if member := v.node.gossip.Load(); member != nil {
		return v.node.withChanges(member.FleetStatus())
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
