// Package checker checks the traces that a run of the replicated log left behind, and measures how long changes took.
//
// The invariants are: no entry is missing at a node, applied twice or applied out of order; none is acknowledged or in
// force before a majority of the voters had it on disk; no node reports an entry before it has applied it; and a node
// begins under the configuration in force. They are checked against the records of voters' disks, of the publisher and
// of all nodes; of what processes say about each other only the clocks are trusted, which are those of one machine.
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

const maxExamples = 5 // of each breach that are reported

// The breaches.
const (
	Missing      = "missing"                          // a node skipped an entry, or ended without an acknowledged one
	Duplicated   = "doubled"                          // an entry applied twice, or a change ordered twice
	OutOfOrder   = "out of order"                     // nodes, or who published, differ on what an index is
	EarlyAck     = "acknowledged before a majority"   // fewer voters had it on disk by then
	EarlyInForce = "in force before it was ordered"   // fewer voters had it on disk by then
	EarlyReport  = "told too early"                   // a node reported more than it had applied
	StaleStart   = "began under an old configuration" // a later one was in force there
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

// PhaseReport is the time that a phase's changes took: to be acknowledged, and from publishing and from acknowledgement
// to the last of the observed nodes.
type PhaseReport struct {
	Phase         string        `json:"play"`
	Config        bool          `json:"config"` // of configurations, else of purges
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
	Nodes    int           `json:"nodes"`
	Applied  uint64        `json:"applied"`
	Presumed int           `json:"presumed_purged"` // times that a node began anew after it had begun
	Refused  int           `json:"refused"`
	Phases   []PhaseReport `json:"plays"`
}

type change struct {
	index  uint64
	onDisk []monotime.Instant // by voter, when it was on its disk first
}

type nodeState struct {
	begun   bool
	applied uint64
}

type beginning struct {
	node        uint32
	index, mark uint64
}

// Checker checks the traces of a run: first the stored and published changes, then the records of each node in order.
type Checker struct {
	voters  int
	changes map[uint64]*change // by mark
	byIndex map[uint64]uint64  // marks
	orders  []logtrace.PublishedChange
	nodes   map[uint32]*nodeState
	begins  []beginning
	applied map[uint64]monotime.Instant // by index: when the last observed node had applied it
	looked  func(node uint32) bool
	breach  map[string]*Breach
	report  Report
	highest uint64
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

// AddStored adds what a voter, numbered from 0, has on disk. Learners do not count.
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

// majority returns when a majority of the voters had a change on disk; math.MaxInt64 for never.
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

// place records which change has an index, and checks that all sources agree.
func (j *Checker) place(mark, index uint64, by string) {
	if was, is := j.byIndex[index]; is && was != mark {
		j.addBreach(OutOfOrder, "entry %d is another to %s", index, by)
		return
	}
	c := j.changes[mark]
	if c == nil {
		c = &change{onDisk: make([]monotime.Instant, j.voters)}
		j.changes[mark] = c
	}
	if c.index != 0 && c.index != index {
		j.addBreach(Duplicated, "the change of entry %d is also entry %d to %s", c.index, index, by)
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
			j.addBreach(Duplicated, "node %d began at %d after it had %d", r.Node, r.Index, n.applied)
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
			j.addBreach(EarlyReport, "node %d told of %d with %d", r.Node, r.Index, n.applied)
		}
	}
}

// onApplied checks an entry that a node has applied.
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
		j.addBreach(EarlyInForce, "node %d, entry %d", r.Node, r.Index)
	}
	if j.looked(r.Node) {
		j.applied[r.Index] = max(j.applied[r.Index], r.At)
	}
}

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

// Report returns the result once all traces have been added. nodes is the expected number of nodes with a trace.
func (j *Checker) Report(nodes int) Report {
	j.checkEnds(nodes)
	j.checkBeginnings()
	j.report.Nodes = len(j.nodes)
	j.report.Entries = uint64(len(j.byIndex))
	j.report.Phases = append(j.report.Phases, j.phases()...)
	j.report.Breaches = j.breaches(Missing, Duplicated, OutOfOrder, EarlyAck, EarlyInForce, EarlyReport, StaleStart)
	return j.report
}

// checkEnds checks that all nodes left a trace and ended with all entries.
func (j *Checker) checkEnds(nodes int) {
	if len(j.nodes) != nodes {
		j.addBreach(Missing, "%d nodes of %d left a trace", len(j.nodes), nodes)
	}
	for id, n := range j.nodes {
		if n.applied < j.highest {
			j.addBreach(Missing, "node %d ended with %d of %d", id, n.applied, j.highest)
		}
	}
}

// checkBeginnings checks that each node began under the newest configuration at its first index.
func (j *Checker) checkBeginnings() {
	slices.Sort(j.configs)
	for _, b := range j.begins {
		at, _ := slices.BinarySearch(j.configs, b.index+1)
		if at > 0 && j.byIndex[j.configs[at-1]] != b.mark {
			j.addBreach(StaleStart, "node %d at %d, where configuration %d was in force",
				b.node, b.index, j.configs[at-1])
		}
	}
}

// phases summarizes durations by phase, in the order in which the phases were published.
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

func (j *Checker) nodesLookedAt() int {
	looked := 0
	for id := range j.nodes {
		if j.looked(id) {
			looked++
		}
	}
	return looked
}

// breaches returns the violated invariants in the order given; never nil, as a report shows it as a list.
func (j *Checker) breaches(kinds ...string) []Breach {
	broken := []Breach{}
	for _, kind := range kinds {
		if b := j.breach[kind]; b != nil {
			broken = append(broken, *b)
		}
	}
	return broken
}
