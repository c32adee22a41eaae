package membership

import (
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

// maxTickIntervals is the maximum time, in heartbeat intervals, that counts as run time between two ticks. There are
// several ticks in each interval, so only a process that was suspended or starved exceeds it. NewConfig makes no
// HeartbeatTimeout shorter than it.
const maxTickIntervals = 2

// rules are the safety rules that a detector applies. All are on in production; tests disable some of them to show that
// the invariants then break.
type rules struct {
	minObservers      int  // number of observers that must miss a process before it can be removed
	requireMajority   bool // more observers must miss a process than hear it
	detectIsolation   bool // a process that hears too few neighbours reports itself as isolated
	freezeRemovals    bool // no member is removed while too many are missing at once
	measureRunTime    bool // times are measured in run time of the process instead of clock time
	stopOnStalledLoop bool // a process that no longer serves clients sends no heartbeats
}

func defaultRules() rules {
	return rules{
		minObservers:      2,
		requireMajority:   true,
		detectIsolation:   true,
		freezeRemovals:    true,
		measureRunTime:    true,
		stopOnStalledLoop: true,
	}
}

// Detector is the membership state of one process. It is not safe for concurrent use.
type Detector struct {
	runClock
	rules      rules
	config     Config
	random     keyhash.Source
	self       *peer // also in peers
	peers      peerTable
	contacts   contacts
	neighbours neighbourSet
	statement  ownStatement
	heartbeats heartbeatSchedule
	sync       syncState
	evaluation evaluation
	conflict   error // why this process has to exit; nil for no reason
	view       *View
}

// New returns the detector of a process that has not claimed its name yet. Seeds are addresses of nodes to contact
// first.
func New(config Config, process ProcessID, node NodeName, addr string, seeds []string) *Detector {
	own := newPeer(0)
	own.Statement = Statement{Process: process, Node: node, Addr: addr, Revision: 1}
	return &Detector{
		rules:      defaultRules(),
		config:     config,
		random:     keyhash.Source{Seed: uint32(process)},
		self:       own,
		peers:      peerTable{byID: map[ProcessID]*peer{process: own}},
		contacts:   contacts{seeds: seeds, forgotten: map[ProcessID]forgottenPeer{}},
		neighbours: neighbourSet{stale: true},
		statement:  ownStatement{unsent: true},
		view:       &View{Self: process},
	}
}

// KnownCount returns the number of known processes, including this one.
func (d *Detector) KnownCount() int { return len(d.peers.byID) }

// Actions lists the messages to send after a tick. Addresses are those of other processes.
type Actions struct {
	Heartbeat   Heartbeat // of this process; sent to all addresses below
	HeartbeatTo []string  // neighbours
	ReplyTo     []string  // processes that requested a heartbeat
	ProbeTo     []string  // processes to request a heartbeat from: the sender sets WantsReply
	SyncWith    string    // process to exchange the full state with; empty for none
}

// Tick does what is due and returns the messages to send. It must be called several times in each heartbeat interval.
// The clock of now must continue through a system suspend.
func (d *Detector) Tick(now monotime.Instant) Actions {
	d.advance(now, maxTickIntervals*d.config.HeartbeatInterval, d.rules.measureRunTime)
	d.updateNeighbours()
	d.observeNeighbours()
	d.claimName()
	d.evaluate()

	actions := Actions{
		Heartbeat: Heartbeat{
			Process:  d.self.Process,
			Revision: d.self.Revision,
			Digest:   d.evaluation.digest,
			Addr:     d.self.Addr,
			Isolated: d.self.Isolated,
		},
		SyncWith: d.sync.takeTarget(),
	}
	d.scheduleHeartbeats(&actions)
	return actions
}

// runClock measures the time that this process has run.
//
// A process that was suspended or starved has received nothing meanwhile, and must not conclude that all others are
// dead. A gap between two ticks therefore counts as a short one, so that no timeout expires by it, and isIsolated
// counts only neighbours that were heard after the gap.
type runClock struct {
	runTime   time.Duration // all timeouts are measured by it
	resumedAt time.Duration // run time at the end of the last gap
	last      monotime.Instant
	started   bool
}

// advance adds the time since the last tick. If capGaps is set, it adds at most maxStep.
func (c *runClock) advance(now monotime.Instant, maxStep time.Duration, capGaps bool) {
	if !c.started {
		c.started = true
		c.last = now
	}
	step := now.Since(c.last)
	if capGaps && step > maxStep {
		step = maxStep
		c.resumedAt = c.runTime + maxStep
	}
	c.runTime += step
	c.last = now
}
