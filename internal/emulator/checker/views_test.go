package checker

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/membership/trace"
	"dahliapin/policy"
)

func at(s float64) policy.Instant { return policy.Instant(s * float64(time.Second)) }

// addViews records views of five nodes that change at the given seconds: "n1-n2" means that n1 removes n2, and "n1+n2"
// that n1 adds n2 again.
func addViews(v *Views, changes map[float64]string) {
	members := map[string]string{}
	addLine := func(s float64, node string) {
		v.AddLine(at(s), trace.Line{
			Node:    node,
			Process: node,
			Kind:    trace.View,
			Members: strings.Fields(members[node]),
		})
	}
	for n := range 5 {
		members[NameOf(n)] = "n1 n2 n3 n4 n5"
		addLine(0, NameOf(n))
	}
	for s := range 400 {
		for word := range strings.FieldsSeq(changes[float64(s)/10]) {
			if a, b, out := strings.Cut(word, "-"); out {
				members[a] = strings.ReplaceAll(members[a], b, "")
				addLine(float64(s)/10, a)
			} else if a, b, in := strings.Cut(word, "+"); in {
				members[a] += " " + b
				addLine(float64(s)/10, a)
			}
		}
	}
}

// Each kind of wrong view must be counted, and correct views must not.
func TestViewsCheckCountsWrongViews(t *testing.T) {
	killed := func(from, to float64) func(*Views) {
		return func(v *Views) {
			v.RecordProcess(at(from), "n2", false, false)
			v.RecordProcess(at(to), "n2", true, true)
		}
	}
	receiveCut := func(v *Views) {
		for _, cut := range []bool{true, false} {
			for n := 1; n < 5; n++ {
				v.RecordCut(at(map[bool]float64{true: 10, false: 30}[cut]), n, 0, cut)
			}
		}
	}
	out, in := "n1-n2 n3-n2 n4-n2 n5-n2", "n1+n2 n3+n2 n4+n2 n5+n2"
	for _, c := range []struct {
		name  string
		truth func(*Views)
		says  map[float64]string
		want  Verdict
	}{
		{"killed node is removed and added again", killed(10, 20), map[float64]string{12.8: out, 22.5: in},
			Verdict{Changes: 2, Detect: []float64{2.8, 2.8, 2.8, 2.8}}},
		{"short pause is tolerated", func(v *Views) {
			v.RecordProcess(at(10), "n2", false, false)
			v.RecordProcess(at(11.9), "n2", true, false)
		}, nil, Verdict{}},
		{"one observer removes a node after a short pause", func(v *Views) {
			v.RecordProcess(at(10), "n2", false, false)
			v.RecordProcess(at(11.9), "n2", true, false)
		},
			map[float64]string{12.4: "n3-n2", 14.8: "n3+n2"}, Verdict{FalseRemovals: 1}},
		{"removed without a fault", func(*Views) {}, map[float64]string{10: "n1-n4", 10.9: "n1+n4"},
			Verdict{FalseRemovals: 1}},
		{"one observer does not remove a killed node", killed(10, 39), map[float64]string{12.8: "n3-n2 n4-n2 n5-n2"},
			Verdict{Missed: 1, DivergedSeconds: 1}},
		{"removed, added and removed again", killed(10, 39), map[float64]string{12.8: out, 14: "n1+n2", 16: "n1-n2"},
			Verdict{Flaps: 1}},
		{"one observer does not add a restarted node", killed(10, 20),
			map[float64]string{12.8: out, 22.5: "n3+n2 n4+n2 n5+n2"}, Verdict{DivergedSeconds: 1}},
		{"node that receives no messages removes others", receiveCut, map[float64]string{
			13: "n2-n1 n3-n1 n4-n1 n5-n1", 14: "n1-n2", 32.5: "n2+n1 n3+n1 n4+n1 n5+n1", 32.6: "n1+n2"},
			Verdict{UnjustifiedRemovals: 1}},
	} {
		v := NewViews(5)
		c.truth(v)
		addViews(v, c.says)
		d := v.From(0).Check(trace.View, 2*time.Second, at(40))
		if d.Formed != 0 || c.want.Detect != nil && !reflect.DeepEqual(d.Detect, c.want.Detect) ||
			c.want.Changes > 0 && d.Changes != c.want.Changes {
			t.Errorf("%s: got %+v, want %+v", c.name, d, c.want)
		}
		for _, n := range [][2]int{
			{d.FalseRemovals, c.want.FalseRemovals}, {d.UnjustifiedRemovals, c.want.UnjustifiedRemovals},
			{d.Missed, c.want.Missed}, {d.Flaps, c.want.Flaps}, {d.DivergedSeconds, c.want.DivergedSeconds},
		} {
			if (n[0] > 0) != (n[1] > 0) {
				t.Errorf("%s: got %+v, want %+v", c.name, d, c.want)
			}
		}
	}
}
