package node

import (
	"net/netip"
	"os"
	"time"

	"dahliapin/internal/proxy/handover"
)

const (
	// joinTimeout bounds the time that the replaced process may take to release its fleet address.
	joinTimeout = 10 * time.Second

	// joinRetryInterval is the time between attempts to join until then.
	joinRetryInterval = 50 * time.Millisecond
)

// inherit returns the sockets of the process that this one takes over from, if there is one, and the path of the
// handover socket for the next takeover. Only nodes with an admin server and a fixed port allow a takeover. If the
// directory of the handover socket is unusable, the node starts without a takeover.
func (n *Node) inherit() (inherited *handover.Inherited, path string) {
	addr, err := netip.ParseAddrPort(n.config.Listen)
	if n.admin == nil || err != nil || addr.Port() == 0 {
		return nil, ""
	}
	path = handover.Path(os.TempDir(), n.config.Listen)
	inherited, err = handover.Inherit(path)
	if err != nil {
		n.log.WithError(err).Warn("takeover is not possible; starting without one")
	}
	if inherited != nil {
		n.log.WithField("listeners", len(inherited.Listeners)).Info("taking over from the running process")
	}
	return inherited, path
}

// onSharedLimits is called when two processes of the node begin or cease to share its limits. Once this process is
// alone, it joins the fleet if it has not done so.
func (n *Node) onSharedLimits(shared bool) {
	if n.config.limitsApplied {
		n.config.limitMemory(shared)
	}
	if !shared && n.config.fleet != nil && n.gossip.Load() == nil {
		n.joinOnce.Do(func() { go n.joinAfterTakeover() })
	}
}

// joinAfterTakeover joins the fleet once the replaced process has released its address.
func (n *Node) joinAfterTakeover() {
	deadline := time.Now().Add(joinTimeout)
	for {
		err := n.join()
		if n.Phase() >= Draining { // Serve may already have closed what was open
			if err == nil {
				n.closeFleet(true)
			}
			return
		}
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			n.log.WithError(err).Error("joining the fleet after the takeover failed; running without it")
			return
		}
		time.Sleep(joinRetryInterval)
	}
}
