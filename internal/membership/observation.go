package membership

import "slices"

// observeNeighbours puts into this process's statement which of its neighbours it hears and misses, and whether it
// doubts itself.
func (d *Detector) observeNeighbours() {
	hears, misses := d.heardAndMissed()
	isolated := d.rules.detectIsolation && d.isIsolated()
	if isolated {
		// what it says of others counts for nothing; it stays as it was, so that there is nothing new to gossip
		hears = d.self.Hears
		misses = d.self.Misses
	}
	if isolated == d.self.Isolated {
		if slices.Equal(hears, d.self.Hears) && slices.Equal(misses, d.self.Misses) {
			return
		}
		// several changes go into one statement
		since := d.runTime - d.statement.changedAt
		if d.statement.changedAt > 0 && since < d.scaledDelay(d.config.HeartbeatInterval/2) {
			return
		}
	}
	if d.self.Isolated && !isolated {
		d.statement.isolationEndedAt = d.runTime
	}
	d.self.Hears = hears
	d.self.Misses = misses
	d.self.Isolated = isolated
	d.reviseStatement()
}

// isIsolated reports whether this process hears less than half of the neighbours that it should hear: it may well be
// the one that is cut off, and is not believed.
//
// Guards against a partition in which each side goes by those that are left to it and removes the other: the
// neighbours that were removed count as well as long as they are remembered.
func (d *Detector) isIsolated() bool {
	expected := 0
	heard := 0
	for _, p := range d.neighbours.peers {
		withinTimeout := d.silence(p) < d.config.HeartbeatTimeout
		if withinTimeout && !p.heard {
			continue // it has had no time to be heard
		}
		heardSinceGap := withinTimeout && p.silentSince() >= d.resumedAt
		if heardSinceGap && (p.isMember() || p.isolatedSince < 0) {
			expected++
			heard++
			continue
		}
		if (p.isMember() || p.status == Removed) && p.Node != d.self.Node && !d.successorIsHeard(p) {
			expected++
		}
	}
	return 2*heard < expected
}

// successorIsHeard reports whether another process of the same node is heard. Guards against a fleet of which many
// were restarted at once: each process that stayed would doubt itself for the old ones that it misses, and so none of
// the new ones would be believed to be there.
func (d *Detector) successorIsHeard(p *peer) bool {
	return slices.ContainsFunc(d.peers.ofNode(p.Node), func(o *peer) bool {
		return o != p && d.isHeard(o)
	})
}

// heardAndMissed returns the neighbours that this process hears, and those that it misses. A new neighbour that has
// had no time to be heard is neither.
func (d *Detector) heardAndMissed() (hears, misses []ProcessID) {
	hears = make([]ProcessID, 0, maxNeighbours)
	misses = make([]ProcessID, 0, maxNeighbours)
	for _, p := range d.neighbours.peers {
		switch {
		case d.silence(p) >= d.config.HeartbeatTimeout || d.countsAsMissed(p):
			misses = append(misses, p.Process)
		case p.heard:
			hears = append(hears, p.Process)
		}
	}
	return hears, misses
}

// countsAsMissed reports whether a neighbour counts as missed though it is heard, as it has stated for long that it
// doubts itself. Guards against a process that all hear and that hears nobody: it would stay a member for good; and,
// once it is out, it would be in again before it hears anybody.
func (d *Detector) countsAsMissed(p *peer) bool {
	if p.isolatedSince < 0 || d.self.Isolated {
		return false
	}
	if p.status == Removed {
		return true
	}
	// those that were cut off along with this process may say for a while yet that they doubt themselves
	since := max(p.isolatedSince, p.neighbourSince, d.statement.isolationEndedAt)
	return d.runTime-since >= d.config.IsolationTimeout
}
