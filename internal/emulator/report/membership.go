package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/membership/trace"
	"dahliapin/policy"
)

// Membership holds the nodes' membership views during a run, and the verdicts on them.
type Membership struct {
	Views   *checker.Views   `json:"views"`
	Library *checker.Verdict `json:"library"` // verdict on the member lists of the gossip library
	View    *checker.Verdict `json:"view"`    // verdict on the views; nil if there were none
}

// newMembership checks the views of a run that ended at an instant. A pause of a process that is not longer than pause
// must not change a view.
func newMembership(v *checker.Views, pause time.Duration, end policy.Instant) *Membership {
	m := &Membership{Views: v, Library: v.Check(trace.Library, pause, end)}
	if slices.ContainsFunc(v.Lines, func(l trace.Line) bool { return l.Kind == trace.View }) {
		m.View = v.Check(trace.View, pause, end)
	}
	return m
}

// memberRow renders a member list with one character per node, in the order of node numbers: the base-36 digit of a
// member's number, or a dot.
func memberRow(nodes int, names []string) string {
	var b strings.Builder
	for n := range nodes {
		if slices.Contains(names, checker.NameOf(n)) {
			b.WriteString(strconv.FormatInt(int64(n+1), 36))
		} else {
			b.WriteByte('.')
		}
	}
	return b.String()
}

// print writes a row for each second in which the views changed, and the verdicts on the views. It does nothing without
// views.
func (m *Membership) print(to io.Writer, duration time.Duration) {
	if m == nil {
		return
	}
	m.printMembers(to, policy.Instant(duration))
	if rates := sendRates(m.Views); len(rates) > 0 {
		fmt.Fprintf(to, "datagrams between nodes: median %.0f, most %.0f bytes a second sent by a node\n",
			percentile(rates, 0.5), rates[len(rates)-1])
	}
	printVerdict(to, "library", m.Library)
	printVerdict(to, "view", m.View)
}

func (m *Membership) printMembers(to io.Writer, end policy.Instant) {
	kind := trace.Library
	if m.View != nil {
		kind = trace.View
	}
	fmt.Fprintf(to, "members by the %s of most nodes, one character per member, then nodes whose members differ; "+
		"x: the node does not run, !: it reports that it may be partitioned\n", kind)
	last := ""
	for at := policy.Instant(0); at <= end; at += policy.Instant(time.Second) {
		row := m.rowAt(at, kind)
		if row != last {
			fmt.Fprintf(to, "%8.3f s  %s\n", time.Duration(at).Seconds(), row)
		}
		last = row
	}
}

// rowAt renders the most common view at an instant, followed by the nodes with other views and these views.
func (m *Membership) rowAt(at policy.Instant, kind string) string {
	views := m.Views
	nodesByCell := map[string][]string{}
	for n := range views.Nodes {
		name := checker.NameOf(n)
		line := lineAt(views, at, name, kind)
		cell := memberRow(views.Nodes, line.Members)
		if line.MayBePartitioned {
			cell += "!"
		}
		if !runsAt(views, at, name) {
			cell = "x"
		}
		nodesByCell[cell] = append(nodesByCell[cell], name)
	}
	cells := slices.SortedFunc(maps.Keys(nodesByCell), func(a, b string) int {
		bySize := -cmp.Compare(len(nodesByCell[a]), len(nodesByCell[b]))
		return cmp.Or(bySize, cmp.Compare(nodesByCell[a][0], nodesByCell[b][0]))
	})
	row := cells[0]
	for _, cell := range cells[1:] {
		row += "  " + strings.Join(nodesByCell[cell], ",") + " " + cell
	}
	return row
}

func printVerdict(to io.Writer, name string, v *checker.Verdict) {
	if v == nil {
		return
	}
	fmt.Fprintf(to, "%-8s formed %.1f s; false removals %d, unjustified %d, missed %d, flaps %d, diverged seconds %d; "+
		"changes %d; removed after median %.2f s, p99 %.2f s (%d); converged after %.1f s\n",
		name, v.Formed, v.FalseRemovals, v.UnjustifiedRemovals, v.Missed, v.Flaps, v.DivergedSeconds,
		v.Changes, percentile(v.Detect, 0.5), percentile(v.Detect, 0.99), len(v.Detect), v.ConvergedAfter)
	for _, line := range v.Findings {
		fmt.Fprintln(to, "        ", line)
	}
}

// sendRates returns the bytes per second that each process sent to other nodes, sorted.
func sendRates(v *checker.Views) []float64 {
	first := map[string]trace.Line{}
	last := map[string]trace.Line{}
	for _, l := range v.Lines {
		if l.Kind != trace.Traffic {
			continue
		}
		if _, seen := first[l.Process]; !seen {
			first[l.Process] = l
		}
		last[l.Process] = l
	}
	var rates []float64
	for process, l := range last {
		if seconds := l.At.Since(first[process].At).Seconds(); seconds > 0 {
			rates = append(rates, float64(l.BytesOut-first[process].BytesOut)/seconds)
		}
	}
	slices.Sort(rates)
	return rates
}

// percentile returns a quantile of sorted values, or 0 if there are none.
func percentile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// lineAt returns the last line of a kind that a node had written by an instant.
func lineAt(v *checker.Views, at policy.Instant, node, kind string) (last trace.Line) {
	for _, l := range v.Lines {
		if l.At > at {
			break
		}
		if l.Node == node && l.Kind == kind {
			last = l
		}
	}
	return last
}

// runsAt reports whether a node's process runs at an instant.
func runsAt(v *checker.Views, at policy.Instant, node string) (runs bool) {
	for _, t := range v.ProcessChanges {
		if t.At <= at && t.Node == node {
			runs = t.Runs
		}
	}
	return runs
}
