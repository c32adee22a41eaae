package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/coverage"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

// The bounds of soak's flags.
const (
	minSoakTime     = 8 * time.Second
	maxSoakParallel = 16
	maxShrinkTime   = 24 * time.Hour
)

// soakOptions holds the flags of soak.
type soakOptions struct {
	firstSeed int64
	lastSeed  int64
	duration  time.Duration // of each schedule
	parallel  int           // schedules that run in parallel
	shrink    shrinkLimits  // of a schedule that breaks a rule
	out       string        // folder
}

func soakCommand() *cobra.Command {
	var o soakOptions
	var seeds string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run random deployments with random failures against node processes, and check the rules",
		Long: "Exits with 0 if no rule was broken, with 1 and the names of the schedules that broke one in the last\n" +
			"line, and with 2 for an invalid command line.",
		Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.firstSeed, o.lastSeed, err = parseSeedRange(seeds); err != nil {
				return err
			}
			if err := o.check(); err != nil {
				return err
			}
			return o.run(c.OutOrStdout(), newScheduleRunner(c))
		},
	}
	c.SetFlagErrorFunc(flagError)
	c.Flags().StringVar(&seeds, "seeds", "1..50", "random seeds of the schedules")
	c.Flags().DurationVar(&o.duration, "for", time.Minute, "how long each schedule runs")
	c.Flags().IntVar(&o.parallel, "at-once", 2, "how many schedules run in parallel")
	c.Flags().IntVar(&o.shrink.maxRuns, "shrink", 40,
		"maximum number of runs to shrink a schedule that breaks a rule; 0 for none")
	c.Flags().DurationVar(&o.shrink.duration, "shrink-for", 20*time.Minute, "longest time to shrink one")
	c.Flags().StringVar(&o.out, "out", ".", "folder for schedules that break a rule, and their reports")
	return c
}

func (o *soakOptions) check() error {
	switch {
	case o.firstSeed < 1 || o.lastSeed < o.firstSeed || o.lastSeed-o.firstSeed >= maxScheduleCount:
		return usageErrorf("--seeds %d..%d are not from 1 up, or over %d", o.firstSeed, o.lastSeed, maxScheduleCount)
	case o.duration < minSoakTime || o.duration > maxScheduleTime:
		return usageErrorf("--for %v is not from %v to %v", o.duration, minSoakTime, maxScheduleTime)
	case o.parallel < 1 || o.parallel > maxSoakParallel:
		return usageErrorf("--at-once %d is not from 1 to %d", o.parallel, maxSoakParallel)
	case o.shrink.maxRuns < 0 || o.shrink.maxRuns > maxScheduleCount:
		return usageErrorf("--shrink %d is not from 0 to %d", o.shrink.maxRuns, maxScheduleCount)
	case o.shrink.duration < 0 || o.shrink.duration > maxShrinkTime:
		return usageErrorf("--shrink-for %v is not from 0 to %v", o.shrink.duration, maxShrinkTime)
	}
	return nil
}

// parseSeedRange parses FIRST..LAST, or one seed.
func parseSeedRange(text string) (first, last int64, err error) {
	low, high, isRange := strings.Cut(text, "..")
	if !isRange {
		high = low
	}
	first, err = strconv.ParseInt(low, 10, 64)
	if err == nil {
		last, err = strconv.ParseInt(high, 10, 64)
	}
	if err != nil {
		return 0, 0, usageErrorf("--seeds %q is not like 1..50", text)
	}
	return first, last, nil
}

// coverageFile is the file in the output folder with the conditions under which the schedules' faults occurred, see
// package coverage.
const coverageFile = "coverage.json"

