package node

import (
	"net/netip"
	"os"
	"time"

	"dahliapin/internal/proxy/handover"
)

const (
	// joinTimeout is for the process that this one replaces to give up its address in the fleet.
	joinTimeout = 10 * time.Second

	// joinRetryInterval is the time between two attempts to join meanwhile.
	joinRetryInterval = 50 * time.Millisecond
)

// inherit returns the sockets of the process that this one replaces, if there is one, and the path at which this one
// may be replaced. Only nodes with an admin server and a port of their own are replaced. Whatever is wrong with the
// folder for it, a node starts as without one.
func (n *Node) inherit() (inherited *handover.Inherited, path string) {
	addr, err := netip.ParseAddrPort(n.config.Listen)
	if n.admin == nil || err != nil || addr.Port() == 0 {
		return nil, ""
	}
	path = handover.Path(os.TempDir(), n.config.Listen)
	inherited, err = handover.Inherit(path)
	if err != nil {
		n.log.WithError(err).Warn("no process can be replaced")
	}
	if inherited != nil {
		n.log.WithField("listeners", len(inherited.Listeners)).Info("taking over from the running process")
	}
	return inherited, path
}

// onSharedLimits is called as two processes of the node begin or cease to share its limits. Once this one is alone, it
// joins the fleet, if it has not.
func (n *Node) onSharedLimits(shared bool) {
	if n.config.limitsApplied {
		n.config.limitMemory(shared)
	}
	if !shared && n.config.fleet != nil && n.gossip.Load() == nil {
		n.joinOnce.Do(func() { go n.joinAfterTakeover() })
	}
}

// joinAfterTakeover joins the fleet once the replaced process has given up its address.
func (n *Node) joinAfterTakeover() {
	deadline := time.Now().Add(joinTimeout)
	for {
		err := n.join()
		if n.Phase() >= Draining { // Serve may have looked for what to close already
			if err == nil {
				n.closeFleet(true)
			}
			return
		}
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			n.log.WithError(err).Error("this node does not know the others")
			return
		}
		time.Sleep(joinRetryInterval)
	}
}
