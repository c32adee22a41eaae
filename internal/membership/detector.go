package membership

import (
	"time"

	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

// maxTickIntervals is the time in heartbeat intervals that counts as run between two ticks, at most. There are several
// ticks in each interval, so only a process that was stopped or starved exceeds it; and NewConfig makes no
// HeartbeatTimeout shorter than it.
const maxTickIntervals = 2

// rules are the guards that a detector applies. All are on in service; tests switch single ones off to show that the
// invariants then break.
type rules struct {
	minObservers      int  // that must miss a process before it can be removed
	requireMajority   bool // more must miss a process than hear it
	detectIsolation   bool // a process that hears too few doubts itself
	freezeRemovals    bool // nobody is removed while too many are missing at once
	measureRunTime    bool // spans are measured in time that the process has run, not by the clock
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

// Detector is one process's knowledge of its fleet. It is not safe for concurrent use.
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
	conflict   error // why this process has to end; nil for no reason
	view       *View
}

// New makes the detector of a process that has not taken its name yet. Seeds are addresses of nodes to ask first.
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

// KnownCount returns the number of processes that are known, this one included.
func (d *Detector) KnownCount() int { return len(d.peers.byID) }

// Actions lists what has to be sent after a tick. Addresses are those of other processes.
type Actions struct {
	Heartbeat   Heartbeat // this process's, which goes to all of the following
	HeartbeatTo []string  // neighbours
	ReplyTo     []string  // processes that asked for a heartbeat
	ProbeTo     []string  // processes that are asked for one in return: the sender sets WantsReply
	SyncWith    string    // process to exchange the full state with; empty for none
}

// Tick does what is due and returns what has to be sent. It is to be called several times in each heartbeat interval;
// now is of a clock that runs on through a suspend.
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
// Guards against a process that was stopped or starved and then takes all others for dead, as it received nothing
// meanwhile. A gap between two ticks counts as a short one, so that no timeout has passed; and hearsTooFew counts only
// neighbours that were heard after the gap.
type runClock struct {
	runTime   time.Duration // all spans are measured by it
	resumedAt time.Duration // run time at the end of the last gap
	last      monotime.Instant
	started   bool
}

// advance adds the time since the last tick; of a longer gap only maxStep where capGaps is set.
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
