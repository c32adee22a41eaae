package discovery

import (
	"container/heap"
	"time"

	"dahliapin/internal/emulator/world"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

// networkDelay is the one-way delay between a node and discovery.
const networkDelay = time.Millisecond

// lateAnswer is how long discovery takes to answer while it is late.
const lateAnswer = 1400 * time.Millisecond

// behaviour is the way in which discovery handles polls.
type behaviour int

const (
	healthy    behaviour = iota
	late                 // answers with a delay
	silent               // never answers polls, not even once it is healthy again
	refusing             // answers that it is overloaded
	resetting            // breaks connections
	truncating           // sends answers that cannot be read
)

func (m behaviour) String() string {
	return [...]string{"healthy", "late", "silent", "refuses", "resets", "truncates"}[m]
}

// phase sets the behaviour from a time on.
type phase struct {
	behaviour behaviour
	from      time.Duration
}

type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simNode is a node of the simulation.
type simNode struct {
	Poller
	random        keyhash.Source
	pollNumber    int // counts polls and backoffs, to recognise events of earlier ones
	pollStarted   time.Duration
	poll          Poll
	isHeld        bool          // discovery holds its long poll
	backsOff      bool          // no poll is in progress
	notifiedAt    time.Duration // when it received the update; 0 for not yet
	losesNextPoll bool          // its first poll once discovery is healthy is lost
}

// simFleet simulates a fleet in virtual time, with a discovery that fails as scheduled.
type simFleet struct {
	queue                  events
	scheduled              int
	now                    time.Duration
	phases                 []phase
	updateAt               time.Duration // when the version changes
	oldVersion, newVersion int           // the versions before and after
	nodes                  []*simNode
	perSecond              []int
	registry               *world.Registry  // cost of polls at discovery; nil for none
	lateAnswer             time.Duration    // delay of answers while discovery is late
	slowPeriod             [2]time.Duration // start and end of the time in which discovery is slow
	refused                int              // polls refused because of overload
	refusedAt              time.Duration    // time of the last such refusal
}

func newSimFleet(nodes, seed int, phases []phase, updateAt time.Duration) *simFleet {
	f := &simFleet{phases: phases, updateAt: updateAt, oldVersion: 41, newVersion: 42, lateAnswer: lateAnswer}
	for i := range nodes {
		node := &simNode{Poller: New(nodes), random: keyhash.Source{Seed: uint32(seed*1000 + i)}}
		node.SetVersion(f.oldVersion)
		f.nodes = append(f.nodes, node)
	}
	for _, p := range phases {
		f.schedule(p.from, func() { f.setBehaviour(p.behaviour) })
	}
	f.schedule(updateAt, func() { f.setBehaviour(f.behaviour()) })
	return f
}

func (f *simFleet) schedule(d time.Duration, do func()) {
	f.scheduled++
	heap.Push(&f.queue, event{f.now + d, f.scheduled, do})
}

// run runs the simulation until a time. Nodes start at once, or spread over the time of a long poll.
func (f *simFleet) run(until time.Duration, started bool) {
	for _, n := range f.nodes {
		at := time.Duration(0)
		if !started {
			at = time.Duration(n.random.Float64() * float64(longPollTime))
		}
		f.schedule(at, func() { f.startPoll(n) })
	}
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
}

func (f *simFleet) behaviour() (m behaviour) {
	for _, p := range f.phases {
		if p.from <= f.now {
			m = p.behaviour
		}
	}
	return m
}

func (f *simFleet) version() int {
	if f.now >= f.updateAt {
		return f.newVersion
	}
	return f.oldVersion
}

// ifCurrent returns a function that calls do unless the node's poll or backoff has ended by then.
func (n *simNode) ifCurrent(do func()) func() {
	number := n.pollNumber
	return func() {
		if n.pollNumber == number {
			do()
		}
	}
}

func (f *simFleet) startPoll(n *simNode) {
	n.pollNumber++
	n.pollStarted = f.now
	n.poll = n.NextPoll()
	n.isHeld = false
	n.backsOff = false
	for len(f.perSecond) <= int(f.now/time.Second) {
		f.perSecond = append(f.perSecond, 0)
	}
	f.perSecond[f.now/time.Second]++
	f.schedule(n.poll.Timeout, n.ifCurrent(func() { f.fail(n, ConnectionLost) }))
	f.schedule(networkDelay, n.ifCurrent(func() { f.receivePoll(n) }))
}

// receivePoll handles a poll that arrives at discovery.
func (f *simFleet) receivePoll(n *simNode) {
	m := f.behaviour()
	if m > late {
		f.endPoll(n, m)
		return
	}
	if n.losesNextPoll {
		n.losesNextPoll = false
		return
	}
	delay := time.Duration(0)
	if m == late {
		delay = f.lateAnswer
	}
	if f.registry != nil {
		work, accepted := f.work(n)
		if !accepted {
			f.refused++
			f.refusedAt = f.now
			f.endPoll(n, refusing)
			return
		}
		delay += work
	}
	f.schedule(delay, n.ifCurrent(func() { f.processPoll(n) }))
}

// work returns how long a poll takes at a discovery with limited capacity, and whether it is accepted.
func (f *simFleet) work(n *simNode) (work time.Duration, accepted bool) {
	const slowFactor = 20
	factor := 1.0
	if f.now >= f.slowPeriod[0] && f.now < f.slowPeriod[1] {
		factor = slowFactor
	}
	f.registry.Slow(factor)
	doneAt, accepted := f.registry.Poll(monotime.Instant(f.now), n.poll.Complete)
	return doneAt.Since(monotime.Instant(f.now)), accepted
}

// processPoll answers a poll, or holds it until there is an update.
func (f *simFleet) processPoll(n *simNode) {
	if m := f.behaviour(); m > late {
		f.endPoll(n, m)
		return
	}
	n.isHeld = !n.poll.Complete && n.poll.SinceVersion == f.version()
	if n.isHeld {
		f.schedule(n.poll.LongPollTime, n.ifCurrent(func() { f.answer(n) }))
		return
	}
	f.answer(n)
}

// endPoll ends a poll as an unhealthy discovery does.
func (f *simFleet) endPoll(n *simNode, m behaviour) {
	n.isHeld = false
	failures := map[behaviour]Failure{refusing: Refused, resetting: ConnectionLost, truncating: Unreadable}
	if failure, ends := failures[m]; ends {
		f.schedule(networkDelay, n.ifCurrent(func() { f.fail(n, failure) }))
	}
}

// setBehaviour changes the behaviour of discovery, or applies an update: both end the long polls that it holds.
func (f *simFleet) setBehaviour(m behaviour) {
	for _, n := range f.nodes {
		if !n.isHeld {
			continue
		}
		switch {
		case m > late:
			// The poll is not answered when its long-poll time ends, and still times out.
			n.pollNumber++
			untilTimeout := n.pollStarted + n.poll.Timeout - f.now
			f.schedule(untilTimeout, n.ifCurrent(func() { f.fail(n, ConnectionLost) }))
			f.endPoll(n, m)
		case f.version() != n.poll.SinceVersion:
			f.answer(n)
		}
	}
}

func (f *simFleet) answer(n *simNode) {
	n.isHeld = false
	version := f.version()
	complete := n.poll.Complete
	f.schedule(networkDelay, n.ifCurrent(func() { f.receiveAnswer(n, version, complete) }))
}

// receiveAnswer handles an answer that arrives at a node.
func (f *simFleet) receiveAnswer(n *simNode, version int, complete bool) {
	if !n.Accepts(version, false) {
		f.fail(n, Unreadable)
		return
	}
	kind, _ := n.OnUpdate(version, false)
	if complete != (kind == policy.CompleteUpdate) {
		panic("a complete list is handled as changes, or vice versa")
	}
	if version == f.newVersion && n.notifiedAt == 0 {
		n.notifiedAt = f.now
	}
	f.startPoll(n)
}

func (f *simFleet) fail(n *simNode, failure Failure) {
	n.pollNumber++
	n.backsOff = true
	backoff, _ := n.OnFailure(failure, f.now-n.pollStarted, n.random.Float64())
	f.schedule(backoff, n.ifCurrent(func() { f.startPoll(n) }))
}

// changeAddress makes a node poll another address, as a reload of its configuration does.
func (f *simFleet) changeAddress(n *simNode) {
	n.OnAddressChange()
	f.startPoll(n)
}
