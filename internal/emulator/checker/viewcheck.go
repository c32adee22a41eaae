package checker

import (
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/membership/trace"
	"dahliapin/policy"
)

const (
	// evidenceSlack is the time beyond the tolerated pause up to which evidence for a removal may be old.
	evidenceSlack = 200 * time.Millisecond
	// removalSlack is the time after the end of a fault in which a node may still be removed for it.
	removalSlack = time.Second
	// decisionTime is the maximum time in which the fleet decides on a fault.
	decisionTime = 10 * time.Second
	// convergenceTime is the maximum time in which views become equal after the last fault.
	convergenceTime = 5 * time.Second
	// wakeTime is the time in which a node notices that it was paused itself.
	wakeTime = 300 * time.Millisecond
	// checkInterval is the interval at which views are compared with the actual state.
	checkInterval = 100 * time.Millisecond
)

// viewCheck compares the trace lines of one kind with the actual state of nodes.
type viewCheck struct {
	*Views
	verdict       *Verdict
	episodes      []episode
	missesCounted []bool        // by episode: missed removals have been counted
	pause         time.Duration // longest tolerated pause of a process
	end           policy.Instant
	nodes         []observer
	removals      map[removal]int
	next          policy.Instant // time of the next comparison
	lastDiverged  policy.Instant // when views last differed from the actual state; -1 for never
}

// observer is the state of one node's view.
type observer struct {
	members []string
	process string
	start   policy.Instant // time of the first line of its process
	changes int            // changes of its view while it had no fault
}

// removal identifies the removals of a faulty node by one observer because of one fault.
type removal struct {
	observer int
	cause    *episode
}

// Check compares the trace lines of one kind with the actual state of nodes until an instant. A node whose process is
// paused for no longer than pause must stay a member.
func (v *Views) Check(kind string, pause time.Duration, end policy.Instant) *Verdict {
	all := v.episodes(end)
	c := &viewCheck{
		Views:         v,
		verdict:       &Verdict{Formed: -1, ConvergedAfter: -1},
		episodes:      all,
		missesCounted: make([]bool, len(all)),
		pause:         pause,
		end:           end,
		nodes:         make([]observer, v.Nodes),
		removals:      map[removal]int{},
		lastDiverged:  -1,
	}
	for i := range v.Lines {
		if l := &v.Lines[i]; l.Kind == kind && l.At <= end {
			c.addLine(l)
		}
	}
	c.compareUntil(end)
	if c.lastDiverged < end.Add(-time.Second) {
		c.verdict.ConvergedAfter = max(0, c.lastDiverged.Since(c.lastTransition()).Seconds())
	}
	slices.Sort(c.verdict.Detect)
	return c.verdict
}

// lastTransition returns the last time at which an episode began or ended.
func (c *viewCheck) lastTransition() policy.Instant {
	last := policy.Instant(0)
	for _, e := range c.episodes {
		last = max(last, e.from)
		if e.to < c.end {
			last = max(last, e.to)
		}
	}
	return last
}

// addLine processes the next line of a node's view.
func (c *viewCheck) addLine(l *trace.Line) {
	if l.At >= 0 {
		c.compareUntil(l.At)
	}
	number, err := strconv.Atoi(l.Node[1:])
	if err != nil || number < 1 || number > c.Nodes {
		return
	}
	node := number - 1
	o := &c.nodes[node]
	if o.process != l.Process { // a new process begins with an empty view
		o.process = l.Process
		o.members = nil
		o.start = l.At
	}
	before := o.members
	o.members = slices.Clone(l.Members)
	slices.Sort(o.members)
	if c.verdict.Formed < 0 {
		if c.formed() {
			c.verdict.Formed = max(0, time.Duration(l.At).Seconds())
		}
		return
	}
	if slices.Equal(before, o.members) {
		return
	}
	c.countChange(node, l.At)
	for n := range c.Nodes {
		name := NameOf(n)
		if n != node && slices.Contains(before, name) && !slices.Contains(o.members, name) {
			c.checkRemoval(node, n, before, l.At)
		}
	}
}

// formed reports whether every node has all nodes as members.
func (c *viewCheck) formed() bool {
	return !slices.ContainsFunc(c.nodes, func(o observer) bool { return len(o.members) < c.Nodes })
}

