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

// shrunkSuffix follows the name of a schedule in that of what it was shrunk to.
const shrunkSuffix = "-shrunk"

// shrinkLimits bound the plays that shrink one schedule.
type shrinkLimits struct {
	plays    int // 0 to shrink nothing
	duration time.Duration
}

// shrinkBroken shrinks a schedule that broke a rule, and writes what is left as a rehearsal with the report on its
// play. A schedule of which nothing smaller broke the same is left at that.
func shrinkBroken(
	out io.Writer, s *scenario.Scenario, broken *report.Report, limits shrinkLimits, dir string, play player,
) error {
	if limits.plays == 0 {
		return nil
	}
	until := time.Now().Add(limits.duration)
	var playErr error
	budget := shrink.Budget{
		Plays:   limits.plays,
		Expired: func() bool { return playErr != nil || time.Now().After(until) },
	}
	smallest := broken
	result := shrink.Shrink(s, budget, func(candidate *scenario.Scenario) bool {
		var r *report.Report
		if r, playErr = play(candidate); playErr != nil || !isSameFailure(broken, r) {
			return false
		}
		smallest = r
		return true
	})
	if playErr != nil {
		fmt.Fprintf(out, "%s: shrinking it ended at a play that could not be: %v\n", s.Name, playErr)
	}
	if result.Scenario == s {
		fmt.Fprintf(out, "%s: nothing smaller broke the same in %d plays\n", s.Name, result.Plays)
		return nil
	}
	return writeShrunk(out, s, result, smallest, dir)
}

// writeShrunk writes what a schedule was shrunk to, and prints its path.
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
	note := "nothing smaller breaks the same"
	if !result.Complete {
		note = "the bound of plays or time was reached"
	}
	fmt.Fprintf(out, "%s: shrunk in %d plays to %d of %d events, %d nodes, %d caches, %g s (%s): %s\n",
		s.Name, result.Plays, len(shrunk.Events), len(s.Events), shrunk.Fleet.Nodes, shrunk.Fleet.Caches,
		shrunk.Seconds, note, path)
	return nil
}

// isSameFailure tells whether two runs have a broken rule in common, or, if the first broke none, an expectation that
// is not met. A run that was not judged fails like none.
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
