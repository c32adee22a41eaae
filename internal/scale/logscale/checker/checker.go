// Package checker checks the traces of a run of the replicated log, and measures how long changes took.
//
// It checks these invariants:
//
//   - A node misses no entry, and applies each entry once and in order.
//   - An entry is acknowledged, and in force at a node, only after a majority of the voters have it on disk.
//   - A node reports an entry only after it has applied it.
//   - A node starts under the configuration that is in force at its first index.
//
// The evidence is what voters had on disk, what the publisher sent and received, and what each node applied. The
// checker relies on the clock, which all processes of a machine share, but not on statements of processes about each
// other.
//
// A Checker takes its input in this order: AddStored, AddPublished, AddNodeRecord, and then Report. It is not safe for
// concurrent use.
package checker

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/monotime"
)

const maxExamples = 5 // maximum number of examples of each breach

// The breaches.
const (
	Missing      = "missing"                          // a node skipped an entry, or ended without an acknowledged one
	Duplicated   = "doubled"                          // an entry was applied twice, or a change has two indexes
	OutOfOrder   = "out of order"                     // nodes and the publisher disagree on the entry at an index
	EarlyAck     = "acknowledged before a majority"   // a majority of the voters did not have the entry on disk yet
	EarlyInForce = "in force before it was ordered"   // a majority of the voters did not have the entry on disk yet
	EarlyReport  = "told too early"                   // a node reported an entry that it had not applied yet
	StaleStart   = "began under an old configuration" // a later configuration was in force at the node's first index
)