// countChange counts a change of a node's view, unless the node has a fault or has just started and discovers the
// others one by one.
func (c *viewCheck) countChange(node int, at policy.Instant) {
	o := &c.nodes[node]
	if c.faultOf(node, at, settleTime) == nil && at > o.start.Add(convergenceTime) {
		o.changes++
		c.verdict.Changes = max(c.verdict.Changes, o.changes)
	}
}

// faultOf returns the episode of a node that includes an instant or ended at most the given time before it; nil for
// none.
func (c *viewCheck) faultOf(node int, at policy.Instant, since time.Duration) *episode {
	for i := range c.episodes {
		e := &c.episodes[i]
		until := e.to.Add(since)
		// The old process is removed after the pause, whether or not the new one has joined.
		if e.replaced && since > 0 {
			until = max(until, e.from.Add(c.pause+removalSlack))
		}
		if e.node == node && at >= e.from && at <= until {
			return e
		}
	}
	return nil
}

// isHealthy reports whether a node has no fault and has had none within settleTime.
func (c *viewCheck) isHealthy(node int, at policy.Instant) bool {
	return c.faultOf(node, at, settleTime) == nil
}

// majorityHealthy reports whether more than half of the nodes are healthy.
func (c *viewCheck) majorityHealthy(at policy.Instant) bool {
	healthy := 0
	for n := range c.Nodes {
		if c.isHealthy(n, at) {
			healthy++
		}
	}
	return 2*healthy > c.Nodes
}

// checkRemoval checks the removal of one node by another.
func (c *viewCheck) checkRemoval(by, node int, before []string, at policy.Instant) {
	seconds := time.Duration(at).Seconds()
	cause := c.faultOf(node, at, removalSlack)
	if own := c.faultOf(by, at, wakeTime); own != nil {
		if c.isUnjustified(by, node, before, at, own, cause) {
			c.verdict.UnjustifiedRemovals++
			c.verdict.note("%.1f s: %s, which has a fault itself, removes %s without evidence",
				seconds, NameOf(by), NameOf(node))
		}
		return
	}
	if !c.isHealthy(by, at) {
		return
	}
	if c.majorityHealthy(at) && (cause == nil || cause.to.Since(cause.from) <= c.pause && !cause.replaced) {
		c.verdict.FalseRemovals++
		c.verdict.note("%.1f s: %s removes %s, which has no fault", seconds, NameOf(by), NameOf(node))
		return
	}
	if cause == nil {
		return
	}
	key := removal{observer: by, cause: cause}
	c.removals[key]++
	if c.removals[key] > 1 && c.undisturbed(cause, at) {
		c.verdict.Flaps++
		c.verdict.note("%.1f s: %s removes %s again for the same fault", seconds, NameOf(by), NameOf(node))
		return
	}
	c.verdict.Detect = append(c.verdict.Detect, at.Since(cause.from).Seconds())
}

// isUnjustified reports whether a node that has a fault itself removed another without evidence.
func (c *viewCheck) isUnjustified(by, node int, before []string, at policy.Instant, own, cause *episode) bool {
	hadFault := slices.ContainsFunc(c.episodes, func(e episode) bool {
		return e.node == node && e.from <= at && e.to.Add(c.pause+removalSlack) >= own.from
	})
	if !hadFault {
		return true
	}
	// Any node may remove a node whose process does not run.
	if own.stopped || cause != nil && cause.stopped {
		return false
	}
	evidenceFrom := at.Add(-c.pause - evidenceSlack)
	return c.witnesses(by, node, at, evidenceFrom) <= 1 && !c.heardHalf(by, before, evidenceFrom, at)
}

// witnesses counts the nodes that can hear half of their members and cannot hear the removed node. The removal may be
// based on their statements.
func (c *viewCheck) witnesses(by, node int, at, evidenceFrom policy.Instant) int {
	count := 0
	for n := range c.Nodes {
		if n != by && n != node && !c.hearsHalf(n, []string{NameOf(node)}, at) &&
			c.heardHalf(n, c.nodes[n].members, evidenceFrom, at) {
			count++
		}
	}
	return count
}

