package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// joinClaimPeriods is the time, in claim periods, after which a joining process that has not claimed its name and been
// heard is not expected to do so any more.
const joinClaimPeriods = 4

// NameConflictError reports that another process has the name of this one, so that this one has to exit.
type NameConflictError struct {
	Node  NodeName
	Addr  string // address of the other process
	Taken bool   // whether the other took the name from this process; else it had the name first and is alive
}

func (e *NameConflictError) Error() string {
	if e.Taken {
		return fmt.Sprintf("another process has taken the name %s, at %s", e.Node, e.Addr)
	}
	return fmt.Sprintf("another process has the name %s and lives, at %s", e.Node, e.Addr)
}

// NameConflict returns a [*NameConflictError] once this process has to exit because another process has its name, and
// nil until then.
func (d *Detector) NameConflict() error { return d.conflict }

// hasPrecedence reports whether p, rather than o, keeps the name that both have: the later incarnation wins, and of
// equal incarnations the lower process ID.
func (p *peer) hasPrecedence(o *peer) bool {
	return cmp.Or(-cmp.Compare(p.Incarnation, o.Incarnation), cmp.Compare(p.Process, o.Process)) < 0
}

// namesakes returns the other processes that have this one's name, except those that are leaving.
func (d *Detector) namesakes() []*peer {
	var namesakes []*peer
	for _, p := range d.peers.ofNode(d.self.Node) {
		if p != d.self && !p.Leaving {
			namesakes = append(namesakes, p)
		}
	}
	return namesakes
}

// claimName claims the node's name once no other live process has it, or detects that this process has to exit. If a
// name is started twice, the live process that has it already keeps it; of two processes that start at the same time,
// every process sees the same one give way.
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

// keepsName reports whether a process with this one's name is alive and had the name first.
func (d *Detector) keepsName(p *peer) bool {
	alive := p.Addr != d.self.Addr && p.heard && d.runTime-p.lastHeartbeat < d.config.HeartbeatTimeout && !p.YieldsName
	return alive && (p.Incarnation > 0 || p.Process < d.self.Process)
}

// supersedeDeadNamesakes takes the incarnation after that of a dead process with this one's name. This process may have
// claimed the name before it heard of its predecessor; with a lower incarnation, or an equal one and a higher ID, it
// would lose the name to the dead process.
func (d *Detector) supersedeDeadNamesakes() {
	for _, p := range d.namesakes() {
		if p.hasPrecedence(d.self) && d.isDeadNamesake(p) {
			d.self.Incarnation = p.Incarnation + 1
			d.neighbours.stale = true
			d.reviseStatement()
		}
	}
}

// isDeadNamesake reports whether a process with this one's name cannot be alive: this process has its address, or
// enough members miss it.
func (d *Detector) isDeadNamesake(p *peer) bool {
	return p.Addr == d.self.Addr || d.isMissedForName(p)
}

// nameIsYielded reports whether a process with this one's name gives it up.
func (d *Detector) nameIsYielded() bool {
	return slices.ContainsFunc(d.namesakes(), func(p *peer) bool { return p.YieldsName })
}

// claimDelay returns the run time from which this process may claim its name. By then each process that may have the
// name has had time to prove that it is alive.
func (d *Detector) claimDelay() time.Duration {
	delay := d.config.ClaimPeriod
	if !d.sync.completed && (d.sync.statementReceived || len(d.contacts.seeds) > 0) {
		// Another process may still report who has the name.
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

// resolveNames leaves one process for each name.
func (d *Detector) resolveNames() {
	if !d.peers.hasSharedNames() {
		return
	}
	holders := d.nameHolders()
	d.forgetReplaced(holders)
	d.forgetDuplicates(holders)
}

// nameHolders returns the member that keeps each name.
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

// forgetReplaced forgets members that nobody hears and that have a successor. In the view of a process that started
// late, the successor may not be a member, and so would never displace the dead member.
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

// replaces reports whether a process is the successor of p and is not expected to become a member in p's place by
// joining. A process that has just started is expected to join, unless members already miss it.
func (d *Detector) replaces(successor, p *peer) bool {
	if !successor.succeeds(p) {
		return false
	}
	hasHadTime := d.runTime-successor.firstSeen >= joinClaimPeriods*d.config.ClaimPeriod
	return successor.status != Joining || hasHadTime || d.isMissedForName(successor)
}

// forgetDuplicates forgets all processes whose name another member keeps. If that is the name of this process, the
// process has to exit.
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
