package cachegrowth

import (
	"math"
	"strings"
	"testing"
)

// The operators' table: at most 1.4 times the processor time, plus 0.02 s and 0.03 s for each thousand caches; 1.5
// times the memory, plus 8 MB and 4 MB; twice the descriptors, plus 40; 2.5 times the connections, plus 40; twice the
// lists' bytes, plus 64 kB and 500 kB; of the share served not under 0.85.
func TestGrowthLimitsMatchOperatorTable(t *testing.T) {
	const caches = 3200
	for row, want := range map[Metric]float64{
		ProcessorSeconds: 1.4*10 + 0.02 + 0.03*3.2,
		PeakMemory:       1.5*10 + 8 + 4*3.2,
		Descriptors:      2*10 + 40,
		Connections:      2.5*10 + 40,
		ListKilobytes:    2*10 + 64 + 500*3.2,
		ShareServed:      8.5,
	} {
		if got := row.Limit(10, caches); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v: %v, not %v", row, got, want)
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
		t.Error(verdict)
	}
	for row := range rowCount {
		worse := usual
		worse[row] = row.Limit(usual[row], 800) * 1.01
		if row == ShareServed {
			worse[row] = 0.84
		}
		r := reportOf(usual, worse)
		if verdict := r.Verdict(); verdict != Over {
			t.Errorf("%v: %v", row, verdict)
		}
		var text strings.Builder
		if err := r.Print(&text); err != nil || strings.Count(text.String(), "OVER") != 1 {
			t.Errorf("%v: %v\n%s", row, err, &text)
		}
	}
}

// A day without a verdict, as the machine was busy, never counts as within the limits and hides no exceeded limit.
func TestBusyDaysAreNeverWithinLimits(t *testing.T) {
	usual := Figures{1, 20, 100, 100, 50, 1}
	r := reportOf(usual, usual)
	r.Days[0].Busy = true
	if verdict := r.Verdict(); verdict != Inconclusive {
		t.Error(verdict)
	}
	over := usual
	over[Descriptors] = 1000
	r = reportOf(usual, over)
	r.Days = append(r.Days, DayResult{Day: "release", Caches: 200, Busy: true})
	if verdict := r.Verdict(); verdict != Over {
		t.Error(verdict)
	}
}
