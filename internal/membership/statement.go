package membership

import (
	"slices"
	"time"
)

// Limits on what other processes may state.
const (
	MaxNameBytes           = 64 // bytes of a node's name
	MaxAddrBytes           = 64 // bytes of an address
	MaxStatementNeighbours = 64 // neighbours in one statement
)

// Statement is what a process states about itself and its neighbours. Only the process itself makes it.
type Statement struct {
	Process     ProcessID
	Node        NodeName
	Incarnation Incarnation
	Revision    Revision
	Addr        string      // address and port at which other nodes reach it
	Leaving     bool        // it is shutting down gracefully, or is on standby
	YieldsName  bool        // its name goes to the next process, which may claim it at once
	Isolated    bool        // it hears too few of its neighbours for its reports to be trusted
	Hears       []ProcessID // neighbours that it hears
	Misses      []ProcessID // neighbours that it does not hear
}

// valid reports whether a statement is well formed and within the limits.
func (s *Statement) valid() bool {
	switch {
	case s.Process == 0:
		return false
	case s.Node == "" || len(s.Node) > MaxNameBytes:
		return false
	case s.Addr == "" || len(s.Addr) > MaxAddrBytes:
		return false
	case len(s.Hears) > MaxStatementNeighbours || len(s.Misses) > MaxStatementNeighbours:
		return false
	}
	return !slices.Contains(s.Hears, s.Process) && !slices.Contains(s.Misses, s.Process)
}

// Heartbeat shows a neighbour that its sender is alive.
type Heartbeat struct {
	Process    ProcessID
	Revision   Revision // of the sender's statement
	Digest     uint64   // of the statements of all members; only the lower 32 bits are sent and compared
	Addr       string   // of the sender
	Isolated   bool     // as in the sender's statement
	WantsReply bool     // the sender requests a heartbeat in return
}

// ownStatement is the state that a detector keeps about the statement of its own process.
type ownStatement struct {
	unsent           bool          // the statement has changed since it was last returned by OwnStatement
	changedAt        time.Duration // run time of the last change; 0 for none
	isolationEndedAt time.Duration // run time when this process last stopped being isolated
}

// OwnStatement returns this process's statement, and whether it has changed since the last call. The caller gossips a
// statement that has changed.
func (d *Detector) OwnStatement() (s Statement, isNew bool) {
	isNew = d.statement.unsent
	d.statement.unsent = false
	return d.self.Statement, isNew
}

// reviseStatement increments the revision of this process's statement and marks it as unsent.
func (d *Detector) reviseStatement() {
	d.self.Revision++
	d.statement.changedAt = d.runTime
	d.statement.unsent = true
	d.evaluation.changed = true
}

// Merge handles a statement that arrived in any way, and reports whether it was new. The caller forwards a new
// statement. Merge keeps no reference to the statement's slices.
func (d *Detector) Merge(s Statement) bool {
	if !s.valid() {
		return false
	}
	if s.Process == d.self.Process {
		d.mergeOwn(s)
		return false
	}
	p := d.peers.byID[s.Process]
	if p == nil {
		return d.mergeNew(s)
	}
	if s.Revision <= p.Revision || s.Node != p.Node {
		return false
	}
	if s.Leaving != p.Leaving || s.Incarnation != p.Incarnation || s.Addr != p.Addr {
		d.neighbours.stale = true
	}
	d.setStatement(p, s)
	return true
}

// mergeOwn handles a statement about this process itself. If its revision is higher than the current one, this process
// has lost count and continues above that revision, as others would ignore its statements as old otherwise.
func (d *Detector) mergeOwn(s Statement) {
	if s.Revision > d.self.Revision {
		d.self.Revision = s.Revision
		d.reviseStatement()
	}
}

// mergeNew handles the first statement of a process. It ignores one from before the process was forgotten.
func (d *Detector) mergeNew(s Statement) bool {
	if s.Leaving || len(d.peers.byID) >= d.config.MaxMembers || d.contacts.isOld(s.Process, s.Revision) {
		return false
	}
	p := newPeer(d.runTime)
	delete(d.contacts.forgotten, s.Process)
	d.neighbours.stale = true
	d.setStatement(p, s)
	d.peers.insert(p)
	return true
}

func (d *Detector) setStatement(p *peer, s Statement) {
	s.Hears = slices.Clone(s.Hears)
	s.Misses = slices.Clone(s.Misses)
	p.Statement = s
	p.setIsolated(s.Isolated, d.runTime)
	d.evaluation.changed = true
	d.sync.statementReceived = true
}

// Leave states that this process shuts down gracefully or is on standby. With yieldName, another process takes its
// place: this process stays a member, and its name goes to the other one.
func (d *Detector) Leave(yieldName bool) {
	if d.self.Leaving || d.self.YieldsName {
		return
	}
	d.self.Leaving = !yieldName
	d.self.YieldsName = yieldName
	d.neighbours.stale = true
	d.reviseStatement()
}

// Rejoin takes back the effect of Leave.
func (d *Detector) Rejoin() {
	if !d.self.Leaving && !d.self.YieldsName {
		return
	}
	d.self.Leaving = false
	d.self.YieldsName = false
	d.neighbours.stale = true
	d.reviseStatement()
}
