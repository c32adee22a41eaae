package node

import (
	"time"

	"dahliapin/internal/membership/gossip"
	"dahliapin/internal/proxy/admin"
)

const (
	takeOverBy    = 10 * time.Second // for the process before this one to leave its place among the nodes
	takeOverAgain = 50 * time.Millisecond
)

// join has the node know the others.
func (n *Node) join() error {
	post, err := gossip.Open(gossip.Config{Name: n.posting.Name, FleetConfig: n.posting.charter, Log: n.log, Now: gossip.BootTime, Trace: n.posting.OnTrace,
		OnNameConflict: func(err error) {
			n.log.WithError(err).Error("this process ends")
			n.fault.Store(&err)
			n.Shutdown()
		}})
	if err == nil {
		n.post.Store(post)
		n.follow()
	}
	return err
}

// takeOver joins once the process before this one has left its address free.
func (n *Node) takeOver() {
	for by := time.Now().Add(takeOverBy); ; time.Sleep(takeOverAgain) {
		err := n.join()
		if n.Phase() >= Draining { // it was ended meanwhile, and nobody else would close it
			if err == nil {
				n.post.Load().Close(true)
				if follows := n.follows.Load(); follows != nil {
					follows.Close()
				}
			}
			return
		}
		if err == nil {
			return
		}
		if time.Now().After(by) {
			n.log.WithError(err).Error("this node does not know the others")
			return
		}
	}
}

// turned is called at each turn of the loop.
func (n *Node) turned() {
	if post := n.post.Load(); post != nil {
		post.LoopAdvanced()
	}
}

// moved hears of each phase, within the loop.
func (n *Node) moved(to Phase) {
	was := Phase(n.phase.Swap(int32(to)))
	post := n.post.Load()
	if post == nil {
		return
	}
	switch {
	case to == Draining:
		stance := gossip.Leaving
		if n.yields = n.relay.Replaced(); n.yields {
			stance = gossip.Yielding
		}
		post.SetPresence(stance)
	case to == Standby:
		post.SetPresence(gossip.Leaving)
	case was == Standby && to != Standby:
		post.SetPresence(gossip.Staying)
	}
}

// fleet is what operators may ask of the others; nil where there are none.
func (n *Node) fleet() admin.Fleet {
	if n.posting.charter == nil {
		return nil
	}
	return known{n}
}

type known struct{ n *Node }

// FleetStatus is how the node stands among the others.
func (k known) FleetStatus() (any, bool) {
	if post := k.n.post.Load(); post != nil {
		return k.n.withChanges(post.FleetStatus())
	}
	return struct {
		Waits string `json:"waits"`
	}{"for the process before this one to go"}, false
}

// FleetMembers are those that are known.
func (k known) FleetMembers() any {
	if post := k.n.post.Load(); post != nil {
		return post.FleetMembers()
	}
	return []struct{}{}
}

// BlockLoop has the loop stand still, or go on, while all else in the process runs. It is for rehearsals: a node that is alive to its peers
// and dead to its clients. It is to be called from one goroutine.
func (n *Node) BlockLoop() {
	if n.hung != nil {
		close(n.hung)
		n.hung = nil
		return
	}
	n.hung = make(chan struct{})
	n.relay.BlockLoop(n.hung)
}
