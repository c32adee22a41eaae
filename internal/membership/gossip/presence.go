package gossip

// Presence is whether a process takes part in its fleet, leaves it, or yields its name to a successor.
type Presence int32

// The presences of a process.
const (
	Participating Presence = iota // it takes part
	Leaving                       // it shuts down, or is on standby
	Yielding                      // it shuts down, and its name goes to the process that replaces it
)

// SetPresence sets the presence that this process states to others from the next tick on.
func (n *Node) SetPresence(p Presence) { n.presence.Store(int32(p)) }

// applyPresence updates this process's statement with its presence. The caller must hold the lock of the state.
func (n *Node) applyPresence() {
	detector := n.state.detector
	switch Presence(n.presence.Load()) {
	case Participating:
		detector.Rejoin()
	case Leaving:
		detector.Leave(false)
	case Yielding:
		detector.Leave(true)
	}
	n.broadcastOwnStatement()
}
