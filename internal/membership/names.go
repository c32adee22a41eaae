package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// joinClaimPeriods is the time, in claim periods, by which a process that joins has taken its name and is heard, or
// will not be.
const joinClaimPeriods = 4

// NameConflictError says that another process has this one's name, so that this one has to end.
type NameConflictError struct {
	Node  NodeName
	Addr  string // of the other process
	Taken bool   // the other took the name although this one had it; else it had it before and lives
}

func (e *NameConflictError) Error() string {
	if e.Taken {
		return fmt.Sprintf("another process has taken the name %s, at %s", e.Node, e.Addr)
	}
	return fmt.Sprintf("another process has the name %s and lives, at %s", e.Node, e.Addr)
}

// NameConflict returns a *NameConflictError once this process has to end as another one has its name, and nil until
// then.
func (d *Detector) NameConflict() error { return d.conflict }

// hasPrecedence reports whether of two processes with one name this one has it: the one with the later incarnation,
// and of two with the same the lower id.
func (p *peer) hasPrecedence(o *peer) bool {
	return cmp.Or(-cmp.Compare(p.Incarnation, o.Incarnation), cmp.Compare(p.Process, o.Process)) < 0
}

// namesakes returns the other processes that have this one's name, but for those that leave.
func (d *Detector) namesakes() []*peer {
	var namesakes []*peer
	for _, p := range d.peers.ofNode(d.self.Node) {
		if p != d.self && !p.Leaving {
			namesakes = append(namesakes, p)
		}
	}
	return namesakes
}

// claimName takes the node's name once no other process that has it lives, or finds that this process has to end.
// Guards against one name started twice: who has the name and lives keeps it, and of two that start at once the same
// one gives way at every process.
func (d *Detector) claimName() {
	if d.conflict != nil {
		return
	}
	if d.self.Incarnation > 0 {
		d.supersedeDeadNamesakes()
		return
	}
	if !d.nameIsYielded() && d.runTime < d.claimDelay() {
		return
	}
	latest := Incarnation(0)
	for _, p := range d.namesakes() {
		if d.keepsName(p) {
			d.conflict = &NameConflictError{Node: p.Node, Addr: p.Addr}
			return
		}
		latest = max(latest, p.Incarnation)
	}
	d.self.Incarnation = latest + 1
	d.self.status = Alive
	d.self.since = d.runTime
	d.neighbours.stale = true
	d.reviseStatement()
}

// keepsName reports whether a process with this one's name lives and had the name first.
func (d *Detector) keepsName(p *peer) bool {
	lives := p.Addr != d.self.Addr && p.heard && d.runTime-p.lastHeartbeat < d.config.HeartbeatTimeout && !p.YieldsName
	return lives && (p.Incarnation > 0 || p.Process < d.self.Process)
}

// supersedeDeadNamesakes takes the incarnation after that of a dead process with this one's name. Guards against a process
// that took its name before it had heard of its predecessor: with a lower incarnation, or the same and a higher id, it
// would lose the name to the dead one.
func (d *Detector) supersedeDeadNamesakes() {
	for _, p := range d.namesakes() {
		if p.hasPrecedence(d.self) && d.isDeadNamesake(p) {
			d.self.Incarnation = p.Incarnation + 1
			d.neighbours.stale = true
			d.reviseStatement()
		}
	}
}

// isDeadNamesake reports whether a process with this one's name can't be alive, as this one has its address, or is
// missed by enough.
func (d *Detector) isDeadNamesake(p *peer) bool {
	return p.Addr == d.self.Addr || d.isMissedForName(p)
}

// nameIsYielded reports whether a process with this one's name gives it up.
func (d *Detector) nameIsYielded() bool {
	return slices.ContainsFunc(d.namesakes(), func(p *peer) bool { return p.YieldsName })
}

// claimDelay returns the run time from which on this process may take its name: each process that may have it has had
// the time to show that it lives.
func (d *Detector) claimDelay() time.Duration {
	delay := d.config.ClaimPeriod
	if !d.sync.completed && (d.sync.statementReceived || len(d.contacts.seeds) > 0) {
		// somebody may yet tell who has the name
		delay += d.config.ClaimPeriod
		if neighbours := d.neighbours.peers; d.sync.statementReceived && len(neighbours) > 0 {
			d.requestSync(neighbours[int(d.random.Float64()*float64(len(neighbours)))].Addr)
		}
	}
	for _, p := range d.namesakes() {
		if d.isDeadNamesake(p) {
			return 0
		}
		delay = max(delay, p.firstSeen+d.config.ClaimPeriod)
	}
	return delay
}

// resolveNames leaves one process to each name.
func (d *Detector) resolveNames() {
	if !d.peers.hasSharedNames() {
		return
	}
	holders := d.nameHolders()
	d.forgetReplaced(holders)
	d.forgetDuplicates(holders)
}

// nameHolders returns for each name the member that has it.
func (d *Detector) nameHolders() map[NodeName]*peer {
	holders := map[NodeName]*peer{}
	for _, p := range d.peers.sorted() {
		if !p.isMember() {
			continue
		}
		holder := holders[p.Node]
		if holder == nil || p.hasPrecedence(holder) {
			holders[p.Node] = p
		}
	}
	return holders
}

// forgetReplaced forgets members that nobody hears and that have a successor. Guards against a dead process that stays
// a member at a process which started late, as its successor is not a member either.
func (d *Detector) forgetReplaced(holders map[NodeName]*peer) {
	for _, p := range d.peers.sorted() {
		if p == d.self || !p.isMember() || p.evidence.heardBy > 0 || d.evaluation.frozen {
			continue
		}
		if slices.ContainsFunc(d.peers.ofNode(p.Node), func(o *peer) bool { return d.replaces(o, p) }) {
			d.forget(p)
			delete(holders, p.Node)
		}
	}
}

// replaces reports whether a process succeeds another and won't become a member in its place by itself: one that has
// just started will, unless it is known to be silent.
func (d *Detector) replaces(successor, p *peer) bool {
	if !successor.succeeds(p) {
		return false
	}
	hasHadTime := d.runTime-successor.firstSeen >= joinClaimPeriods*d.config.ClaimPeriod
	return successor.status != Joining || hasHadTime || d.isMissedForName(successor)
}

// forgetDuplicates forgets all processes whose name another member has; where that is this process's name, it has to
// end.
func (d *Detector) forgetDuplicates(holders map[NodeName]*peer) {
	for _, p := range d.peers.sorted() {
		holder := holders[p.Node]
		if holder == nil || holder == p || p.Incarnation == 0 || p.status == Left || !holder.hasPrecedence(p) {
			continue
		}
		if p != d.self {
			d.forget(p)
			continue
		}
		if d.conflict == nil {
			d.conflict = &NameConflictError{Node: holder.Node, Addr: holder.Addr, Taken: true}
		}
	}
}
