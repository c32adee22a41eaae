package membership

// evidence is what other processes report about one process. It is counted again whenever a statement or status has
// changed. An observer is trusted if it is eligible and its statement is current.
type evidence struct {
	heardBy            int // trusted processes that hear it, including those that are joining
	missedByTrusted    int // trusted members that miss it
	missedByAny        int // members that miss it, including those whose statements may be outdated
	isolatedNeighbours int // isolated members that have it as a neighbour, whose reports about it are not trusted
}

const (
	// freezeFraction is the fraction of missing members above which no member is removed, in a fleet in which all
	// processes are neighbours.
	freezeFraction = 0.5
	// freezeFractionRings is the same in a fleet with rings. It is lower because not every missing process is missed by
	// two observers there.
	freezeFractionRings = 0.4
	// recentRemovalDelays is the time, in removal delays, for which a removed process counts as missing at the same
	// time as others.
	recentRemovalDelays = 4
)

// countEvidence counts for each process who hears it and who misses it, and computes the digest of the statements of
// all members.
func (d *Detector) countEvidence() {
	d.evaluation.digest = 0
	d.evaluation.memberCount = 0
	for _, p := range d.peers.sorted() {
		p.evidence = evidence{}
		// Only members count: this process may forget a removed process sooner than others do, so digests over all
		// known processes would differ.
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

// countMissedByAny counts the members that miss each process, whether their statements are current or not: isCurrent
// depends on these counts.
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

// countObserver counts what one process reports about its neighbours. A process that is not a member yet can report
// that it hears others, but not that it misses them.
func (d *Detector) countObserver(observer *peer) {
	if observer.Isolated && observer.isMember() {
		// Isolated members count against a removal; otherwise a few observers would decide while most are not trusted.
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

// isEligibleObserver reports whether the reports of a process about others count at all.
func (p *peer) isEligibleObserver() bool {
	return !p.Isolated && !p.Leaving && (p.isMember() || p.status == Joining)
}

// isCurrent reports whether the statement of a process can be taken as up to date. One that several members miss may
// have made it long ago, unless this process hears it. Without this rule, the last statements of the two sides of a
// partition would discredit each other permanently.
func (d *Detector) isCurrent(observer *peer) bool {
	return observer == d.self || observer.evidence.missedByAny < d.rules.minObservers || d.isHeard(observer)
}

// isMissed reports whether the evidence is sufficient to remove a process.
func (d *Detector) isMissed(p *peer) bool {
	e := &p.evidence
	if e.missedByTrusted < d.rules.minObservers {
		return false
	}
	return !d.rules.requireMajority || e.missedByTrusted > e.heardBy+e.isolatedNeighbours
}

// isMissedForName reports whether enough members miss a process to consider it dead for the resolution of names. Unlike
// isMissed it ignores isolatedNeighbours, so that isolated members do not keep a successor from taking over the name.
func (d *Detector) isMissedForName(p *peer) bool {
	return p.evidence.missedByTrusted >= d.rules.minObservers && p.evidence.missedByTrusted > p.evidence.heardBy
}

// mayBePartitioned reports whether this process is isolated, or so many members are missing at once that it may itself
// be cut off. This keeps the sides of a partition from removing each other, and a process from considering all others
// dead.
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

// isWellConnected reports whether a joining process hears half of its expected neighbours and is heard by half of them.
// Otherwise a process that is cut off in one direction from its start would be a member until it detects its isolation
// or the others miss it.
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
