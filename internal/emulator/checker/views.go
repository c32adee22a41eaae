package checker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/membership/trace"
	"dahliapin/policy"
)

// maxLines bounds the lines of traces that are kept.
const maxLines = 200_000

// Views records what nodes say of one another, and what really befell them. The nodes are named n1 and so on.
type Views struct {
	Nodes          int             `json:"nodes"`
	Lines          []trace.Line    `json:"lines"`
	ProcessChanges []ProcessChange `json:"truths"`
	Dropped        int             `json:"dropped,omitempty"` // lines beyond what is kept
	cuts           []cut
}

// ProcessChange says that a node's process runs from an instant on, or does not.
type ProcessChange struct {
	At   policy.Instant `json:"at_ns"`
	Node string         `json:"node"`
	Runs bool           `json:"runs"`
	New  bool           `json:"new,omitempty"` // by another process than before
}

// cut says that what one node sends no longer reaches another from an instant on, or reaches it again.
type cut struct {
	at       policy.Instant
	from, to int // numbers of nodes, from 0
	on       bool
}

// NewViews returns a record of so many nodes that has no lines yet.
func NewViews(nodes int) *Views { return &Views{Nodes: nodes} }

// NameOf returns a node's name by its number from 0.
func NameOf(n int) string { return "n" + strconv.Itoa(n+1) }

// AddLine keeps a line of a node's trace. Beyond a bound lines are counted and dropped.
func (v *Views) AddLine(at policy.Instant, l trace.Line) {
	l.At = at
	if len(v.Lines) >= maxLines {
		v.Dropped++
		return
	}
	v.Lines = append(v.Lines, l)
}

// RecordProcess keeps whether a node's process runs from now on. It may be called on a nil record, which keeps nothing.
func (v *Views) RecordProcess(now policy.Instant, node string, runs, anew bool) {
	if v != nil {
		v.ProcessChanges = append(v.ProcessChanges, ProcessChange{At: now, Node: node, Runs: runs, New: anew})
	}
}

// RecordCut keeps whether what one node sends is kept from another from now on.
func (v *Views) RecordCut(now policy.Instant, from, to int, on bool) {
	v.cuts = append(v.cuts, cut{at: now, from: from, to: to, on: on})
}

// From returns a copy whose times begin with the scenario's, with its lines in order of time: those of several processes
// do not come in order. A nil record gives nil.
func (v *Views) From(start policy.Instant) *Views {
	if v == nil {
		return nil
	}
	c := &Views{
		Nodes:          v.Nodes,
		Lines:          slices.Clone(v.Lines),
		ProcessChanges: slices.Clone(v.ProcessChanges),
		Dropped:        v.Dropped,
		cuts:           slices.Clone(v.cuts),
	}
	for i := range c.Lines {
		c.Lines[i].At -= start
	}
	for i := range c.ProcessChanges {
		c.ProcessChanges[i].At -= start
	}
	for i := range c.cuts {
		c.cuts[i].at -= start
	}
	slices.SortStableFunc(c.Lines, func(a, b trace.Line) int { return cmp.Compare(a.At, b.At) })
	return c
}

// runsAt tells whether a node's process runs at an instant.
func (v *Views) runsAt(node int, at policy.Instant) bool {
	runs := true
	for _, t := range v.ProcessChanges {
		if t.At <= at && t.Node == NameOf(node) {
			runs = t.Runs
		}
	}
	return runs
}

// isCutAt tells whether what one node sends does not reach another at an instant.
func (v *Views) isCutAt(from, to int, at policy.Instant) bool {
	on := false
	for _, c := range v.cuts {
		if c.at <= at && c.from == from && c.to == to {
			on = c.on
		}
	}
	return on
}

// hearsHalf tells whether a node can hear half of the given nodes at an instant.
func (v *Views) hearsHalf(node int, members []string, at policy.Instant) bool {
	heard, others := 0, 0
	for n := range v.Nodes {
		if n == node || !slices.Contains(members, NameOf(n)) {
			continue
		}
		others++
		if v.runsAt(n, at) && !v.isCutAt(n, node, at) {
			heard++
		}
	}
	return 2*heard >= others
}

// heardHalf tells whether a node could hear half of the nodes that it had as members, or half of all, at some time of a
// span: its decision may rest on what it heard then.
func (v *Views) heardHalf(node int, members []string, from, to policy.Instant) bool {
	const step = 50 * time.Millisecond // far below the time between heartbeats
	var all []string
	for n := range v.Nodes {
		all = append(all, NameOf(n))
	}
	for at := from; at <= to; at = at.Add(step) {
		if v.hearsHalf(node, members, at) || v.hearsHalf(node, all, at) {
			return true
		}
	}
	return false
}
