package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

// The bounds of nemesis's flags.
const (
	minNemesisNodes  = 3
	maxNemesisNodes  = 24 // processes, with a proxy for each ordered pair
	minNemesisTime   = 30 * time.Second
	maxScheduleTime  = time.Hour
	maxScheduleCount = 1000
)

// nemesisMembers is the only subject that nemesis can test: the membership.
const nemesisMembers = "members"

// scheduleRunner runs a schedule and returns the report on it.
type scheduleRunner func(*scenario.Scenario) (*report.Report, error)

// nemesisOptions holds the flags of nemesis.
type nemesisOptions struct {
	nodes     int
	schedules int
	maxShrink int   // maximum number of runs to shorten a schedule
	seed      int64 // of the first schedule
	duration  time.Duration
	subject   string
	out       string // folder
}

func nemesisCommand() *cobra.Command {
	var o nemesisOptions
	c := &cobra.Command{
		Use:   "nemesis",
		Short: "Cause random failures between node processes, and check the rules of the fleet and its views",
		Long: "Exits with 0 if no rule was broken, with 1 and the shortened schedule's file in the last line if\n" +
			"one was, and with 2 for an invalid command line.",
		Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			schedule := func(n int) *scenario.Scenario {
				return scenario.Nemesis(o.seed+int64(n), o.nodes, o.duration.Seconds())
			}
			return runUntilBreach(c.OutOrStdout(), o.schedules, o.maxShrink, o.out, schedule, newScheduleRunner(c))
		},
	}
	c.SetFlagErrorFunc(flagError)
	c.Flags().IntVar(&o.nodes, "nodes", 12, "number of node processes")
	c.Flags().Int64Var(&o.seed, "seed", 1, "random seed of the first schedule; the following have the next ones")
	c.Flags().DurationVar(&o.duration, "for", time.Minute, "how long each schedule runs")
	c.Flags().IntVar(&o.schedules, "schedules", 1, "number of schedules")
	c.Flags().IntVar(&o.maxShrink, "shrink", 12, "maximum number of runs to shorten a schedule that breaks a rule")
	c.Flags().StringVar(&o.subject, "what", nemesisMembers, "what is tested: members")
	c.Flags().StringVar(&o.out, "out", ".", "folder for the schedule that breaks a rule, and its report")
	return c
}

func (o *nemesisOptions) check() error {
	switch {
	case o.nodes < minNemesisNodes || o.nodes > maxNemesisNodes:
		return usageErrorf("--nodes %d is not from %d to %d", o.nodes, minNemesisNodes, maxNemesisNodes)
	case o.duration < minNemesisTime || o.duration > maxScheduleTime:
		return usageErrorf("--for %v is not from %v to %v", o.duration, minNemesisTime, maxScheduleTime)
	case o.schedules < 1 || o.schedules > maxScheduleCount:
		return usageErrorf("--schedules %d is not from 1 to %d", o.schedules, maxScheduleCount)
	case o.maxShrink < 0 || o.maxShrink > maxScheduleCount:
		return usageErrorf("--shrink %d is not from 0 to %d", o.maxShrink, maxScheduleCount)
	case o.subject != nemesisMembers:
		return usageErrorf("--what %q is unknown: it can be members", o.subject)
	}
	return nil
}

// runUntilBreach runs schedules until one breaks a rule, and shortens that one. Runs for which the machine was too busy
// are inconclusive, and are reported as not judged.
func runUntilBreach(
	out io.Writer, schedules, maxShrink int, dir string, schedule func(n int) *scenario.Scenario, run scheduleRunner,
) error {
	busy := 0
	for n := range schedules {
		s := schedule(n)
		result, err := run(s)
		if err != nil {
			return err
		}
		printRun(out, s, result)
		if result.MachineTooBusy != "" {
			busy++
		}
		if !isBroken(result) {
			continue
		}
		s, result, err = shorten(out, s, result, maxShrink, run)
		if err != nil {
			return err
		}
		return reportBreach(out, s, result, dir)
	}
	fmt.Fprintf(out, "%d schedules: nothing broke; %d of them not judged\n", schedules, busy)
	return nil
}

// shorten removes events from a schedule one by one, and leaves out those without which a rule is still broken.
func shorten(
	out io.Writer, s *scenario.Scenario, result *report.Report, maxRuns int, run scheduleRunner,
) (*scenario.Scenario, *report.Report, error) {
	event := 0
	for runs := 0; event < len(s.Events) && runs < maxRuns; runs++ {
		shorter := s.Without(event)
		shorterResult, err := run(shorter)
		if err != nil {
			return nil, nil, err
		}
		if !isBroken(shorterResult) {
			event++
			continue
		}
		s, result = shorter, shorterResult
		printRun(out, s, result)
	}
	return s, result, nil
}

// newScheduleRunner returns a function that writes a schedule as text and runs what it parses from that, so that the
// file that is written later describes exactly what was run.
func newScheduleRunner(c *cobra.Command) scheduleRunner {
	return func(s *scenario.Scenario) (*report.Report, error) {
		text, err := s.Text()
		if err != nil {
			return nil, err
		}
		parsed, err := scenario.Parse(s.Name+".toml", text)
		if err != nil {
			return nil, err
		}
		return runOnSockets(c.Context(), parsed, nil)
	}
}

// isBroken reports whether a run broke a rule. A run for which the machine was too busy is inconclusive and does not
// count.
func isBroken(r *report.Report) bool { return r.MachineTooBusy == "" && !r.Passed() }

func printRun(out io.Writer, s *scenario.Scenario, r *report.Report) {
	if r.Membership == nil || r.Membership.View == nil {
		fmt.Fprintf(out, "%s: no node had a view\n", s.Name)
		return
	}
	view := r.Membership.View
	slowest := 0.0
	if len(view.Detect) > 0 {
		slowest = view.Detect[len(view.Detect)-1]
	}
	fmt.Fprintf(out, "%s: %d events, %d wrong (false %d, rash %d, missed %d, flaps %d, unlike %d), rules %v; ",
		s.Name, len(s.Events), view.Wrong(), view.FalseRemovals, view.UnjustifiedRemovals, view.Missed, view.Flaps,
		view.DivergedSeconds, r.Rules)
	fmt.Fprintf(out, "changes %d, out after %.2f s at most, alike after %.1f s",
		view.Changes, slowest, view.ConvergedAfter)
	if r.MachineTooBusy != "" {
		fmt.Fprint(out, "; not judged, the machine was too busy")
	}
	fmt.Fprintln(out)
}

// reportBreach prints and writes a schedule that broke a rule and the report on it. The last line is the file's path.
func reportBreach(out io.Writer, s *scenario.Scenario, r *report.Report, dir string) error {
	r.Print(out)
	path, err := writeSchedule(dir, dir, s, r)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, path)
	return errNotMet
}
