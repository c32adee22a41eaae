package membership

import (
	"slices"
	"time"
)

const (
	// gatherWindow is how long processes that are due for a change of status wait for others that are nearly due, so
	// that one failure of several processes leads to one change of the view.
	gatherWindow = 400 * time.Millisecond
	// leftRetention is how long a process that left is shown in views.
	leftRetention = 5 * time.Second
	// evaluationInterval spaces out evaluations in a large fleet, as each visits all processes. The minimum time
	// between two evaluations is 0 in a small fleet, and each doubling of the size adds half of evaluationInterval.
	evaluationInterval = 50 * time.Millisecond
)

// evaluation is the state of the periodic evaluation of all statuses.
type evaluation struct {
	at          time.Duration // run time of the last evaluation
	changed     bool          // statements, statuses or neighbours have changed since
	pending     bool          // a status may change as time passes
	frozen      bool          // no member is removed: see mayBePartitioned
	digest      uint64        // of the statements of all members when evidence was last counted
	memberCount int           // when evidence was last counted
}

// evaluate updates the status of each process, and publishes a new view if anything has changed.
func (d *Detector) evaluate() {
	elapsed := d.runTime - d.evaluation.at
	if elapsed < d.scaledDelay(evaluationInterval)-evaluationInterval {
		return
	}
	d.evaluation.at = d.runTime
	if !d.evaluation.changed && !d.evaluation.pending {
		return
	}
	if d.evaluation.changed {
		d.countEvidence()
	}
	frozen := d.mayBePartitioned()
	viewChanged := d.evaluation.changed || frozen != d.evaluation.frozen
	d.evaluation.frozen = frozen
	d.evaluation.changed = false
	d.evaluation.pending = frozen

	var removals, rejoins batch
	for _, p := range d.peers.sorted() {
		switch {
		case p.Leaving && p.status != Left:
			d.setStatus(p, Left)
		case p.status == Left:
			d.evaluateLeft(p)
		case p.status == Joining:
			d.evaluateJoining(p)
		case p.status == Removed:
			d.evaluateRemoved(p, elapsed, &rejoins)
		default:
			if d.evaluateMember(p, elapsed, &removals) {
				viewChanged = true
			}
		}
	}
	for _, p := range rejoins.ready(d.config.RejoinDelay) {
		d.setStatus(p, Alive)
	}
	for _, p := range removals.ready(d.config.RemovalDelay) {
		d.setStatus(p, Removed)
	}
	if viewChanged || d.evaluation.changed {
		d.resolveNames()
		d.publishView()
	}
}

// evaluateLeft makes a process that takes back its leave join again, and forgets one that left after leftRetention.
func (d *Detector) evaluateLeft(p *peer) {
	if !p.Leaving {
		d.setStatus(p, Joining)
		return
	}
	d.evaluation.pending = true
	if p != d.self && d.runTime-p.since >= leftRetention {
		d.forget(p)
	}
}

// evaluateJoining makes a process a member once it has claimed its name and enough processes hear it.
func (d *Detector) evaluateJoining(p *peer) {
	e := &p.evidence
	isHeard := e.heardBy > 0 && e.heardBy >= e.missedByTrusted
	if p.Incarnation > 0 && isHeard && (p == d.self || d.isWellConnected(p)) {
		d.setStatus(p, Alive)
		return
	}
	d.evaluation.pending = true
	if p != d.self && d.runTime-p.since >= d.config.ForgetAfter {
		d.forget(p)
	}
}

// evaluateRemoved lets a process rejoin once enough others have heard it for RejoinDelay. If they do not hear it, it is
// forgotten ForgetAfter after its removal.
func (d *Detector) evaluateRemoved(p *peer, elapsed time.Duration, rejoins *batch) {
	d.evaluation.pending = true
	e := &p.evidence
	p.sustainedFor += elapsed
	if e.heardBy == 0 || e.heardBy < e.missedByTrusted {
		p.sustainedFor = 0
	}
	switch {
	case p.sustainedFor >= d.config.RejoinDelay:
		rejoins.due = append(rejoins.due, p)
	case p.sustainedFor > 0:
		rejoins.othersNearlyDue = true
	case p != d.self && d.runTime-p.since >= d.config.ForgetAfter:
		d.forget(p)
	}
}

// evaluateMember removes a member that enough processes have missed for RemovalDelay. It reports whether the process
// became suspected or is no longer suspected, which does not change the set of members.
func (d *Detector) evaluateMember(p *peer, elapsed time.Duration, removals *batch) (viewChanged bool) {
	if !d.isMissed(p) || d.evaluation.frozen {
		p.sustainedFor = 0
		status := Alive
		if p.evidence.missedByAny > 0 {
			status = Suspected
		}
		if status == p.status {
			return false
		}
		p.status = status
		return true
	}
	d.evaluation.pending = true
	p.sustainedFor += elapsed
	switch {
	case p.sustainedFor >= d.config.RemovalDelay:
		removals.due = append(removals.due, p)
	case p.sustainedFor >= d.config.RemovalDelay-gatherWindow:
		removals.othersNearlyDue = true
	}
	return false
}

// batch collects processes that are due for the same change of status.
type batch struct {
	due             []*peer
	othersNearlyDue bool // others are about to be due
}

// ready returns the processes that are due after a delay. It returns none while others are nearly due, unless one has
// waited for them for longer than gatherWindow.
func (b *batch) ready(delay time.Duration) []*peer {
	waitedLong := func(p *peer) bool { return p.sustainedFor >= delay+gatherWindow }
	if b.othersNearlyDue && !slices.ContainsFunc(b.due, waitedLong) {
		return nil
	}
	return b.due
}

// setStatus makes a change of status that affects who is a member or whose statements count. Three other places set a
// status: claimName makes this process a member of its own view at once and keeps sustainedFor; evaluateMember switches
// between Alive and Suspected, which changes neither the membership nor Since; forget drops the process.
func (d *Detector) setStatus(p *peer, status Status) {
	p.status = status
	p.since = d.runTime
	p.sustainedFor = 0
	d.evaluation.changed = true
}

// forget removes a process from the table of peers. No other code does so.
func (d *Detector) forget(p *peer) {
	p.status = Forgotten
	d.peers.remove(p)
	d.contacts.add(p, d.runTime)
	d.evaluation.changed = true
	d.neighbours.stale = true
}
