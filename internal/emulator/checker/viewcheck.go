package checker

import (
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/membership/trace"
	"dahliapin/policy"
)

const (
	// evidenceSlack is how much older than the pause the evidence for a removal may be.
	evidenceSlack = 200 * time.Millisecond
	// removalSlack is the time after a fault has ended in which a node may still be removed for it.
	removalSlack = time.Second
	// decisionTime is what the fleet takes at most to decide on a fault.
	decisionTime = 10 * time.Second
	// convergenceTime is what views take at most to become the same after the last fault.
	convergenceTime = 5 * time.Second
	// wakeTime is what a node takes to notice that it stood still itself.
	wakeTime = 300 * time.Millisecond
	// checkInterval is the time between two comparisons of views with the truth.
	checkInterval = 100 * time.Millisecond
)

// viewCheck compares one kind of lines with the truth.
type viewCheck struct {
	*Views
	verdict  *Verdict
	episodes []episode
	looked   []bool // by episode: whether it was missed has been decided
	pause    time.Duration
	end      policy.Instant
	nodes    []observer
	removals map[removal]int
	next     policy.Instant // of the comparisons
	apart    policy.Instant // when views last differed from the truth; -1 for never
}

// observer is what one node says.
type observer struct {
	members []string
	process string
	start   policy.Instant // of its process, by its first line
	changes int            // of its view while nothing befell it
}

// removal is that one node removes another for one fault.
type removal struct {
	observer int
	cause    *episode
}

// Judge compares one kind of lines with the truth. The pause is how long a node may stand still and stays a member.
func (v *Views) Judge(kind string, pause time.Duration, end policy.Instant) *Verdict {
	all := v.episodes(end)
	c := &viewCheck{
		Views:    v,
		verdict:  &Verdict{Formed: -1, ConvergedAfter: -1},
		episodes: all,
		looked:   make([]bool, len(all)),
		pause:    pause,
		end:      end,
		nodes:    make([]observer, v.Nodes),
		removals: map[removal]int{},
		apart:    -1,
	}
	for i := range v.Lines {
		if l := &v.Lines[i]; l.Kind == kind && l.At <= end {
			c.line(l)
		}
	}
	c.compareUntil(end)
	if c.apart < end.Add(-time.Second) {
		c.verdict.ConvergedAfter = max(0, c.apart.Since(c.lastTransition()).Seconds())
	}
	slices.Sort(c.verdict.Detect)
	return c.verdict
}

// lastTransition is when an episode last began or ended.
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

// line takes a node's next view.
func (c *viewCheck) line(l *trace.Line) {
	if l.At >= 0 {
		c.compareUntil(l.At)
	}
	number, err := strconv.Atoi(l.Node[1:])
	if err != nil || number < 1 || number > c.Nodes {
		return
	}
	node := number - 1
	o := &c.nodes[node]
	if o.process != l.Process { // a new process does not take back what another knew
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
			c.removed(node, n, before, l.At)
		}
	}
}

// formed tells whether all nodes have all as members.
func (c *viewCheck) formed() bool {
	return !slices.ContainsFunc(c.nodes, func(o observer) bool { return len(o.members) < c.Nodes })
}

// countChange counts a change of a node's view, unless the node just started: it finds the others one by one then.
func (c *viewCheck) countChange(node int, at policy.Instant) {
	o := &c.nodes[node]
	if c.faultOf(node, at, settleTime) == nil && at > o.start.Add(convergenceTime) {
		o.changes++
		c.verdict.Changes = max(c.verdict.Changes, o.changes)
	}
}

// faultOf returns the episode in which a node is at an instant, or was until a time before; nil for none.
func (c *viewCheck) faultOf(node int, at policy.Instant, since time.Duration) *episode {
	for i := range c.episodes {
		e := &c.episodes[i]
		until := e.to.Add(since)
		if e.ended && since > 0 { // the old process is out when its silence was borne for long enough, be the new one in or not
			until = max(until, e.from.Add(c.pause+removalSlack))
		}
		if e.node == node && at >= e.from && at <= until {
			return e
		}
	}
	return nil
}

// sound tells whether nothing befalls a node, nor did just now.
func (c *viewCheck) sound(node int, at policy.Instant) bool {
	return c.faultOf(node, at, settleTime) == nil
}

// mostSound tells whether more than half of the nodes are sound.
func (c *viewCheck) mostSound(at policy.Instant) bool {
	sound := 0
	for n := range c.Nodes {
		if c.sound(n, at) {
			sound++
		}
	}
	return 2*sound > c.Nodes
}

