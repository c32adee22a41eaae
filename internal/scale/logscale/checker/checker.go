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
	begun   bool
	applied uint64 // last index
}

// beginning is the start of a node at an index, under the configuration with a mark.
type beginning struct {
	node        uint32
	index, mark uint64
}

// Checker checks the traces of a run: first the stored and published changes, then the records of each node in order.
type Checker struct {
	voters  int
	changes map[uint64]*change // by mark, the hash of a change's content
	byIndex map[uint64]uint64  // marks by index
	orders  []logtrace.PublishedChange
	nodes   map[uint32]*nodeState
	begins  []beginning
	applied map[uint64]monotime.Instant // by index: when the last observed node applied the entry
	looked  func(node uint32) bool
	breach  map[string]*Breach
	report  Report
	highest uint64   // highest acknowledged index
	configs []uint64 // indexes of configurations
}

// New returns a checker for a log with the given number of voters. Durations cover the nodes for which looked returns
// true; nil selects all.
func New(voters int, looked func(node uint32) bool) *Checker {
	if looked == nil {
		looked = func(uint32) bool { return true }
	}
	return &Checker{
		voters:  voters,
		changes: map[uint64]*change{},
		byIndex: map[uint64]uint64{},
		nodes:   map[uint32]*nodeState{},
		applied: map[uint64]monotime.Instant{},
		looked:  looked,
		breach:  map[string]*Breach{},
	}
}

// addBreach counts a breach, and adds an example to it.
func (j *Checker) addBreach(what, format string, args ...any) {
	b := j.breach[what]
	if b == nil {
		b = &Breach{What: what}
		j.breach[what] = b
	}
	b.Count++
	if len(b.Examples) < maxExamples {
		b.Examples = append(b.Examples, fmt.Sprintf(format, args...))
	}
}

// AddStored adds the changes that a voter has on disk. Voters are numbered from 0; learners must not be added.
func (j *Checker) AddStored(voter int, k logtrace.DurableEntries) {
	for _, mark := range k.Marks {
		c := j.changes[mark]
		if c == nil {
			c = &change{onDisk: make([]monotime.Instant, j.voters)}
			j.changes[mark] = c
		}
		if c.onDisk[voter] == 0 || k.At < c.onDisk[voter] {
			c.onDisk[voter] = k.At
		}
	}
}

// majority returns the time from which a majority of the voters had a change on disk, or math.MaxInt64 for never.
func (j *Checker) majority(mark uint64) monotime.Instant {
	c := j.changes[mark]
	if c == nil {
		return math.MaxInt64
	}
	at := slices.Clone(c.onDisk)
	for i := range at {
		if at[i] == 0 {
			at[i] = math.MaxInt64
		}
	}
	slices.Sort(at)
	return at[j.voters/2]
}

// AddPublished adds a published change.
func (j *Checker) AddPublished(o logtrace.PublishedChange) {
	j.orders = append(j.orders, o)
	if o.Index == 0 {
		return
	}
	if at := j.majority(o.Mark); at > o.Acked {
		j.addBreach(EarlyAck, "entry %d", o.Index)
	}
	j.place(o.Mark, o.Index, "its publisher")
	if o.Config {
		j.configs = append(j.configs, o.Index)
	}
	j.highest = max(j.highest, o.Index)
}

// place records that a change has an index according to a source, and checks that all sources agree.
func (j *Checker) place(mark, index uint64, by string) {
	if was, is := j.byIndex[index]; is && was != mark {
		j.addBreach(OutOfOrder, "entry %d is a different change according to %s", index, by)
		return
	}
	c := j.changes[mark]
	if c == nil {
		c = &change{onDisk: make([]monotime.Instant, j.voters)}
		j.changes[mark] = c
	}
	if c.index != 0 && c.index != index {
		j.addBreach(Duplicated, "the change of entry %d is also entry %d according to %s", c.index, index, by)
	}
	c.index = index
	j.byIndex[index] = mark
}

