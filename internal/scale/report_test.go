package scale

import (
	"bytes"
	"strings"
	"testing"
)

// measuredSize returns the measurements of a size at which each simulated and each real node sent and received the
// given bytes per second.
func measuredSize(nodes int, simulated, real float64) *Size {
	usage := func(bytesPerS float64) *Usage {
		return &Usage{
			Nodes:     1,
			Flows:     map[string]Spread{bothWays: {Mean: bytesPerS}},
			Processor: Spread{Mean: bytesPerS / 1000},
		}
	}
	phase := &Phase{DurationS: 1, Roles: map[Role]*Usage{Simulated: usage(simulated), Real: usage(real)}}
	return &Size{
		Nodes:  nodes,
		Phases: map[string]*Phase{steady: phase},
		Memory: map[Role]Memory{Simulated: {Resident: Spread{Mean: 2}}, Real: {Resident: Spread{Mean: 20}}},
	}
}

// The excess of real nodes over simulated ones must count towards the budget. Only an exceeded budget must be reported.
func TestReportComparesFiguresWithBudget(t *testing.T) {
	for name, c := range map[string]struct {
		sizes  []*Size
		budget Budget
		want   string
	}{
		"no budget": {
			sizes: []*Size{measuredSize(10, 1000, 1000)},
			want:  "all within",
		},
		"within": {
			sizes:  []*Size{measuredSize(10, 1000, 900), measuredSize(20, 2000, 1900)},
			budget: Budget{KBPerS: 2.1, CorePercent: 2.1, MemoryMB: 21},
			want:   "all within",
		},
		"over at the measured size": {
			sizes:  []*Size{measuredSize(10, 1000, 900), measuredSize(20, 2200, 2000)},
			budget: Budget{KBPerS: 2.1},
			want: "not within: steady, all sent and received at 20 nodes is 2200 B/s, " +
				"over the budget of 2100 B/s",
		},
		"over by extrapolation": {
			sizes:  []*Size{measuredSize(5, 1000, 1000), measuredSize(10, 2000, 2000)},
			budget: Budget{KBPerS: 3},
			want: "not within: steady, all sent and received at 20 nodes is 4000 B/s, " +
				"over the budget of 3000 B/s",
		},
		"over by the excess of real nodes": {
			sizes:  []*Size{measuredSize(20, 1000, 1500)},
			budget: Budget{CorePercent: 1.2},
			want: "not within: steady, processor at 20 nodes is 1.5 % of a core, " +
				"over the budget of 1.2 % of a core",
		},
		"over in memory": {
			sizes:  []*Size{measuredSize(20, 1000, 1500)},
			budget: Budget{MemoryMB: 19},
			want:   "not within: memory, resident at 20 nodes is 20 MB, over the budget of 19 MB",
		},
	} {
		r := Report{Nodes: 20, Sizes: c.sizes, File: File{Budget: c.budget}}
		r.evaluate()
		if r.Verdict() != c.want || r.Passed() != (c.want == "all within") {
			t.Errorf("%s: got %s, want %s", name, r.Verdict(), c.want)
		}
		var text bytes.Buffer
		if err := r.Print(&text); err != nil || !strings.HasSuffix(text.String(), "\n"+c.want+"\n") {
			t.Errorf("%s: %v, printed %s", name, err, text.String())
		}
	}
}

// If the emulated network dropped messages because a queue was full, the machine was too busy and the report must fail.
func TestReportFailsOnMessagesLostInEmulator(t *testing.T) {
	overloaded := measuredSize(20, 1, 1)
	overloaded.LostInEmulator = 3
	r := Report{Nodes: 20, Sizes: []*Size{overloaded}}
	r.evaluate()
	if r.Passed() {
		t.Error("the report passed although the emulated network dropped messages")
	}
}
