package gossip

// Presence is what a process states about its own part in the fleet.
type Presence int32

// The presences of a process.
const (
	Participating Presence = iota // it takes part
	Leaving                       // it shuts down, or is on standby
	Yielding                      // it shuts down, and its name goes to the process that takes its place
)

// SetPresence states a presence to the others, from the next tick on.
func (n *Node) SetPresence(p Presence) { n.presence.Store(int32(p)) }

// applyPresence puts the presence into this process's statement; the state is locked.
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
