package main

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"time"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/shrink"
)

// shrunkSuffix is appended to the name of a schedule to name its shrunk form.
const shrunkSuffix = "-shrunk"

// shrinkLimits bounds the runs that shrink one schedule.
type shrinkLimits struct {
	maxRuns  int // 0 to shrink nothing
	duration time.Duration
}

// shrinkBroken shrinks a schedule that broke a rule, and writes the smallest one that fails in the same way as a
// rehearsal, with the report on its run. It writes nothing if no smaller schedule fails in the same way.
func shrinkBroken(
	out io.Writer, s *scenario.Scenario, broken *report.Report, limits shrinkLimits, dir string, run scheduleRunner,
) error {
	if limits.maxRuns == 0 {
		return nil
	}
	until := time.Now().Add(limits.duration)
	var runErr error
	budget := shrink.Budget{
		Runs:    limits.maxRuns,
		Expired: func() bool { return runErr != nil || time.Now().After(until) },
	}
	smallest := broken
	result := shrink.Shrink(s, budget, func(candidate *scenario.Scenario) bool {
		var r *report.Report
		if r, runErr = run(candidate); runErr != nil || !isSameFailure(broken, r) {
			return false
		}
		smallest = r
		return true
	})
	if runErr != nil {
		fmt.Fprintf(out, "%s: shrinking ended as a run could not be carried out: %v\n", s.Name, runErr)
	}
	if result.Scenario == s {
		fmt.Fprintf(out, "%s: no smaller schedule failed in the same way in %d runs\n", s.Name, result.Runs)
		return nil
	}
	return writeShrunk(out, s, result, smallest, dir)
}

// writeShrunk writes the shrunk form of a schedule and the report on it, and prints its path.
func writeShrunk(
	out io.Writer, s *scenario.Scenario, result shrink.Result, r *report.Report, dir string,
) error {
	shrunk := *result.Scenario
	shrunk.Name = s.Name + shrunkSuffix
	shrunk.About = "Shrunk from " + s.Name + "."
	path, err := writeSchedule(dir, filepath.Join(dir, shrunk.Name), &shrunk, r)
	if err != nil {
		return err
	}
	note := "no smaller schedule fails in the same way"
	if !result.Complete {
		note = "the limit of runs or time was reached"
	}
	fmt.Fprintf(out, "%s: shrunk in %d runs to %d of %d events, %d nodes, %d caches, %g s (%s): %s\n",
		s.Name, result.Runs, len(shrunk.Events), len(s.Events), shrunk.Fleet.Nodes, shrunk.Fleet.Caches,
		shrunk.Seconds, note, path)
	return nil
}

// isSameFailure reports whether two runs broke a common rule, or, if the first broke none, failed a common expectation.
// It is false if the second run was inconclusive.
func isSameFailure(first, second *report.Report) bool {
	if !isBroken(second) {
		return false
	}
	brokeRule := false
	for rule, count := range first.Rules {
		if count > 0 && second.Rules[rule] > 0 {
			return true
		}
		brokeRule = brokeRule || count > 0
	}
	if brokeRule {
		return false
	}
	return slices.ContainsFunc(first.Expected, func(e report.Expected) bool {
		return !e.Met && slices.ContainsFunc(second.Expected, func(f report.Expected) bool {
			return !f.Met && f.What == e.What
		})
	})
}
