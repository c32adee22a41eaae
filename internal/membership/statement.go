package membership

import (
	"slices"
	"time"
)

// Bounds of what other processes may state.
const (
	MaxNameBytes           = 64 // bytes of a node's name
	MaxAddrBytes           = 64 // bytes of an address
	MaxStatementNeighbours = 64 // neighbours in one statement
)

// Statement is all that a process says of itself and of its neighbours. Only the process itself makes it.
type Statement struct {
	Process     ProcessID
	Node        NodeName
	Incarnation Incarnation
	Revision    Revision
	Addr        string      // where other nodes reach it: address and port
	Leaving     bool        // it shuts down in order, or is on standby
	YieldsName  bool        // its name goes to the next process, which may take it at once
	Isolated    bool        // it hears too few of its neighbours to be believed
	Hears       []ProcessID // neighbours that it hears
	Misses      []ProcessID // neighbours that it doesn't hear
}

// valid reports whether a statement keeps the bounds.
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

// Heartbeat is a sign of life between neighbours.
type Heartbeat struct {
	Process    ProcessID
	Revision   Revision // of the sender's statement
	Digest     uint64   // of the statements of all members; only the lower 32 bits are sent and compared
	Addr       string   // the sender's
	Isolated   bool     // as in the sender's statement
	WantsReply bool     // the sender asks for a heartbeat in return
}

// ownStatement is what a detector knows of the statement of its own process, beside the statement itself.
type ownStatement struct {
	unsent           bool          // the statement has changed since it was last handed out
	changedAt        time.Duration // run time of the last change; 0 for none
	isolationEndedAt time.Duration // run time when this process last stopped to doubt itself
}

// OwnStatement returns this process's statement, and whether it is new since this was last called: the caller gossips
// it then.
func (d *Detector) OwnStatement() (s Statement, isNew bool) {
	isNew = d.statement.unsent
	d.statement.unsent = false
	return d.self.Statement, isNew
}

// reviseStatement marks this process's statement as changed.
func (d *Detector) reviseStatement() {
	d.self.Revision++
	d.statement.changedAt = d.runTime
	d.statement.unsent = true
	d.evaluation.changed = true
}

// Merge takes a statement, however it arrived, and reports whether it was news: the caller passes it on then. It keeps
// no reference to the statement's slices.
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

// mergeOwn takes a statement about this very process. One with a higher revision was made before this process lost its
// count; the process continues above it, as its statements would count for old otherwise.
func (d *Detector) mergeOwn(s Statement) {
	if s.Revision > d.self.Revision {
		d.self.Revision = s.Revision
		d.reviseStatement()
	}
}

// mergeNew takes the first statement of a process, unless it is an old one of a process that was forgotten.
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

// Leave states that this process shuts down in order or is on standby. With yieldName another process takes its place:
// it stays a member, and its name goes to that one.
func (d *Detector) Leave(yieldName bool) {
	if d.self.Leaving || d.self.YieldsName {
		return
	}
	d.self.Leaving = !yieldName
	d.self.YieldsName = yieldName
	d.neighbours.stale = true
	d.reviseStatement()
}

// Rejoin takes back what Leave stated.
func (d *Detector) Rejoin() {
	if !d.self.Leaving && !d.self.YieldsName {
		return
	}
	d.self.Leaving = false
	d.self.YieldsName = false
	d.neighbours.stale = true
	d.reviseStatement()
}