// run runs all schedules, several in parallel, and writes the coverage of their faults. Runs for which the machine was
// too busy are inconclusive, and are reported as not judged.
func (o *soakOptions) run(out io.Writer, run scheduleRunner) error {
	tally := soakTally{coverage: coverage.NewTable(scenario.SoakFaults())}
	o.runAll(out, &tally, run)
	if err := errors.Join(tally.errs...); err != nil {
		return err
	}
	if err := o.reportCoverage(out, tally.coverage); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d schedules: %d broke a rule, %d not judged as the machine was too busy\n",
		tally.runs, len(tally.broken), tally.inconclusive)
	if len(tally.broken) == 0 {
		return nil
	}
	fmt.Fprintln(out, strings.Join(tally.broken, " "))
	return errNotMet
}

// runAll runs the schedules of all seeds, in the order of seeds.
func (o *soakOptions) runAll(out io.Writer, tally *soakTally, run scheduleRunner) {
	var workers sync.WaitGroup
	schedules := make(chan *scenario.Scenario)
	for range o.parallel {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for schedule := range schedules {
				if tally.hasFailed() { // an interrupt ends only the runs in progress, not those still queued
					continue
				}
				tally.addError(o.runOne(out, schedule, tally, run))
			}
		}()
	}
	for _, schedule := range scenario.Soaks(o.firstSeed, o.lastSeed, o.duration.Seconds()) {
		schedules <- schedule
	}
	close(schedules)
	workers.Wait()
}

// reportCoverage prints the coverage of the faults of all conclusive runs, and writes it as JSON.
func (o *soakOptions) reportCoverage(out io.Writer, table *coverage.Table) error {
	table.Print(out)
	uncovered := table.Uncovered()
	fmt.Fprintf(out, "%d pairs never met: %s\n", len(uncovered), strings.Join(uncovered, ", "))
	if err := makeReportFolder(o.out); err != nil {
		return err
	}
	return writeJSON(filepath.Join(o.out, coverageFile), table)
}

func (o *soakOptions) runOne(out io.Writer, schedule *scenario.Scenario, tally *soakTally, run scheduleRunner) error {
	result, err := run(schedule)
	if err != nil {
		return fmt.Errorf("%s: %w", schedule.Name, err)
	}
	if err := tally.add(out, schedule, result, o.out); err != nil || !isBroken(result) {
		return err
	}
	var text bytes.Buffer // printed in one piece, so that the output of concurrent schedules does not mix
	err = shrinkBroken(&text, schedule, result, o.shrink, o.out, run)
	tally.print(out, text.String())
	return err
}

// soakTally counts the results of a soak's schedules.
type soakTally struct {
	mu           sync.Mutex // guards all fields, and the printing of results
	runs         int
	inconclusive int
	broken       []string        // names of schedules
	coverage     *coverage.Table // coverage of the faults of conclusive runs
	errs         []error
}

// hasFailed reports whether a schedule could not be run.
func (t *soakTally) hasFailed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.errs) > 0
}

func (t *soakTally) print(out io.Writer, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprint(out, text)
}

func (t *soakTally) addError(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.errs = append(t.errs, err)
}

// add counts and prints the result of one schedule, and writes it to a folder if it broke a rule.
func (t *soakTally) add(out io.Writer, schedule *scenario.Scenario, r *report.Report, dir string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	if r.Coverage != nil && r.MachineTooBusy == "" {
		t.coverage.Add(r.Coverage)
	}
	verdict := "kept all rules"
	switch {
	case r.MachineTooBusy != "":
		t.inconclusive++
		verdict = "not judged: " + r.MachineTooBusy
	case !r.Passed():
		t.broken = append(t.broken, schedule.Name)
		verdict = "BROKEN"
	}
	fmt.Fprintf(out, "%s: %d nodes, %d caches, %d events, rules %v, benefit in time %.3f: %s\n",
		schedule.Name, r.Nodes, r.Caches, len(schedule.Events), r.Rules, r.BenefitInTime, verdict)
	if !isBroken(r) {
		return nil
	}
	r.Print(out)
	_, err := writeSchedule(dir, filepath.Join(dir, schedule.Name), schedule, r)
	return err
}
