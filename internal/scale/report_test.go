package scale

import (
	"bytes"
	"strings"
	"testing"
)

// What real nodes take more than hollow ones counts, and only what is over a stated budget is named.
func TestFiguresAreHeldAgainstTheBudget(t *testing.T) {
	size := func(nodes int, hollow, real float64) *Size {
		taken := func(x float64) *Taken {
			return &Taken{Nodes: 1, Flows: map[string]Spread{bothWays: {Mean: x}}, Processor: Spread{Mean: x / 1000}}
		}
		return &Size{Nodes: nodes, Phases: map[string]*Phase{steady: {LongS: 1, Roles: map[Role]*Taken{Hollow: taken(hollow), Real: taken(real)}}},
			Memory: map[Role]Memory{Hollow: {Resident: Spread{Mean: 2}}, Real: {Resident: Spread{Mean: 20}}}}
	}
	for name, c := range map[string]struct {
		sizes  []*Size
		budget Budget
		want   string
	}{
		"none stated":     {[]*Size{size(10, 1000, 1000)}, Budget{}, "all within"},
		"within":          {[]*Size{size(10, 1000, 900), size(20, 2000, 1900)}, Budget{KBPerS: 2.1, CorePercent: 2.1, MemoryMB: 21}, "all within"},
		"measured":        {[]*Size{size(10, 1000, 900), size(20, 2200, 2000)}, Budget{KBPerS: 2.1}, "not within: steady, all sent and received at 20 nodes is 2200 B/s, and 2100 is the budget"},
		"by the line":     {[]*Size{size(5, 1000, 1000), size(10, 2000, 2000)}, Budget{KBPerS: 3}, "not within: steady, all sent and received at 20 nodes is 4000 B/s, and 3000 is the budget"},
		"real takes more": {[]*Size{size(20, 1000, 1500)}, Budget{CorePercent: 1.2}, "not within: steady, processor at 20 nodes is 1.5 % of a core, and 1.2 is the budget"},
		"memory":          {[]*Size{size(20, 1000, 1500)}, Budget{MemoryMB: 19}, "not within: memory, resident at 20 nodes is 20 MB, and 19 is the budget"},
	} {
		r := Report{Nodes: 20, Sizes: c.sizes, File: File{Budget: c.budget}}
		r.evaluate()
		if r.Last() != c.want || r.Good() != (c.want == "all within") {
			t.Errorf("%s: %s", name, r.Last())
		}
		var text bytes.Buffer
		if err := r.Print(&text); err != nil || !strings.HasSuffix(text.String(), "\n"+c.want+"\n") {
			t.Errorf("%s: %v, printed %s", name, err, text.String())
		}
	}
	short := size(20, 1, 1)
	short.LostHere = 3
	r := Report{Nodes: 20, Sizes: []*Size{short}}
	if r.evaluate(); r.Good() {
		t.Error("messages that were lost here went unnamed")
	}
}
