package cachegrowth

import (
	"math"
	"strings"
	"testing"
)

// The operators' table allows at most 1.4 times the CPU time, plus 0.02 s and 0.03 s per thousand caches; 1.5 times the
// memory, plus 8 MB and 4 MB per thousand caches; twice the descriptors, plus 40; 2.5 times the connections, plus 40;
// and twice the size of lists, plus 64 kB and 500 kB per thousand caches. It requires at least 0.85 times the share
// served.
func TestGrowthLimitsMatchOperatorTable(t *testing.T) {
	const caches = 3200
	for metric, want := range map[Metric]float64{
		ProcessorSeconds: 1.4*10 + 0.02 + 0.03*3.2,
		PeakMemory:       1.5*10 + 8 + 4*3.2,
		Descriptors:      2*10 + 40,
		Connections:      2.5*10 + 40,
		ListKilobytes:    2*10 + 64 + 500*3.2,
		ShareServed:      8.5,
	} {
		if got := metric.Limit(10, caches); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v: the limit is %v, want %v", metric, got, want)
		}
	}
}

// reportOf returns a report of one day at two sizes.
func reportOf(first, other Figures) *Report {
	return &Report{Sizes: []int{200, 800}, Days: []DayResult{
		{Day: "quiet", Caches: 200, Figures: first},
		{Day: "quiet", Caches: 800, Figures: other},
	}}
}

func TestVerdictFindsEachMetricOverItsLimit(t *testing.T) {
	usual := Figures{1, 20, 100, 100, 50, 1}
	if verdict := reportOf(usual, usual).Verdict(); verdict != Within {
		t.Errorf("equal figures: the verdict is %v", verdict)
	}
	for metric := range metricCount {
		worse := usual
		worse[metric] = metric.Limit(usual[metric], 800) * 1.01
		if metric == ShareServed {
			worse[metric] = 0.84
		}
		r := reportOf(usual, worse)
		if verdict := r.Verdict(); verdict != Over {
			t.Errorf("%v over its limit: the verdict is %v", metric, verdict)
		}
		var text strings.Builder
		if err := r.Print(&text); err != nil || strings.Count(text.String(), "OVER") != 1 {
			t.Errorf("%v over its limit: want one OVER in the table, got error %v and\n%s", metric, err, &text)
		}
	}
}

// A day without a verdict, because the machine was too busy, must not count as within the limits, and must not hide an
// exceeded limit on another day.
func TestBusyDaysAreNeverWithinLimits(t *testing.T) {
	usual := Figures{1, 20, 100, 100, 50, 1}
	r := reportOf(usual, usual)
	r.Days[0].Busy = true
	if verdict := r.Verdict(); verdict != Inconclusive {
		t.Errorf("a busy day: the verdict is %v", verdict)
	}
	over := usual
	over[Descriptors] = 1000
	r = reportOf(usual, over)
	r.Days = append(r.Days, DayResult{Day: "release", Caches: 200, Busy: true})
	if verdict := r.Verdict(); verdict != Over {
		t.Errorf("an exceeded limit and a busy day: the verdict is %v", verdict)
	}
}