// AddNodeRecord adds the next record of a node.
func (j *Checker) AddNodeRecord(r logtrace.NodeEvent) {
	n := j.nodes[r.Node]
	if n == nil {
		n = &nodeState{}
		j.nodes[r.Node] = n
	}
	switch r.Kind {
	case logtrace.Began:
		if n.begun {
			j.report.Presumed++
		}
		if n.begun && r.Index <= n.applied {
			j.addBreach(Duplicated, "node %d started again at %d after it had applied %d", r.Node, r.Index, n.applied)
		}
		j.begins = append(j.begins, beginning{node: r.Node, index: r.Index, mark: r.Mark})
		n.begun = true
		n.applied = r.Index
	case logtrace.Refused:
		j.report.Refused++
	case logtrace.Applied:
		j.onApplied(n, r)
	case logtrace.Acknowledged:
		if r.Index > n.applied {
			j.addBreach(EarlyReport, "node %d reported entry %d after applying only up to %d",
				r.Node, r.Index, n.applied)
		}
	}
}

// onApplied checks the application of an entry by a node.
func (j *Checker) onApplied(n *nodeState, r logtrace.NodeEvent) {
	j.report.Applied++
	switch {
	case r.Index <= n.applied:
		j.addBreach(Duplicated, "node %d applied %d after %d", r.Node, r.Index, n.applied)
	case !n.begun || r.Index > n.applied+1:
		j.addBreach(Missing, "node %d applied %d after %d", r.Node, r.Index, n.applied)
	}
	n.applied = max(n.applied, r.Index)
	j.place(r.Mark, r.Index, fmt.Sprintf("node %d", r.Node))
	if j.majority(r.Mark) > r.At {
		j.addBreach(EarlyInForce, "entry %d at node %d", r.Index, r.Node)
	}
	if j.looked(r.Node) {
		j.applied[r.Index] = max(j.applied[r.Index], r.At)
	}
}

// spans summarizes durations. It sorts its argument.
func spans(all []time.Duration) DurationStats {
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
func (j *Checker) Report(nodes int) Report {
	j.checkEnds(nodes)
	j.checkBeginnings()
	j.report.Nodes = len(j.nodes)
	j.report.Entries = uint64(len(j.byIndex))
	j.report.Phases = append(j.report.Phases, j.phases()...)
	j.report.Breaches = j.breaches(Missing, Duplicated, OutOfOrder, EarlyAck, EarlyInForce, EarlyReport, StaleStart)
	return j.report
}

// checkEnds checks that all nodes have a trace and have applied all acknowledged entries.
func (j *Checker) checkEnds(nodes int) {
	if len(j.nodes) != nodes {
		j.addBreach(Missing, "%d nodes have a trace, want %d", len(j.nodes), nodes)
	}
	for id, n := range j.nodes {
		if n.applied < j.highest {
			j.addBreach(Missing, "node %d applied entries up to %d of %d", id, n.applied, j.highest)
		}
	}
}

// checkBeginnings checks that each node started under the newest configuration at its first index.
func (j *Checker) checkBeginnings() {
	slices.Sort(j.configs)
	for _, b := range j.begins {
		at, _ := slices.BinarySearch(j.configs, b.index+1)
		if at > 0 && j.byIndex[j.configs[at-1]] != b.mark {
			j.addBreach(StaleStart, "node %d at index %d, where the configuration of entry %d was in force",
				b.node, b.index, j.configs[at-1])
		}
	}
}

// phases summarizes the durations by phase and kind of change, in the order in which these were first published.
func (j *Checker) phases() []PhaseReport {
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
	for _, o := range j.orders {
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
		if applied, ok := j.applied[o.Index]; ok {
			t.fromSent = append(t.fromSent, time.Duration(applied-o.Sent))
			t.fromAcked = append(t.fromAcked, max(0, time.Duration(applied-o.Acked)))
		}
	}
	looked := j.nodesLookedAt()
	var phases []PhaseReport
	for _, k := range order {
		t := byKind[k]
		phases = append(phases, PhaseReport{
			Phase:         k.phase,
			Config:        k.config,
			Acked:         spans(t.acked),
			FromSent:      spans(t.fromSent),
			FromAcked:     spans(t.fromAcked),
			Unacked:       t.unacked,
			NodesObserved: looked,
		})
	}
	return phases
}

// nodesLookedAt returns the number of nodes that durations cover.
func (j *Checker) nodesLookedAt() int {
	looked := 0
	for id := range j.nodes {
		if j.looked(id) {
			looked++
		}
	}
	return looked
}

// breaches returns the breaches of the given kinds in this order. It never returns nil, so that a report contains a
// list.
func (j *Checker) breaches(kinds ...string) []Breach {
	broken := []Breach{}
	for _, kind := range kinds {
		if b := j.breach[kind]; b != nil {
			broken = append(broken, *b)
		}
	}
	return broken
}
