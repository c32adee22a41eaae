package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/membership"
	"dahliapin/internal/membership/trace"
	"dahliapin/internal/monotime"
	"dahliapin/internal/timerqueue"
)

const (
	tickInterval   = 50 * time.Millisecond
	maxPause       = 2 * time.Second // longest pause of a process that does not lead to its removal
	gossipFanOut   = 4               // nodes that each statement is sent to per round, as configured for the library
	gossipRounds   = 8               // rounds in which a statement is forwarded
	ticksPerRound  = 2
	networkLatency = time.Millisecond
	maxPending     = 500 // messages queued for a paused process
)

var config = membership.NewConfig(membership.Timings{
	MaxPause:          maxPause,
	HeartbeatInterval: 300 * time.Millisecond,
	RejoinDelay:       2 * time.Second,
	LoopTimeout:       time.Second,
	ForgetAfter:       time.Minute,
}, 4000)

// simulation runs detectors in virtual time. Their decisions are those of production, the network has the emulator's
// faults, and gossip is modelled on the library's.
type simulation struct {
	now       monotime.Instant
	nodes     []*simNode
	byAddr    map[string]*simNode
	faults    *netfault.Faults
	queue     timerqueue.Queue[func()]
	random    keyhash.Source
	views     *checker.Views
	processes uint64 // number started so far
	ticks     int
	configure func(*membership.Detector) // called with each new detector; may be nil
	recorder  *recorder                  // nil to record nothing
}

// simNode is a node that runs at most one process at a time.
type simNode struct {
	sim         *simulation
	number      int
	name        string
	process     *simProcess // nil while none runs
	paused      bool        // the process is paused
	loopStalled bool        // the event loop that serves clients is stalled, and all else goes on
	pending     []func(*simProcess)
}

// simProcess is one process with its detector.
type simProcess struct {
	node                *simNode
	detector            *membership.Detector
	addr                string
	statements          map[membership.ProcessID]membership.Statement
	roundsLeft          map[membership.ProcessID]int // of the statements that are still to be forwarded
	loopCount           uint64
	tracedView          uint64
	tracedAsPartitioned bool
}

func newSimulation(nodes int, seed uint32, configure func(*membership.Detector)) *simulation {
	s := &simulation{
		now:       1,
		byAddr:    map[string]*simNode{},
		faults:    netfault.New(seed),
		random:    keyhash.Source{Seed: seed},
		views:     checker.NewViews(nodes),
		configure: configure,
	}
	for n := range nodes {
		s.nodes = append(s.nodes, &simNode{sim: s, number: n, name: checker.NameOf(n)})
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func addrOf(node int) string { return fmt.Sprintf("10.0.0.%d:7946", node+1) }

// seedNodes are the nodes that each process contacts first.
var seedNodes = []int{0, 1, 2}

// start starts a process of the node.
func (n *simNode) start() {
	s := n.sim
	s.processes++
	id := membership.ProcessID(keyhash.Mix(s.processes<<20^uint64(s.random.Seed)) | 1)
	p := &simProcess{
		node:       n,
		addr:       addrOf(n.number),
		statements: map[membership.ProcessID]membership.Statement{},
		roundsLeft: map[membership.ProcessID]int{},
	}
	var seeds []string
	for _, seed := range seedNodes {
		seeds = append(seeds, addrOf(seed))
	}
	p.detector = membership.New(config, id, membership.NodeName(n.name), p.addr, seeds)
	if s.configure != nil {
		s.configure(p.detector)
	}
	n.process = p
	n.paused = false
	n.pending = nil
	s.byAddr[p.addr] = n
	for _, seed := range seeds {
		s.after(networkLatency, func() { p.sync(seed) })
	}
	s.views.RecordProcess(s.now, n.name, true, true)
}

// kill ends the node's process.
func (n *simNode) kill() {
	n.process = nil
	n.pending = nil
	n.sim.views.RecordProcess(n.sim.now, n.name, false, false)
}

// setPaused pauses or resumes the process. A resumed process ticks before it reads the messages that arrived meanwhile,
// which is the worst order.
func (n *simNode) setPaused(paused bool) {
	if n.process == nil || n.paused == paused {
		return
	}
	n.paused = paused
	n.sim.views.RecordProcess(n.sim.now, n.name, !paused, false)
	if paused {
		return
	}
	missed := n.pending
	n.pending = nil
	n.process.tick()
	if n.process == nil {
		return
	}
	for _, receive := range missed {
		receive(n.process)
	}
}

// setCut cuts or restores one direction between two nodes.
func (s *simulation) setCut(from, to int, cut bool) {
	s.faults.Change(from, to, func(link *netfault.Link) { link.Cut = cut })
	s.views.RecordCut(s.now, from, to, cut)
}

// partitionFor cuts all links from one group of nodes to another for a while, and with both set those in the other
// direction too.
func (s *simulation) partitionFor(duration time.Duration, both bool, from, to []int) {
	s.partition(true, both, from, to)
	s.run(duration)
	s.partition(false, both, from, to)
}

func (s *simulation) partition(cut, both bool, from, to []int) {
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			s.setCut(a, b, cut)
			if both {
				s.setCut(b, a, cut)
			}
		}
	}
}

// pauseFor pauses processes for a while.
func (s *simulation) pauseFor(duration time.Duration, nodes ...int) {
	for _, n := range nodes {
		s.nodes[n].setPaused(true)
	}
	s.run(duration)
	for _, n := range nodes {
		s.nodes[n].setPaused(false)
	}
}