// undisturbed reports whether no other node's fault has begun or ended since the beginning of an episode. Otherwise
// another node's statement may have changed the decision.
func (c *viewCheck) undisturbed(e *episode, at policy.Instant) bool {
	return !e.weak && !slices.ContainsFunc(c.episodes, func(other episode) bool {
		began := other.from > e.from && other.from < at
		ended := other.to > e.from && other.to < at
		return other.node != e.node && (began || ended)
	})
}

// compareUntil compares views with the actual state at each checkInterval up to an instant.
func (c *viewCheck) compareUntil(until policy.Instant) {
	for ; c.next <= until; c.next = c.next.Add(checkInterval) {
		if c.verdict.Formed < 0 {
			continue
		}
		c.findMissed(c.next)
		o := c.firstDiverged(c.next)
		if o < 0 {
			continue
		}
		c.lastDiverged = c.next
		if c.settled(c.next) && c.next%policy.Instant(time.Second) == 0 {
			c.verdict.DivergedSeconds++
			c.verdict.note("%.1f s: the view of %s is %v, which is not the actual state",
				time.Duration(c.next).Seconds(), NameOf(o), c.nodes[o].members)
		}
	}
}

// firstDiverged returns the first node whose view should match the actual state but does not; -1 for none.
func (c *viewCheck) firstDiverged(at policy.Instant) int {
	var want []string
	for n := range c.Nodes {
		e := c.faultOf(n, at, 0)
		if e == nil {
			want = append(want, NameOf(n))
		} else if e.weak {
			return -1
		}
	}
	if 2*len(want) <= c.Nodes {
		return -1
	}
	slices.Sort(want)
	for n := range c.nodes {
		if c.faultOf(n, at, 0) == nil && !slices.Equal(c.nodes[n].members, want) {
			return n
		}
	}
	return -1
}

// settled reports whether all episodes began and ended long enough ago for all views to be equal.
func (c *viewCheck) settled(at policy.Instant) bool {
	for _, e := range c.episodes {
		begins := e.from <= at && at < e.from.Add(decisionTime)
		ends := e.to <= at && at < e.to.Add(convergenceTime)
		if begins || ends {
			return false
		}
		if e.stopped || !e.during(at) {
			continue
		}
		// A node that was removed when a cut began may stay removed during the cut, as no node can tell which side of
		// the cut has the majority.
		for _, other := range c.episodes {
			if other.to <= at && other.to.Add(convergenceTime) > e.from {
				return false
			}
		}
	}
	return true
}

// findMissed counts, once per episode, the observers that should have removed its node by now.
func (c *viewCheck) findMissed(at policy.Instant) {
	for i := range c.episodes {
		e := &c.episodes[i]
		beforeFormed := e.from.Since(0).Seconds() < c.verdict.Formed
		if c.missesCounted[i] || e.weak || at < e.from.Add(decisionTime) || beforeFormed || c.othersJustBack(e, at) {
			continue
		}
		c.missesCounted[i] = true
		majority := 2*c.minHealthy(e.from, at) > c.Nodes
		for o := range c.Nodes {
			if !majority || e.to <= at || o == e.node || !c.isHealthy(o, e.from) || !c.isHealthy(o, at) {
				continue
			}
			if slices.Contains(c.nodes[o].members, NameOf(e.node)) {
				c.verdict.Missed++
				c.verdict.note("%.1f s: %s does not remove %s",
					time.Duration(e.from).Seconds(), NameOf(o), NameOf(e.node))
			}
		}
	}
}

// othersJustBack reports whether another node recovered less than convergenceTime before a cut began, or after that.
func (c *viewCheck) othersJustBack(e *episode, at policy.Instant) bool {
	return slices.ContainsFunc(c.episodes, func(other episode) bool {
		return other.node != e.node && !e.stopped &&
			other.to.Add(convergenceTime) > e.from && other.from < at && other.to < at
	})
}

// minHealthy returns the lowest number of nodes without a fault at any time of a span.
func (c *viewCheck) minHealthy(from, to policy.Instant) int {
	fewest := c.Nodes
	for t := from; t <= to; t = t.Add(decisionTime / 10) {
		up := 0
		for n := range c.Nodes {
			if c.faultOf(n, t, 0) == nil {
				up++
			}
		}
		fewest = min(fewest, up)
	}
	return fewest
}
