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

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/membership/trace"
	"dahliapin/policy"
)

// Fleet is what became of the nodes' views of one another.
type Fleet struct {
	Views   *checker.Views   `json:"views"`
	Library *checker.Verdict `json:"library"` // of the gossip library's members
	View    *checker.Verdict `json:"view"`    // of the views; nil where there were none
}

func newFleet(v *checker.Views, pause time.Duration, end policy.Instant) *Fleet {
	f := &Fleet{Views: v, Library: v.Judge(trace.Library, pause, end)}
	if slices.ContainsFunc(v.Lines, func(l trace.Line) bool { return l.What == trace.View }) {
		f.View = v.Judge(trace.View, pause, end)
	}
	return f
}

// letters writes members as a letter each, in the order of their numbers.
func letters(nodes int, names []string) string {
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

// print tells who knows of whom, a row for each second in which that has changed.
func (f *Fleet) print(to io.Writer, long time.Duration) {
	if f == nil {
		return
	}
	v, what := f.Views, trace.Library
	if f.View != nil {
		what = trace.View
	}
	fmt.Fprintf(to, "whom nodes have as members by the %s, a letter for each; those apart that do not say what most say; x: does not run, !: says it is cut off\n", what)
	last := ""
	for at := policy.Instant(0); at <= policy.Instant(long); at += policy.Instant(time.Second) {
		says := map[string][]string{}
		for n := range v.Nodes {
			l := lineAt(v, at, checker.NameOf(n), what)
			cell := letters(v.Nodes, l.Members)
			if l.Cut {
				cell += "!"
			}
			if !runsAt(v, at, checker.NameOf(n)) {
				cell = "x"
			}
			says[cell] = append(says[cell], checker.NameOf(n))
		}
		cells := slices.SortedFunc(maps.Keys(says), func(a, b string) int {
			return cmp.Or(-cmp.Compare(len(says[a]), len(says[b])), cmp.Compare(says[a][0], says[b][0]))
		})
		row := cells[0]
		for _, c := range cells[1:] {
			row += "  " + strings.Join(says[c], ",") + " " + c
		}
		if row != last {
			fmt.Fprintf(to, "%8.3f s  %s\n", time.Duration(at).Seconds(), row)
		}
		last = row
	}
	if out := rates(v); len(out) > 0 {
		fmt.Fprintf(to, "datagrams between nodes: median %.0f, most %.0f bytes a second sent by a node\n", at(out, 0.5), out[len(out)-1])
	}
	for _, d := range []struct {
		of string
		*checker.Verdict
	}{{"library", f.Library}, {"view", f.View}} {
		if d.Verdict == nil {
			continue
		}
		fmt.Fprintf(to, "%-8s formed %.1f s; false removals %d, rash %d, missed %d, flaps %d, seconds unlike %d; changes %d; out after median %.2f s, p99 %.2f s (%d); alike after %.1f s\n",
			d.of, d.Formed, d.False, d.Rash, d.Missed, d.Flaps, d.Unlike, d.Changes, at(d.Detect, 0.5), at(d.Detect, 0.99), len(d.Detect), d.Alike)
		for _, w := range d.What {
			fmt.Fprintln(to, "        ", w)
		}
	}
}

// rates are the bytes a second that each process sent to other nodes.
func rates(v *checker.Views) (out []float64) {
	first, last := map[string]trace.Line{}, map[string]trace.Line{}
	for _, l := range v.Lines {
		if l.What != trace.Traffic {
			continue
		}
		if _, is := first[l.Process]; !is {
			first[l.Process] = l
		}
		last[l.Process] = l
	}
	for id, l := range last {
		if long := l.At.Since(first[id].At).Seconds(); long > 0 {
			out = append(out, float64(l.Out-first[id].Out)/long)
		}
	}
	slices.Sort(out)
	return out
}

func at(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// lineAt is the last line of a kind that a node had written by then.
func lineAt(v *checker.Views, at policy.Instant, node, what string) (last trace.Line) {
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

func runsAt(v *checker.Views, at policy.Instant, node string) (runs bool) {
	for _, t := range v.Truths {
		if t.At <= at && t.Node == node {
			runs = t.Runs
		}
	}
	return runs
}

// expectViews wants views to be as what befell nodes has them. Without views, or with a trace that has gaps, nothing is shown.
func (r *Report) expectViews(s *scenario.Scenario) {
	f := r.Together
	if f == nil || s.Together.Engine == fleetconfig.EnginePlain {
		return
	}
	lost := uint64(f.Views.Dropped)
	for _, l := range f.Views.Lines {
		lost = max(lost, l.Lost)
	}
	r.want(lost == 0, fmt.Sprint(lost), "no line of a trace is lost")
	if f.View == nil {
		r.want(false, "none", "nodes have views")
		return
	}
	r.want(f.View.Wrong() == 0 && f.View.Formed >= 0, fmt.Sprintf("%d wrong, formed at %.1f s", f.View.Wrong(), f.View.Formed),
		"views are as what befell nodes has them")
	if most := s.Expect.Views; most != nil {
		r.want(f.View.Changes <= *most, fmt.Sprint(f.View.Changes), "at most %d changes of a view", *most)
	}
}
