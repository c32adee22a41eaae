package checker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/membership/trace"
	"dahliapin/policy"
)

// maxLines is the maximum number of recorded trace lines.
const maxLines = 200_000

// Views records the nodes' membership views and the actual state of their processes and links. The nodes' names are n1,
// n2 and so on.
type Views struct {
	Nodes          int             `json:"nodes"`
	Lines          []trace.Line    `json:"lines"`
	ProcessChanges []ProcessChange `json:"truths"`
	Dropped        int             `json:"dropped,omitempty"` // lines beyond maxLines
	cuts           []cut
}

// ProcessChange records that a node's process starts or stops running at an instant.
type ProcessChange struct {
	At   policy.Instant `json:"at_ns"`
	Node string         `json:"node"`
	Runs bool           `json:"runs"`
	New  bool           `json:"new,omitempty"` // a new process replaces the earlier one
}

// cut records that messages from one node to another are blocked, or no longer blocked, from an instant on.
type cut struct {
	at       policy.Instant
	from, to int // numbers of nodes, from 0
	on       bool
}

// NewViews returns an empty record of the given number of nodes.
func NewViews(nodes int) *Views { return &Views{Nodes: nodes} }

// NameOf returns a node's name by its number from 0.
func NameOf(n int) string { return "n" + strconv.Itoa(n+1) }

// AddLine adds a line of a node's trace. Lines beyond maxLines are dropped and counted.
func (v *Views) AddLine(at policy.Instant, l trace.Line) {
	l.At = at
	if len(v.Lines) >= maxLines {
		v.Dropped++
		return
	}
	v.Lines = append(v.Lines, l)
}

// RecordProcess records whether a node's process runs from now on, and whether it is a new one. A nil record ignores
// the call.
func (v *Views) RecordProcess(now policy.Instant, node string, runs, anew bool) {
	if v != nil {
		v.ProcessChanges = append(v.ProcessChanges, ProcessChange{At: now, Node: node, Runs: runs, New: anew})
	}
}

// RecordCut records whether messages from one node to another are blocked from now on.
func (v *Views) RecordCut(now policy.Instant, from, to int, on bool) {
	v.cuts = append(v.cuts, cut{at: now, from: from, to: to, on: on})
}

// From returns a copy with times relative to the scenario's start. Its lines are sorted by time, as lines of different
// processes do not arrive in order. It returns nil for a nil record.
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

// runsAt reports whether a node's process was running at an instant.
func (v *Views) runsAt(node int, at policy.Instant) bool {
	runs := true
	for _, t := range v.ProcessChanges {
		if t.At <= at && t.Node == NameOf(node) {
			runs = t.Runs
		}
	}
	return runs
}

// isCutAt reports whether messages from one node to another were blocked at an instant.
func (v *Views) isCutAt(from, to int, at policy.Instant) bool {
	on := false
	for _, c := range v.cuts {
		if c.at <= at && c.from == from && c.to == to {
			on = c.on
		}
	}
	return on
}

// hearsHalf reports whether a node could receive messages from at least half of the given nodes at an instant.
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

// heardHalf reports whether a node could receive messages from at least half of its members, or of all nodes, at some
// time of a span. Its decision may be based on messages of that time.
func (v *Views) heardHalf(node int, members []string, from, to policy.Instant) bool {
	const step = 50 * time.Millisecond // far below the heartbeat interval
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