// Breach is a violated invariant with the number of violations and some examples.
type Breach struct {
	What     string   `json:"what"`
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

// DurationStats summarizes a set of durations, in seconds.
type DurationStats struct {
	Count  int     `json:"count"`
	Median float64 `json:"median_s"`
	P99    float64 `json:"p99_s"`
	Max    float64 `json:"most_s"`
}

// PhaseReport summarizes the times that the changes of a phase took: from publishing to acknowledgement, and from each
// of these to the last observed node.
type PhaseReport struct {
	Phase         string        `json:"play"`
	Config        bool          `json:"config"` // the changes are configurations, otherwise purges
	Acked         DurationStats `json:"acked"`
	FromSent      DurationStats `json:"from_sent_to_last_node"`
	FromAcked     DurationStats `json:"from_acked_to_last_node"`
	Unacked       int           `json:"never_acknowledged"`
	NodesObserved int           `json:"nodes_looked_at"`
}

// Report is the result of checking a whole run.
type Report struct {
	Breaches []Breach      `json:"breaches"`
	Entries  uint64        `json:"entries"`
	Nodes    int           `json:"nodes"`           // nodes with a trace
	Applied  uint64        `json:"applied"`         // entries applied by all nodes together
	Presumed int           `json:"presumed_purged"` // number of times that a node that had started did so again
	Refused  int           `json:"refused"`         // configurations that a node rejected as invalid
	Phases   []PhaseReport `json:"plays"`
}

// change is a change of the log.
type change struct {
	index  uint64             // 0 if not known yet
	onDisk []monotime.Instant // by voter: when it first had the change on disk; 0 for never
}

// nodeState is the progress of a node.
type nodeState struct {
	started bool
	applied uint64 // last index
}

// nodeStart is the start of a node at an index, under the configuration with a mark.
type nodeStart struct {
	node        uint32
	index, mark uint64
}

// Checker checks the traces of a run: first the stored and published changes, then the records of each node in order.
type Checker struct {
	voters       int
	changes      map[uint64]*change // by mark, the hash of a change's content
	markByIndex  map[uint64]uint64  // marks by index
	published    []logtrace.PublishedChange
	nodes        map[uint32]*nodeState
	starts       []nodeStart
	applied      map[uint64]monotime.Instant // by index: when the last observed node applied the entry
	observed     func(node uint32) bool
	breachByKind map[string]*Breach
	report       Report
	highest      uint64   // highest acknowledged index
	configs      []uint64 // indexes of configurations
}

// New returns a checker for a log with the given number of voters. Durations cover the nodes for which observed returns
// true; nil selects all.
func New(voters int, observed func(node uint32) bool) *Checker {
	if observed == nil {
		observed = func(uint32) bool { return true }
	}
	return &Checker{
		voters:       voters,
		changes:      map[uint64]*change{},
		markByIndex:  map[uint64]uint64{},
		nodes:        map[uint32]*nodeState{},
		applied:      map[uint64]monotime.Instant{},
		observed:     observed,
		breachByKind: map[string]*Breach{},
	}
}

// addBreach counts a breach, and adds an example to it.
func (c *Checker) addBreach(what, format string, args ...any) {
	b := c.breachByKind[what]
	if b == nil {
		b = &Breach{What: what}
		c.breachByKind[what] = b
	}
	b.Count++
	if len(b.Examples) < maxExamples {
		b.Examples = append(b.Examples, fmt.Sprintf(format, args...))
	}
}

// AddStored adds the changes that a voter has on disk. Voters are numbered from 0; learners must not be added.
func (c *Checker) AddStored(voter int, k logtrace.DurableEntries) {
	for _, mark := range k.Marks {
		ch := c.changes[mark]
		if ch == nil {
			ch = &change{onDisk: make([]monotime.Instant, c.voters)}
			c.changes[mark] = ch
		}
		if ch.onDisk[voter] == 0 || k.At < ch.onDisk[voter] {
			ch.onDisk[voter] = k.At
		}
	}
}

// majority returns the time from which a majority of the voters had a change on disk, or math.MaxInt64 for never.
func (c *Checker) majority(mark uint64) monotime.Instant {
	ch := c.changes[mark]
	if ch == nil {
		return math.MaxInt64
	}
	at := slices.Clone(ch.onDisk)
	for i := range at {
		if at[i] == 0 {
			at[i] = math.MaxInt64
		}
	}
	slices.Sort(at)
	return at[c.voters/2]
}

// AddPublished adds a published change.
func (c *Checker) AddPublished(o logtrace.PublishedChange) {
	c.published = append(c.published, o)
	if o.Index == 0 {
		return
	}
	if at := c.majority(o.Mark); at > o.Acked {
		c.addBreach(EarlyAck, "entry %d", o.Index)
	}
	c.recordIndex(o.Mark, o.Index, "its publisher")
	if o.Config {
		c.configs = append(c.configs, o.Index)
	}
	c.highest = max(c.highest, o.Index)
}

// recordIndex records that a change has an index according to a source, and checks that all sources agree.
func (c *Checker) recordIndex(mark, index uint64, by string) {
	if was, is := c.markByIndex[index]; is && was != mark {
		c.addBreach(OutOfOrder, "entry %d is a different change according to %s", index, by)
		return
	}
	ch := c.changes[mark]
	if ch == nil {
		ch = &change{onDisk: make([]monotime.Instant, c.voters)}
		c.changes[mark] = ch
	}
	if ch.index != 0 && ch.index != index {
		c.addBreach(Duplicated, "the change of entry %d is also entry %d according to %s", ch.index, index, by)
	}
	ch.index = index
	c.markByIndex[index] = mark
}

// AddNodeRecord adds the next record of a node.
func (c *Checker) AddNodeRecord(r logtrace.NodeEvent) {
	n := c.nodes[r.Node]
	if n == nil {
		n = &nodeState{}
		c.nodes[r.Node] = n
	}
	switch r.Kind {
	case logtrace.Began:
		if n.started {
			c.report.Presumed++
		}
		if n.started && r.Index <= n.applied {
			c.addBreach(Duplicated, "node %d started again at %d after it had applied %d", r.Node, r.Index, n.applied)
		}
		c.starts = append(c.starts, nodeStart{node: r.Node, index: r.Index, mark: r.Mark})
		n.started = true
		n.applied = r.Index
	case logtrace.Refused:
		c.report.Refused++
	case logtrace.Applied:
		c.onApplied(n, r)
	case logtrace.Acknowledged:
		if r.Index > n.applied {
			c.addBreach(EarlyReport, "node %d reported entry %d after applying only up to %d",
				r.Node, r.Index, n.applied)
		}
	}
}

// onApplied checks the application of an entry by a node.
func (c *Checker) onApplied(n *nodeState, r logtrace.NodeEvent) {
	c.report.Applied++
	switch {
	case r.Index <= n.applied:
		c.addBreach(Duplicated, "node %d applied %d after %d", r.Node, r.Index, n.applied)
	case !n.started || r.Index > n.applied+1:
		c.addBreach(Missing, "node %d applied %d after %d", r.Node, r.Index, n.applied)
	}
	n.applied = max(n.applied, r.Index)
	c.recordIndex(r.Mark, r.Index, fmt.Sprintf("node %d", r.Node))
	if c.majority(r.Mark) > r.At {
		c.addBreach(EarlyInForce, "entry %d at node %d", r.Index, r.Node)
	}
	if c.observed(r.Node) {
		c.applied[r.Index] = max(c.applied[r.Index], r.At)
	}
}

// summarize summarizes durations. It sorts its argument.
func summarize(all []time.Duration) DurationStats {
	if len(all) == 0 {
		return DurationStats{}
	}
	slices.Sort(all)
	at := func(q float64) float64 {
		return all[min(len(all)-1, int(math.Ceil(q*float64(len(all))))-1)].Seconds()
	}
	return DurationStats{Count: len(all), Median: at(0.5), P99: at(0.99), Max: all[len(all)-1].Seconds()}
}

// Report returns the result. It must be called after all traces have been added. nodes is the expected number of nodes
// with a trace.
func (c *Checker) Report(nodes int) Report {
	c.checkEnds(nodes)
	c.checkStarts()
	c.report.Nodes = len(c.nodes)
	c.report.Entries = uint64(len(c.markByIndex))
	c.report.Phases = append(c.report.Phases, c.phases()...)
	c.report.Breaches = c.breaches(Missing, Duplicated, OutOfOrder, EarlyAck, EarlyInForce, EarlyReport, StaleStart)
	return c.report
}

// checkEnds checks that all nodes have a trace and have applied all acknowledged entries.
func (c *Checker) checkEnds(nodes int) {
	if len(c.nodes) != nodes {
		c.addBreach(Missing, "%d nodes have a trace, want %d", len(c.nodes), nodes)
	}
	for id, n := range c.nodes {
		if n.applied < c.highest {
			c.addBreach(Missing, "node %d applied entries up to %d of %d", id, n.applied, c.highest)
		}
	}
}

// checkStarts checks that each node started under the newest configuration at its first index.
func (c *Checker) checkStarts() {
	slices.Sort(c.configs)
	for _, b := range c.starts {
		at, _ := slices.BinarySearch(c.configs, b.index+1)
		if at > 0 && c.markByIndex[c.configs[at-1]] != b.mark {
			c.addBreach(StaleStart, "node %d at index %d, where the configuration of entry %d was in force",
				b.node, b.index, c.configs[at-1])
		}
	}
}

// phases summarizes the durations by phase and kind of change, in the order in which these were first published.
func (c *Checker) phases() []PhaseReport {
	type kind struct {
		phase  string
		config bool
	}
	type times struct {
		acked     []time.Duration // from publishing to acknowledgement
		fromSent  []time.Duration // from publishing to the last node
		fromAcked []time.Duration // from acknowledgement to the last node
		unacked   int
	}
	byKind := map[kind]*times{}
	var order []kind
	for _, o := range c.published {
		k := kind{phase: o.Phase, config: o.Config}
		t := byKind[k]
		if t == nil {
			t = &times{}
			byKind[k] = t
			order = append(order, k)
		}
		if o.Index == 0 {
			t.unacked++
			continue
		}
		t.acked = append(t.acked, time.Duration(o.Acked-o.Sent))
		if applied, ok := c.applied[o.Index]; ok {
			t.fromSent = append(t.fromSent, time.Duration(applied-o.Sent))
			t.fromAcked = append(t.fromAcked, max(0, time.Duration(applied-o.Acked)))
		}
	}
	nodesObserved := c.observedNodes()
	var phases []PhaseReport
	for _, k := range order {
		t := byKind[k]
		phases = append(phases, PhaseReport{
			Phase:         k.phase,
			Config:        k.config,
			Acked:         summarize(t.acked),
			FromSent:      summarize(t.fromSent),
			FromAcked:     summarize(t.fromAcked),
			Unacked:       t.unacked,
			NodesObserved: nodesObserved,
		})
	}
	return phases
}

// observedNodes returns the number of nodes that durations cover.
func (c *Checker) observedNodes() int {
	count := 0
	for id := range c.nodes {
		if c.observed(id) {
			count++
		}
	}
	return count
}

// breaches returns the breaches of the given kinds in this order. It never returns nil, so that a report contains a
// list.
func (c *Checker) breaches(kinds ...string) []Breach {
	broken := []Breach{}
	for _, kind := range kinds {
		if b := c.breachByKind[kind]; b != nil {
			broken = append(broken, *b)
		}
	}
	return broken
}
