package outcome

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/fleet/trace"
	"dahliapin/policy"
)

const mostLines = 200_000 // of traces that are kept

// Views are what nodes say of one another, and what is true of them.
type Views struct {
	Nodes   int          `json:"nodes"` // named n1 and so on
	Lines   []trace.Line `json:"lines"`
	Truths  []Truth      `json:"truths"`
	Dropped int          `json:"dropped,omitempty"`
}

// Truth is that a node's process runs from then on, or does not.
type Truth struct {
	At   policy.Instant `json:"at_ns"`
	Node string         `json:"node"`
	Runs bool           `json:"runs"`
}

// NewViews has heard nothing yet.
func NewViews(nodes int) *Views { return &Views{Nodes: nodes} }

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
func (v *Views) Truth(now policy.Instant, node string, runs bool) {
	if v != nil {
		v.Truths = append(v.Truths, Truth{now, node, runs})
	}
}

// from has times begin with the script's, in order. Lines of several processes do not come in order.
func (v *Views) from(began policy.Instant) *Views {
	if v == nil {
		return nil
	}
	c := &Views{Nodes: v.Nodes, Lines: slices.Clone(v.Lines), Truths: slices.Clone(v.Truths), Dropped: v.Dropped}
	for i := range c.Lines {
		c.Lines[i].At -= began
	}
	for i := range c.Truths {
		c.Truths[i].At -= began
	}
	slices.SortStableFunc(c.Lines, func(a, b trace.Line) int { return int(a.At.Since(b.At)) })
	return c
}

func (v *Views) name(n int) string { return "n" + strconv.Itoa(n+1) }

// letters writes members as a letter each, in the order of their numbers.
func (v *Views) letters(names []string) string {
	var b strings.Builder
	for n := range v.Nodes {
		if slices.Contains(names, v.name(n)) {
			b.WriteString(strconv.FormatInt(int64(n+1), 36))
		} else {
			b.WriteByte('.')
		}
	}
	return b.String()
}

// print tells who knows of whom, a row for each second in which that has changed.
func (v *Views) print(to io.Writer, long time.Duration) {
	if v == nil {
		return
	}
	fmt.Fprintln(to, "who knows of whom, a letter for each node; by the library's word, and by the view where there is one; x: does not run, !: says it is cut off")
	last := ""
	for at := policy.Instant(0); at <= policy.Instant(long); at += policy.Instant(time.Second) {
		row := ""
		for n := range v.Nodes {
			cell := v.letters(v.at(at, v.name(n), trace.Library).Members)
			if l := v.at(at, v.name(n), trace.View); l.What != "" {
				cell += "/" + v.letters(l.Members)
				if l.Cut {
					cell += "!"
				}
			}
			if !v.runs(at, v.name(n)) {
				cell = strings.Repeat("x", len(cell))
			}
			row += " " + cell
		}
		if row != last {
			fmt.Fprintf(to, "%8.3f s %s\n", time.Duration(at).Seconds(), row)
		}
		last = row
	}
}

// at is the last line of a kind that a node had written by then.
func (v *Views) at(at policy.Instant, node, what string) (last trace.Line) {
	for _, l := range v.Lines {
		if l.At > at {
			break
		}
		if l.Node == node && l.What == what {
			last = l
		}
	}
	return last
}

func (v *Views) runs(at policy.Instant, node string) (runs bool) {
	for _, t := range v.Truths {
		if t.At <= at && t.Node == node {
			runs = t.Runs
		}
	}
	return runs
}
