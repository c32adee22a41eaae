package scale

import (
	"bytes"
	"strings"
	"testing"
)

// measuredSize is a size at which hollow and real nodes sent and received so many bytes per second.
func measuredSize(nodes int, hollow, real float64) *Size {
	taken := func(bytesPerS float64) *Usage {
		return &Usage{
			Nodes:     1,
			Flows:     map[string]Spread{bothWays: {Mean: bytesPerS}},
			Processor: Spread{Mean: bytesPerS / 1000},
		}
	}
	phase := &Phase{DurationS: 1, Roles: map[Role]*Usage{Simulated: taken(hollow), Real: taken(real)}}
	return &Size{
		Nodes:  nodes,
		Phases: map[string]*Phase{steady: phase},
		Memory: map[Role]Memory{Simulated: {Resident: Spread{Mean: 2}}, Real: {Resident: Spread{Mean: 20}}},
	}
}

// The excess of real nodes over hollow ones counts towards the budget, and only exceeded budgets are reported.
func TestReportComparesFiguresWithBudget(t *testing.T) {
	for name, c := range map[string]struct {
		sizes  []*Size
		budget Budget
		want   string
	}{
		"none stated": {
			sizes: []*Size{measuredSize(10, 1000, 1000)},
			want:  "all within",
		},
		"within": {
			sizes:  []*Size{measuredSize(10, 1000, 900), measuredSize(20, 2000, 1900)},
			budget: Budget{KBPerS: 2.1, CorePercent: 2.1, MemoryMB: 21},
			want:   "all within",
		},
		"measured": {
			sizes:  []*Size{measuredSize(10, 1000, 900), measuredSize(20, 2200, 2000)},
			budget: Budget{KBPerS: 2.1},
			want: "not within: steady, all sent and received at 20 nodes is 2200 B/s, " +
				"and 2100 is the budget",
		},
		"by the line": {
			sizes:  []*Size{measuredSize(5, 1000, 1000), measuredSize(10, 2000, 2000)},
			budget: Budget{KBPerS: 3},
			want: "not within: steady, all sent and received at 20 nodes is 4000 B/s, " +
				"and 3000 is the budget",
		},
		"real takes more": {
			sizes:  []*Size{measuredSize(20, 1000, 1500)},
			budget: Budget{CorePercent: 1.2},
			want:   "not within: steady, processor at 20 nodes is 1.5 % of a core, and 1.2 is the budget",
		},
		"memory": {
			sizes:  []*Size{measuredSize(20, 1000, 1500)},
			budget: Budget{MemoryMB: 19},
			want:   "not within: memory, resident at 20 nodes is 20 MB, and 19 is the budget",
		},
	} {
		r := Report{Nodes: 20, Sizes: c.sizes, File: File{Budget: c.budget}}
		r.evaluate()
		if r.Verdict() != c.want || r.Passed() != (c.want == "all within") {
			t.Errorf("%s: %s", name, r.Verdict())
		}
		var text bytes.Buffer
		if err := r.Print(&text); err != nil || !strings.HasSuffix(text.String(), "\n"+c.want+"\n") {
			t.Errorf("%s: %v, printed %s", name, err, text.String())
		}
	}
}

// The emulated network dropped messages as too many were delayed. The machine was too busy, and the report is not good.
func TestReportFailsOnMessagesLostInEmulator(t *testing.T) {
	overloaded := measuredSize(20, 1, 1)
	overloaded.LostInEmulator = 3
	r := Report{Nodes: 20, Sizes: []*Size{overloaded}}
	r.evaluate()
	if r.Passed() {
		t.Error("messages that were lost here went unnamed")
	}
}
