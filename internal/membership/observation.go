package membership

import "slices"

// observeNeighbours updates this process's statement with the neighbours that it hears and misses, and whether it is
// isolated.
func (d *Detector) observeNeighbours() {
	hears, misses := d.heardAndMissed()
	isolated := d.rules.detectIsolation && d.isIsolated()
	if isolated {
		// Reports of an isolated process do not count. Keeping them unchanged avoids gossip that has no effect.
		hears = d.self.Hears
		misses = d.self.Misses
	}
	if isolated == d.self.Isolated {
		if slices.Equal(hears, d.self.Hears) && slices.Equal(misses, d.self.Misses) {
			return
		}
		// Several changes are combined into one statement.
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

// isIsolated reports whether this process hears less than half of its expected neighbours. It may well be cut off
// itself, so its reports are not trusted.
//
// Neighbours that were removed count as expected until they are forgotten. Otherwise each side of a partition would
// count only the neighbours that remain on its side, and remove the other side.
func (d *Detector) isIsolated() bool {
	expected := 0
	heard := 0
	for _, p := range d.neighbours.peers {
		withinTimeout := d.silence(p) < d.config.HeartbeatTimeout
		if withinTimeout && !p.heard {
			continue // it has not had time to be heard
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

// successorIsHeard reports whether another process of the same node is heard. Otherwise, after a restart of many
// processes at once, each remaining process would consider itself isolated as it misses the old ones, and its reports
// about the new ones would not be trusted.
func (d *Detector) successorIsHeard(p *peer) bool {
	return slices.ContainsFunc(d.peers.ofNode(p.Node), func(o *peer) bool {
		return o != p && d.isHeard(o)
	})
}

// heardAndMissed returns the neighbours that this process hears and those that it misses. A new neighbour that has not
// had time to be heard is in neither list.
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

// countsAsMissed reports whether a neighbour is reported as missed although it is heard, because it has reported itself
// as isolated for IsolationTimeout. Otherwise a process that all hear but that hears nobody would stay a member
// permanently, and a removed one would rejoin before it hears anybody.
func (d *Detector) countsAsMissed(p *peer) bool {
	if p.isolatedSince < 0 || d.self.Isolated {
		return false
	}
	if p.status == Removed {
		return true
	}
	// Processes that were cut off along with this one may report themselves as isolated for some time after it
	// recovers.
	since := max(p.isolatedSince, p.neighbourSince, d.statement.isolationEndedAt)
	return d.runTime-since >= d.config.IsolationTimeout
}