// removed judges that one node has removed another.
func (c *viewCheck) removed(by, node int, before []string, at policy.Instant) {
	seconds := time.Duration(at).Seconds()
	cause := c.faultOf(node, at, removalSlack)
	if own := c.faultOf(by, at, wakeTime); own != nil {
		if c.rash(by, node, before, at, own, cause) {
			c.verdict.UnjustifiedRemovals++
			c.verdict.note("%.1f s: %s, in trouble itself, takes out %s", seconds, NameOf(by), NameOf(node))
		}
		return
	}
	if !c.sound(by, at) {
		return
	}
	if c.mostSound(at) && (cause == nil || cause.to.Since(cause.from) <= c.pause && !cause.ended) {
		c.verdict.FalseRemovals++
		c.verdict.note("%.1f s: %s takes out %s, which nothing befell", seconds, NameOf(by), NameOf(node))
		return
	}
	if cause == nil {
		return
	}
	key := removal{observer: by, cause: cause}
	c.removals[key]++
	if c.removals[key] > 1 && c.undisturbed(cause, at) {
		c.verdict.Flaps++
		c.verdict.note("%.1f s: %s takes out %s once more", seconds, NameOf(by), NameOf(node))
		return
	}
	c.verdict.Detect = append(c.verdict.Detect, at.Since(cause.from).Seconds())
}

// rash tells whether a node in trouble itself had no ground to remove another.
func (c *viewCheck) rash(by, node int, before []string, at policy.Instant, own, cause *episode) bool {
	befell := slices.ContainsFunc(c.episodes, func(e episode) bool {
		return e.node == node && e.from <= at && e.to.Add(c.pause+removalSlack) >= own.from
	})
	if !befell {
		return true
	}
	if own.stood || cause != nil && cause.stood { // a process that does not run is out, whoever says so
		return false
	}
	evidenceFrom := at.Add(-c.pause - evidenceSlack)
	return c.witnesses(by, node, at, evidenceFrom) <= 1 && !c.heardHalf(by, before, evidenceFrom, at)
}

// witnesses counts the nodes that hear half of their members and do not hear the one that was removed: the removal may
// rest on their statements.
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

// undisturbed tells whether no other node's fault began or ended since an episode began: else another node's statement
// may have changed the decision.
func (c *viewCheck) undisturbed(e *episode, at policy.Instant) bool {
	return !e.weak && !slices.ContainsFunc(c.episodes, func(other episode) bool {
		began := other.from > e.from && other.from < at
		ended := other.to > e.from && other.to < at
		return other.node != e.node && (began || ended)
	})
}

// compareUntil compares views with the truth at each step up to an instant.
func (c *viewCheck) compareUntil(until policy.Instant) {
	for ; c.next <= until; c.next = c.next.Add(checkInterval) {
		if c.verdict.Formed < 0 {
			continue
		}
		c.findMissed(c.next)
		o := c.firstUnlike(c.next)
		if o < 0 {
			continue
		}
		c.apart = c.next
		if c.settled(c.next) && c.next%policy.Instant(time.Second) == 0 {
			c.verdict.DivergedSeconds++
			c.verdict.note("%.1f s: %s has %v", time.Duration(c.next).Seconds(), NameOf(o), c.nodes[o].members)
		}
	}
}

// firstUnlike returns the first node whose view is not the truth where it should be; -1 for none.
func (c *viewCheck) firstUnlike(at policy.Instant) int {
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

// settled tells whether nothing has begun or ended for so long that all views have to be the same.
func (c *viewCheck) settled(at policy.Instant) bool {
	for _, e := range c.episodes {
		begins := e.from <= at && at < e.from.Add(decisionTime)
		ends := e.to <= at && at < e.to.Add(convergenceTime)
		if begins || ends {
			return false
		}
		if e.stood || !e.during(at) {
			continue
		}
		// A node that was out as a cut began may stay out while it lasts: nobody can tell then who has the majority.
		for _, other := range c.episodes {
			if other.to <= at && other.to.Add(convergenceTime) > e.from {
				return false
			}
		}
	}
	return true
}

// findMissed counts, once for each episode, the observers that should have removed its node by now.
func (c *viewCheck) findMissed(at policy.Instant) {
	for i := range c.episodes {
		e := &c.episodes[i]
		beforeFormed := e.from.Since(0).Seconds() < c.verdict.Formed
		if c.looked[i] || e.weak || at < e.from.Add(decisionTime) || beforeFormed || c.othersJustBack(e, at) {
			continue
		}
		c.looked[i] = true
		majority := 2*c.fewestUp(e.from, at) > c.Nodes
		for o := range c.Nodes {
			if !majority || e.to <= at || o == e.node || !c.sound(o, e.from) || !c.sound(o, at) {
				continue
			}
			if slices.Contains(c.nodes[o].members, NameOf(e.node)) {
				c.verdict.Missed++
				c.verdict.note("%.1f s: %s does not take out %s",
					time.Duration(e.from).Seconds(), NameOf(o), NameOf(e.node))
			}
		}
	}
}

// othersJustBack tells whether other nodes had only just come back as a cut began.
func (c *viewCheck) othersJustBack(e *episode, at policy.Instant) bool {
	return slices.ContainsFunc(c.episodes, func(other episode) bool {
		return other.node != e.node && !e.stood &&
			other.to.Add(convergenceTime) > e.from && other.from < at && other.to < at
	})
}

// fewestUp is the least number of nodes that nothing befell, over a span.
func (c *viewCheck) fewestUp(from, to policy.Instant) int {
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
