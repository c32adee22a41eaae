package membership

// evidence is what other processes state about one, counted anew whenever a statement or status has changed.
type evidence struct {
	heardBy            int // processes that are believed and hear it, those that join included
	missedByTrusted    int // members that are believed and miss it
	missedByAny        int // members that miss it, whether their statements may be old or not
	isolatedNeighbours int // members whose neighbour it is and that doubt themselves: they can't tell
}

const (
	// freezeFraction is the share of members above which so many are missing at once that nobody is removed, where all
	// hear one another.
	freezeFraction = 0.5
	// freezeFractionRings is the same where rings are used: not all that are missing are missed by two there.
	freezeFractionRings = 0.4
	// recentRemovalDelays is the time, in removal delays, for which a removed one counts as missing at once with
	// others.
	recentRemovalDelays = 4
)

// countEvidence counts for each process who hears and who misses it, and makes the digest of all statements of members.
func (d *Detector) countEvidence() {
	d.evaluation.digest = 0
	d.evaluation.memberCount = 0
	for _, p := range d.peers.sorted() {
		p.evidence = evidence{}
		// of members only: one that is out is forgotten here sooner than elsewhere
		if p.isMember() {
			d.evaluation.digest ^= p.statementHash()
			d.evaluation.memberCount++
		}
	}
	d.countMissedByAny()
	for _, observer := range d.peers.sorted() {
		if d.isCurrent(observer) {
			d.countObserver(observer)
		}
	}
}

// countMissedByAny counts the members that miss each process, current or not: isCurrent goes by that.
func (d *Detector) countMissedByAny() {
	for _, observer := range d.peers.sorted() {
		if !observer.isEligibleObserver() || !observer.isMember() {
			continue
		}
		for _, id := range observer.Misses {
			if p := d.peers.byID[id]; p != nil {
				p.evidence.missedByAny++
			}
		}
	}
}

// countObserver counts what one process states about its neighbours. One that is not a member yet can only speak for
// others, not against them.
func (d *Detector) countObserver(observer *peer) {
	if observer.Isolated && observer.isMember() {
		// guards against a few that decide where most can't tell
		d.forEach(observer.Hears, func(e *evidence) { e.isolatedNeighbours++ })
		d.forEach(observer.Misses, func(e *evidence) { e.isolatedNeighbours++ })
	}
	if !observer.isEligibleObserver() {
		return
	}
	d.forEach(observer.Hears, func(e *evidence) { e.heardBy++ })
	if observer.isMember() {
		d.forEach(observer.Misses, func(e *evidence) { e.missedByTrusted++ })
	}
}

func (d *Detector) forEach(ids []ProcessID, count func(*evidence)) {
	for _, id := range ids {
		if p := d.peers.byID[id]; p != nil {
			count(&p.evidence)
		}
	}
}

// isEligibleObserver reports whether what a process states about others counts at all.
func (p *peer) isEligibleObserver() bool {
	return !p.Isolated && !p.Leaving && (p.isMember() || p.status == Joining)
}

// isCurrent reports whether a process's statement can be taken for how things are now: one that several miss may have
// made it long ago, unless this process hears it itself. Guards against the two sides of a partition whose last
// statements discredit one another for good.
func (d *Detector) isCurrent(observer *peer) bool {
	return observer == d.self || observer.evidence.missedByAny < d.rules.minObservers || d.isHeard(observer)
}

// isMissed reports whether the evidence is enough to remove a process.
func (d *Detector) isMissed(p *peer) bool {
	e := &p.evidence
	if e.missedByTrusted < d.rules.minObservers {
		return false
	}
	return !d.rules.requireMajority || e.missedByTrusted > e.heardBy+e.isolatedNeighbours
}

// isMissedForName reports whether enough processes miss one to take it for dead where its name is concerned. Unlike
// isMissed it leaves doubtfulFor out: members in doubt can't keep the name of a process from its successor.
func (d *Detector) isMissedForName(p *peer) bool {
	return p.evidence.missedByTrusted >= d.rules.minObservers && p.evidence.missedByTrusted > p.evidence.heardBy
}

// mayBePartitioned reports whether this process doubts itself, or so many are missing at once that it may well be the
// one which is cut off. Guards against the sides of a partition that remove each other, and against a process that
// takes all others for dead.
func (d *Detector) mayBePartitioned() bool {
	if d.self.Isolated || !d.rules.freezeRemovals {
		return d.self.Isolated
	}
	recently := recentRemovalDelays * d.config.RemovalDelay
	members := 0
	missing := 0
	for _, p := range d.peers.sorted() {
		switch {
		case p.isMember():
			members++
			if p.evidence.missedByAny >= d.rules.minObservers {
				missing++
			}
		case p.status == Removed && d.runTime-p.since < recently:
			members++
			missing++
		}
	}
	fraction := freezeFraction
	if len(d.peers.byID) > maxNeighbours+1 {
		fraction = freezeFractionRings
	}
	return members > 1 && float64(missing) > fraction*float64(members)
}

// isWellConnected reports whether a process that joins hears half of those that it should, and half of them hear it. Guards
// against one that is cut off in one direction from its start: it would be a member until it doubts itself, or the
// others to miss it.
func (d *Detector) isWellConnected(p *peer) bool {
	others := d.evaluation.memberCount
	for _, namesake := range d.peers.ofNode(p.Node) {
		if namesake.isMember() {
			others--
			break
		}
	}
	hears := len(p.Hears)
	connected := min(hears, p.evidence.heardBy)
	return hears > 0 && 2*connected >= min(others, maxNeighbours)
}
