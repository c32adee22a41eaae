package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/membership/trace"
	"dahliapin/policy"
)

const (
	mostLines  = 200_000                // of traces that are kept
	afterwards = 3 * time.Second        // after what befell a node, until what it says and what is said of it counts again
	judgedBy   = 200 * time.Millisecond // more than the pause, before a removal: what it went by was so then, or later
	betweenTwo = 600 * time.Millisecond // of a node's troubles, less is too short for signs of life to get through
	outAfter   = time.Second            // a trouble has ended, one may still be taken out for it
	outBy      = 10 * time.Second       // for the fleet to come to its decision
	sameBy     = 5 * time.Second        // after the last fault, for all views to be the same
	onWaking   = 300 * time.Millisecond // that a node takes to be about itself: no removal by it counts as one by somebody sound
)

// Views are what nodes say of one another, and what befell them.
type Views struct {
	Nodes   int          `json:"nodes"` // named n1 and so on
	Lines   []trace.Line `json:"lines"`
	Truths  []Truth      `json:"truths"`
	Dropped int          `json:"dropped,omitempty"`
	cuts    []cutting
}

// Truth is that a node's process runs from then on, or does not.
type Truth struct {
	At   policy.Instant `json:"at_ns"`
	Node string         `json:"node"`
	Runs bool           `json:"runs"`
	New  bool           `json:"new,omitempty"` // by another process than before
}

type cutting struct {
	at       policy.Instant
	from, to int
	cut      bool
}

// NewViews has heard nothing yet.
func NewViews(nodes int) *Views { return &Views{Nodes: nodes} }

// NameOf is a node's name, by its number from 0.
func NameOf(n int) string { return "n" + strconv.Itoa(n+1) }

// Heard keeps a line.
func (v *Views) Heard(at policy.Instant, l trace.Line) {
	l.At = at
	if len(v.Lines) >= mostLines {
		v.Dropped++
		return
	}
	v.Lines = append(v.Lines, l)
}

// Truth keeps what is true of a node from now on.
func (v *Views) Truth(now policy.Instant, node string, runs, anew bool) {
	if v != nil {
		v.Truths = append(v.Truths, Truth{now, node, runs, anew})
	}
}

// Cut keeps that what one node sends reaches the other no more, or again.
func (v *Views) Cut(now policy.Instant, from, to int, cut bool) {
	v.cuts = append(v.cuts, cutting{now, from, to, cut})
}

// From has times begin with the script's, in order. Lines of several processes do not come in order.
func (v *Views) From(began policy.Instant) *Views {
	if v == nil {
		return nil
	}
	c := &Views{Nodes: v.Nodes, Lines: slices.Clone(v.Lines), Truths: slices.Clone(v.Truths), Dropped: v.Dropped, cuts: slices.Clone(v.cuts)}
	for i := range c.Lines {
		c.Lines[i].At -= began
	}
	for i := range c.Truths {
		c.Truths[i].At -= began
	}
	for i := range c.cuts {
		c.cuts[i].at -= began
	}
	slices.SortStableFunc(c.Lines, func(a, b trace.Line) int { return cmp.Compare(a.At, b.At) })
	return c
}

// episode is that a node did not run, or was cut off from over two fifths of the others, in one direction or the other.
type episode struct {
	node     int
	from, to policy.Instant
	stood    bool // it did not run
	weak     bool // for some time at least it was cut off from over two fifths, but not from half: whether it is out is left open
	ended    bool // and another process came for it
}

