package cachegrowth

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// maxRunsPerDay is the maximum number of runs of a day if the machine is too busy for a verdict.
const maxRunsPerDay = 2

// Report holds the results of all days at all sizes.
type Report struct {
	Sizes []int       `json:"sizes"` // numbers of caches
	Days  []DayResult `json:"days"`  // ordered by day, then by size
}

// Run runs the days at all sizes. The first size is the reference for the others.
func (plan *Plan) Run(ctx context.Context, days []Day, sizes []int) (*Report, error) {
	if len(sizes) == 0 {
		return nil, errors.New("the list of sizes to measure is empty")
	}
	report := &Report{Sizes: sizes}
	for _, day := range days {
		for _, caches := range sizes {
			result, err := plan.runUntilConclusive(ctx, &day, caches)
			if err != nil {
				return nil, err
			}
			report.Days = append(report.Days, *result)
		}
	}
	return report, nil
}

// runUntilConclusive runs a day, and repeats it if the machine was too busy, up to maxRunsPerDay runs in total.
func (plan *Plan) runUntilConclusive(ctx context.Context, day *Day, caches int) (*DayResult, error) {
	var result *DayResult
	for range maxRunsPerDay {
		if plan.Progress != nil {
			plan.Progress(fmt.Sprintf("%s, %d caches", day.Name, caches))
		}
		var err error
		if result, err = plan.RunDay(ctx, day, caches); err != nil {
			return nil, err
		}
		if !result.Busy {
			break
		}
	}
	return result, nil
}

// Verdict is the outcome of a report.
type Verdict int

// The verdicts, from best to worst.
const (
	Within       Verdict = iota
	Inconclusive         // the machine was too busy on at least one day
	Over                 // at least one metric is over its limit
)

// String returns the verdict in one line.
func (v Verdict) String() string {
	return [...]string{"all is within the limits", "not judged: the machine was too busy", "over a limit"}[v]
}

// first returns the result of a day at the first size, or nil if there is none.
func (r *Report) first(day string) *DayResult {
	for i := range r.Days {
		if r.Days[i].Day == day && r.Days[i].Caches == r.Sizes[0] {
			return &r.Days[i]
		}
	}
	return nil
}

// dayVerdict compares a day with the same day at the first size.
func (r *Report) dayVerdict(result *DayResult) Verdict {
	first := r.first(result.Day)
	if first == nil || first.Busy || result.Busy {
		return Inconclusive
	}
	for metric := range metricCount {
		if !metric.Within(result.Figures[metric], metric.Limit(first.Figures[metric], result.Caches)) {
			return Over
		}
	}
	return Within
}

// Verdict returns the worst verdict of all days.
func (r *Report) Verdict() Verdict {
	worst := Within
	for i := range r.Days {
		worst = max(worst, r.dayVerdict(&r.Days[i]))
	}
	return worst
}

// Print writes a table with a row for each day and metric, followed by the verdict. A row has the value and the limit
// at each size, and the increase per thousand caches from the first size to the last.
func (r *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "day\trow")
	for _, size := range r.Sizes {
		fmt.Fprintf(table, "\t%d caches (limit)", size)
	}
	fmt.Fprintln(table, "\ta thousand more")
	for start := 0; start+len(r.Sizes) <= len(r.Days); start += len(r.Sizes) {
		results := r.Days[start : start+len(r.Sizes)]
		for metric := range metricCount {
			printMetric(table, metric, results)
		}
		printClients(table, results)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, r.Verdict())
	return err
}

// printMetric writes the row of a metric on one day.
func printMetric(table io.Writer, metric Metric, results []DayResult) {
	first := results[0].Figures[metric]
	fmt.Fprintf(table, "%s\t%s", results[0].Day, metric)
	for i := range results {
		result := &results[i]
		limit := metric.Limit(first, result.Caches)
		mark := ""
		if !metric.Within(result.Figures[metric], limit) {
			mark = " OVER"
		}
		fmt.Fprintf(table, "\t%.2f (%.2f)%s", result.Figures[metric], limit, mark)
	}
	last := &results[len(results)-1]
	if more := last.Caches - results[0].Caches; more > 0 {
		fmt.Fprintf(table, "\t%+.3f", (last.Figures[metric]-first)/float64(more)*1000)
	}
	fmt.Fprintln(table)
}

// printClients writes the numbers of requests sent, refused and lost on one day, and marks the sizes at which the
// machine was too busy.
func printClients(table io.Writer, results []DayResult) {
	fmt.Fprintf(table, "%s\tsent, refused, lost", results[0].Day)
	for i := range results {
		result := &results[i]
		busy := ""
		if result.Busy {
			busy = " BUSY"
		}
		fmt.Fprintf(table, "\t%d, %d, %d%s", result.Sent, result.Refused, result.Lost, busy)
	}
	fmt.Fprintln(table)
}