// setNoise sets the fractions of datagrams that are lost and duplicated, and their maximum delay, on all links.
func (s *simulation) setNoise(lost, doubled float64, late time.Duration) {
	for a := range s.nodes {
		for b := range s.nodes {
			s.faults.Change(a, b, func(link *netfault.Link) {
				link.Loss = lost
				link.Duplicate = doubled
				link.Jitter = late
			})
		}
	}
}

// after schedules a function call.
func (s *simulation) after(delay time.Duration, do func()) { s.queue.Push(s.now.Add(delay), do) }

// send sends a datagram to the node that has the address now.
func (p *simProcess) send(addr string, receive func(*simProcess)) {
	s := p.node.sim
	to := s.byAddr[addr]
	if to == nil || to == p.node {
		return
	}
	for _, late := range s.faults.Datagram(p.node.number, to.number) {
		s.after(networkLatency+late, func() { to.deliver(receive) })
	}
}

func (n *simNode) deliver(receive func(*simProcess)) {
	switch {
	case n.process == nil:
	case !n.paused:
		receive(n.process)
	case len(n.pending) < maxPending:
		n.pending = append(n.pending, receive)
	}
}

// merge handles a statement, and forwards it if it is new.
func (p *simProcess) merge(statement membership.Statement) {
	if p.detector.Merge(statement) {
		p.statements[statement.Process] = statement
		p.roundsLeft[statement.Process] = gossipRounds
	}
}

// sync exchanges the full state with another process unless streams between them fail.
func (p *simProcess) sync(addr string) {
	s := p.node.sim
	to := s.byAddr[addr]
	if to == nil || to.process == nil || to.paused || to.process == p || p.node.process != p {
		return
	}
	if _, blocked := s.faults.Segment(p.node.number, to.number); blocked {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.statements)) {
		to.process.merge(p.statements[id])
	}
	for _, id := range slices.Sorted(maps.Keys(to.process.statements)) {
		p.merge(to.process.statements[id])
	}
	p.detector.SyncCompleted()
	to.process.detector.SyncCompleted()
}

// tick does what a node does at a tick.
func (p *simProcess) tick() {
	s := p.node.sim
	if !p.node.loopStalled {
		p.loopCount++
	}
	p.detector.LoopAdvanced(p.loopCount)
	actions := p.detector.Tick(s.now)
	s.recorder.recordTick(time.Duration(s.now), p.detector, actions)
	own, isNew := p.detector.OwnStatement()
	if isNew {
		s.recorder.recordStatement(own)
		p.statements[own.Process] = own
		p.roundsLeft[own.Process] = gossipRounds
	}
	p.perform(actions)
	if s.ticks%ticksPerRound == 0 {
		p.gossip()
	}
	if p.detector.NameConflict() != nil {
		p.node.kill()
		return
	}
	p.reportView()
}

func (p *simProcess) perform(actions membership.Actions) {
	sendAll := func(addrs []string, h membership.Heartbeat) {
		for _, addr := range addrs {
			p.send(addr, func(o *simProcess) { o.detector.OnHeartbeat(h) })
		}
	}
	sendAll(actions.HeartbeatTo, actions.Heartbeat)
	sendAll(actions.ReplyTo, actions.Heartbeat)
	probe := actions.Heartbeat
	probe.WantsReply = true
	sendAll(actions.ProbeTo, probe)
	if actions.SyncWith != "" {
		p.node.sim.after(networkLatency, func() { p.sync(actions.SyncWith) })
	}
}

// gossip forwards statements for one round.
func (p *simProcess) gossip() {
	s := p.node.sim
	for _, id := range slices.Sorted(maps.Keys(p.roundsLeft)) { // in a fixed order, as each draws random numbers
		statement := p.statements[id]
		for range gossipFanOut {
			to := s.nodes[int(s.random.Float64()*float64(len(s.nodes)))]
			if to != p.node {
				p.send(addrOf(to.number), func(o *simProcess) { o.merge(statement) })
			}
		}
		p.roundsLeft[id]--
		if p.roundsLeft[id] <= 0 {
			delete(p.roundsLeft, id)
		}
	}
}

// reportView reports a view that has changed to the checker.
func (p *simProcess) reportView() {
	view := p.detector.View()
	if view.Number == p.tracedView && view.MayBePartitioned == p.tracedAsPartitioned {
		return
	}
	p.tracedView = view.Number
	p.tracedAsPartitioned = view.MayBePartitioned
	line := trace.Line{
		Node:             p.node.name,
		Kind:             trace.View,
		Process:          fmt.Sprint(view.Self),
		Number:           view.Number,
		MayBePartitioned: view.MayBePartitioned,
	}
	for _, node := range view.Nodes {
		line.Members = append(line.Members, string(node))
	}
	p.node.sim.views.AddLine(p.node.sim.now, line)
}

// run continues the simulation for a while. Within each tick interval the processes tick one after the other.
func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now < end; s.ticks++ {
		for i, n := range s.nodes {
			s.after(time.Duration(i)*tickInterval/time.Duration(len(s.nodes)), func() {
				if n.process != nil && !n.paused {
					n.process.tick()
				}
			})
		}
		s.runUntil(s.now.Add(tickInterval))
	}
}

// runUntil processes all events before an instant.
func (s *simulation) runUntil(until monotime.Instant) {
	for {
		at, any := s.queue.Next()
		if !any || at >= until {
			break
		}
		do, _ := s.queue.PopDue(at)
		s.now = max(s.now, at)
		do()
	}
	s.now = until
}

// verdict returns the verdict of the emulator's checker, which knows the views and the failures of the nodes.
func (s *simulation) verdict() *checker.Verdict { return s.views.Check(trace.View, maxPause, s.now) }