func bit(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// episodes finds them all until an end.
func (v *Views) episodes(end policy.Instant) (all []episode) {
	type change struct {
		at   policy.Instant
		make func()
	}
	runs, anew, cut := make([]bool, v.Nodes), make([]bool, v.Nodes), map[[2]int]bool{}
	for n := range runs {
		runs[n] = true // before the script begins all are started
	}
	var changes []change
	for _, t := range v.Truths {
		if n, err := strconv.Atoi(t.Node[1:]); err == nil && t.At >= 0 && n <= v.Nodes {
			changes = append(changes, change{t.At, func() { runs[n-1], anew[n-1] = t.Runs, t.New }})
		}
	}
	for _, c := range v.cuts {
		changes = append(changes, change{c.at, func() { cut[[2]int{c.from, c.to}] = c.cut }})
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	open := make([]*episode, v.Nodes)
	look := func(at policy.Instant) {
		for n := range v.Nodes {
			var others, running, sent, heard, sentRunning, heardRunning int
			for o := range v.Nodes {
				if o == n {
					continue
				}
				others++
				hears, heards := !cut[[2]int{o, n}], !cut[[2]int{n, o}]
				sent, heard = sent+bit(heards), heard+bit(hears)
				if runs[o] {
					running++
					sentRunning, heardRunning = sentRunning+bit(heards), heardRunning+bit(hears)
				}
			}
			cutOff := 2*min(sent, heard) < others || 2*min(sentRunning, heardRunning) < running
			bad := !runs[n] || cutOff || 5*min(sent, heard) < 3*others || 5*min(sentRunning, heardRunning) < 3*running
			weak := runs[n] && !cutOff
			switch e := open[n]; {
			case bad && e == nil:
				open[n] = &episode{node: n, from: at, stood: !runs[n], weak: weak}
			case bad:
				e.stood, e.weak = e.stood || !runs[n], e.weak || weak
			case e != nil:
				e.to, e.ended = at, e.stood && anew[n]
				all = append(all, *e)
				open[n] = nil
			}
		}
	}
	for i, c := range changes {
		if c.make(); i+1 == len(changes) || changes[i+1].at > c.at {
			look(c.at)
		}
	}
	for _, e := range open {
		if e != nil {
			e.to = end
			all = append(all, *e)
		}
	}
	// what befalls a process before it can be in for the one that ended, or before a sign of life of it got through, is one trouble
	for i := range all {
		for j := range all {
			if a, b := &all[i], &all[j]; a.node == b.node && b.from > a.from && (a.ended && b.from < a.to.Add(afterwards) || b.from < a.to.Add(betweenTwo)) {
				b.from, b.stood, b.weak, b.ended = a.from, a.stood || b.stood, true, a.ended || b.ended
				*a = *b
			}
		}
	}
	return all
}

// heardHalf tells whether a node could hear half of those that it had as members, or half of all, at some time between: it may go by what
// it heard then.
func (v *Views) heardHalf(o int, members []string, from, to policy.Instant) bool {
	var all []string
	for n := range v.Nodes {
		all = append(all, NameOf(n))
	}
	for at := from; at <= to; at = at.Add(time.Second / 20) {
		if v.hearsHalf(o, members, at) || v.hearsHalf(o, all, at) {
			return true
		}
	}
	return false
}

func (v *Views) hearsHalf(o int, members []string, at policy.Instant) bool {
	heard, others := 0, 0
	for n := range v.Nodes {
		if n == o || !slices.Contains(members, NameOf(n)) {
			continue
		}
		others++
		runs, cut := true, false
		for _, t := range v.Truths {
			if t.At <= at && t.Node == NameOf(n) {
				runs = t.Runs
			}
		}
		for _, c := range v.cuts {
			if c.at <= at && c.from == n && c.to == o {
				cut = c.cut
			}
		}
		heard += bit(runs && !cut)
	}
	return 2*heard >= others
}

// Verdict is what the judge finds of views.
type Verdict struct {
	Formed  float64   `json:"formed_s"`       // when all first had all
	False   int       `json:"false_removals"` // of nodes that nothing had befallen, or nothing for long enough
	Rash    int       `json:"rash_removals"`  // by nodes that were cut off, or stood still, themselves
	Missed  int       `json:"missed"`         // nodes that should have been out and were not, by observers
	Flaps   int       `json:"flaps"`          // further removals within one trouble, by observers
	Unlike  int       `json:"unlike"`         // seconds in which views should have been the same as the truth, and were not
	Changes int       `json:"changes"`        // of a view, the most at one node, after the first that had all
	Detect  []float64 `json:"detect_s"`       // from what befell a node until it was out, by observers
	Alike   float64   `json:"alike_after_s"`  // from the last change of what befell nodes until all views were the same
	What    []string  `json:"what,omitempty"` // the first things that were wrong
}

// Wrong counts what must not be.
func (d *Verdict) Wrong() int { return d.False + d.Rash + d.Missed + d.Flaps + d.Unlike }

func (d *Verdict) note(format string, args ...any) {
	if len(d.What) < 20 {
		d.What = append(d.What, fmt.Sprintf(format, args...))
	}
}

// Judge looks at one kind of lines; pause is how long a node may stand still and stays a member.
func (v *Views) Judge(what string, pause time.Duration, end policy.Instant) *Verdict {
	d := &Verdict{Formed: -1, Alike: -1}
	es := v.episodes(end)
	in := func(n int, at policy.Instant, spare time.Duration) *episode {
		for i := range es {
			e := &es[i]
			until := e.to.Add(spare)
			if e.ended && spare > 0 { // the old process is out when its silence has been borne long enough, whether the new one is in or not
				until = max(until, e.from.Add(pause+outAfter))
			}
			if e.node == n && at >= e.from && at <= until {
				return e
			}
		}
		return nil
	}
	sound := func(n int, at policy.Instant) bool { return in(n, at, afterwards) == nil }
	most := func(at policy.Instant) bool { // nothing befalls more than half, nor did just now
		n := 0
		for o := range v.Nodes {
			n += bit(sound(o, at))
		}
		return 2*n > v.Nodes
	}
	now, has := make([][]string, v.Nodes), make([]int, v.Nodes) // by observer; and how many changes
	process, came := make([]string, v.Nodes), make([]policy.Instant, v.Nodes)
	type seen struct {
		o int
		e *episode
	}
	outs := map[seen]int{}
	formed := func() bool {
		return !slices.ContainsFunc(now, func(has []string) bool { return len(has) < v.Nodes })
	}
	unlike := func(at policy.Instant) int { // the first observer whose view is not the truth where it should be, or -1
		var want []string
		for n := range v.Nodes {
			switch e := in(n, at, 0); {
			case e == nil:
				want = append(want, NameOf(n))
			case e.weak:
				return -1
			}
		}
		if 2*len(want) <= v.Nodes {
			return -1
		}
		slices.Sort(want)
		for o := range v.Nodes {
			if in(o, at, 0) == nil && !slices.Equal(now[o], want) {
				return o
			}
		}
		return -1
	}
	quiet := func(at policy.Instant) bool { // nothing has begun or ended for so long that all are to be the same
		for _, e := range es {
			if e.from <= at && at < e.from.Add(outBy) || e.to <= at && at < e.to.Add(sameBy) {
				return false
			}
			for _, f := range es { // who was out when a cut began may stay out while it lasts: nobody can tell then who has the majority
				if !e.stood && e.from <= at && at < e.to && f.to <= at && f.to.Add(sameBy) > e.from {
					return false
				}
			}
		}
		return true
	}
	looked := make([]bool, len(es))
	missed := func(at policy.Instant) { // who should be out by now
		for i := range es {
			e := &es[i]
			fresh := slices.ContainsFunc(es, func(f episode) bool { // others were only just back when it began
				return f.node != e.node && !e.stood && f.to.Add(sameBy) > e.from && f.from < at && f.to < at
			})
			if looked[i] || e.weak || fresh || at < e.from.Add(outBy) || e.from.Since(0).Seconds() < d.Formed {
				continue
			}
			looked[i] = true
			majority := v.Nodes
			for t := e.from; t <= at; t = t.Add(outBy / 10) { // all the time
				sound := 0
				for n := range v.Nodes {
					sound += bit(in(n, t, 0) == nil)
				}
				majority = min(majority, sound)
			}
			for o := range v.Nodes {
				if e.to > at && o != e.node && 2*majority > v.Nodes && sound(o, e.from) && sound(o, at) && slices.Contains(now[o], NameOf(e.node)) {
					d.Missed++
					d.note("%.1f s: %s does not take out %s", time.Duration(e.from).Seconds(), NameOf(o), NameOf(e.node))
				}
			}
		}
	}
	last := policy.Instant(0)
	for _, e := range es {
		last = max(last, e.from)
		if e.to < end {
			last = max(last, e.to)
		}
	}
	second, apart := policy.Instant(0), policy.Instant(-1)
	tick := func(until policy.Instant) {
		for ; second <= until; second = second.Add(time.Second / 10) {
			if d.Formed < 0 {
				continue
			}
			missed(second)
			o := unlike(second)
			if o < 0 {
				continue
			}
			if apart = second; quiet(second) && second%policy.Instant(time.Second) == 0 {
				d.Unlike++
				d.note("%.1f s: %s has %v", time.Duration(second).Seconds(), NameOf(o), now[o])
			}
		}
	}
	for _, l := range v.Lines {
		if l.What != what || l.At > end {
			continue
		}
		if l.At >= 0 {
			tick(l.At)
		}
		o, err := strconv.Atoi(l.Node[1:])
		if err != nil || o < 1 || o > v.Nodes {
			continue
		}
		o--
		if process[o] != l.Process { // what another knew is not taken back by it
			process[o], now[o], came[o] = l.Process, nil, l.At
		}
		was := now[o]
		now[o] = slices.Clone(l.Members)
		slices.Sort(now[o])
		if d.Formed < 0 {
			if formed() {
				d.Formed = max(0, time.Duration(l.At).Seconds())
			}
			continue
		}
		if slices.Equal(was, now[o]) {
			continue
		}
		if in(o, l.At, afterwards) == nil && l.At > came[o].Add(sameBy) { // one that comes finds the others one by one
			has[o]++
			d.Changes = max(d.Changes, has[o])
		}
		for n := range v.Nodes {
			name := NameOf(n)
			if n == o || !slices.Contains(was, name) || slices.Contains(now[o], name) {
				continue
			}
			e := in(n, l.At, outAfter)
			if own := in(o, l.At, onWaking); own != nil {
				befell := slices.ContainsFunc(es, func(e episode) bool { return e.node == n && e.from <= l.At && e.to.Add(pause+outAfter) >= own.from })
				sure := e != nil && e.stood // whoever says so, it is so
				witnesses := 0              // or it goes by those who hear half and do not hear that one
				for s := range v.Nodes {
					if s != o && s != n && !v.hearsHalf(s, []string{name}, l.At) && v.heardHalf(s, now[s], l.At.Add(-pause-judgedBy), l.At) {
						witnesses++
					}
				}
				sure = sure || witnesses > 1
				if !befell || !own.stood && !sure && !v.heardHalf(o, was, l.At.Add(-pause-judgedBy), l.At) {
					d.Rash++
					d.note("%.1f s: %s, in trouble itself, takes out %s", time.Duration(l.At).Seconds(), NameOf(o), name)
				}
				continue
			}
			if !sound(o, l.At) {
				continue
			}
			if most(l.At) && (e == nil || e.to.Since(e.from) <= pause && !e.ended) {
				d.False++
				d.note("%.1f s: %s takes out %s, which nothing befell", time.Duration(l.At).Seconds(), NameOf(o), name)
				continue
			}
			if e == nil {
				continue
			}
			alone := !e.weak && !slices.ContainsFunc(es, func(f episode) bool { // else the word of another may have changed it
				return f.node != n && (f.from > e.from && f.from < l.At || f.to > e.from && f.to < l.At)
			})
			if outs[seen{o, e}]++; outs[seen{o, e}] > 1 && alone {
				d.Flaps++
				d.note("%.1f s: %s takes out %s once more", time.Duration(l.At).Seconds(), NameOf(o), name)
				continue
			}
			d.Detect = append(d.Detect, l.At.Since(e.from).Seconds())
		}
	}
	tick(end)
	if apart < policy.Instant(end)-policy.Instant(time.Second) {
		d.Alike = max(0, apart.Since(last).Seconds())
	}
	slices.Sort(d.Detect)
	return d
}
