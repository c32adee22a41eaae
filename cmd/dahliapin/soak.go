package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

const (
	shortestSoak = 8 * time.Second
	mostAtOnce   = 16
)

// soakCall is what a soak was asked for.
type soakCall struct {
	first, last int64 // seeds
	long        time.Duration
	atOnce      int
	out         string
}

func (s *soakCall) check() error {
	switch {
	case s.first < 1 || s.last < s.first || s.last-s.first >= mostSchedules:
		return fmt.Errorf("%w: --seeds %d..%d are not from 1 up, or over %d", errCall, s.first, s.last, mostSchedules)
	case s.long < shortestSoak || s.long > longestPlay:
		return fmt.Errorf("%w: --for %v is not from %v to %v", errCall, s.long, shortestSoak, longestPlay)
	case s.atOnce < 1 || s.atOnce > mostAtOnce:
		return fmt.Errorf("%w: --at-once %d is not from 1 to %d", errCall, s.atOnce, mostAtOnce)
	}
	return nil
}

// seedRange reads FIRST..LAST, or one seed.
func seedRange(text string) (first, last int64, err error) {
	low, high, isRange := strings.Cut(text, "..")
	if !isRange {
		high = low
	}
	if first, err = strconv.ParseInt(low, 10, 64); err == nil {
		last, err = strconv.ParseInt(high, 10, 64)
	}
	if err != nil {
		return 0, 0, fmt.Errorf("%w: --seeds %q is not like 1..50", errCall, text)
	}
	return first, last, nil
}

func soakCommand() *cobra.Command {
	call := soakCall{}
	seeds := ""
	c := &cobra.Command{Use: "soak", Short: "Play random deployments and troubles against node processes, and look for a broken rule",
		Long: "Exits with 0 where nothing broke, 1 with the names of the schedules that broke a rule in its last line, and 2 for a bad call.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: soak takes no %q", errCall, args[0])
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if call.first, call.last, err = seedRange(seeds); err != nil {
				return err
			}
			if err := call.check(); err != nil {
				return err
			}
			return call.play(c.OutOrStdout(), func(s *scenario.Scenario) (*report.Report, error) { return played(c, s) })
		}}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errCall, err) })
	c.Flags().StringVar(&seeds, "seeds", "1..50", "of the schedules")
	c.Flags().DurationVar(&call.long, "for", time.Minute, "how long each plays")
	c.Flags().IntVar(&call.atOnce, "at-once", 2, "how many play side by side")
	c.Flags().StringVar(&call.out, "out", ".", "folder for schedules that break a rule, and their reports")
	return c
}

// soakTally counts what came of a soak's schedules.
type soakTally struct {
	mu                sync.Mutex
	played, notJudged int
	broken            []string // names of schedules
	faults            []error
}

// play plays all schedules, several at once. Those that the machine was too busy for show nothing, and it says so.
func (s *soakCall) play(to io.Writer, play func(*scenario.Scenario) (*report.Report, error)) error {
	var tally soakTally
	var workers sync.WaitGroup
	seeds := make(chan int64)
	for range s.atOnce {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				schedule := scenario.Soak(seed, s.long.Seconds())
				report, err := play(schedule)
				if err == nil {
					err = tally.count(to, schedule, report, s.out)
				}
				tally.failed(err)
			}
		}()
	}
	for seed := s.first; seed <= s.last; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	if err := errors.Join(tally.faults...); err != nil {
		return err
	}
	fmt.Fprintf(to, "%d schedules: %d broke a rule, %d not judged as the machine was too busy\n", tally.played, len(tally.broken), tally.notJudged)
	if len(tally.broken) == 0 {
		return nil
	}
	fmt.Fprintln(to, strings.Join(tally.broken, " "))
	return errNotMet
}

func (t *soakTally) failed(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, err)
}

// count tells what came of one schedule, and keeps it if it broke a rule.
func (t *soakTally) count(to io.Writer, schedule *scenario.Scenario, r *report.Report, out string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.played++
	said := "kept all rules"
	switch {
	case r.MachineTooBusy != "":
		t.notJudged++
		said = "not judged: " + r.MachineTooBusy
	case !r.Good():
		t.broken = append(t.broken, schedule.Name)
		said = "BROKEN"
	}
	fmt.Fprintf(to, "%s: %d nodes, %d caches, %d events, rules %v, benefit in time %.3f: %s\n",
		schedule.Name, r.Nodes, r.Caches, len(schedule.Events), r.Rules, r.Gain, said)
	if !broken(r) {
		return nil
	}
	r.Print(to)
	text, err := schedule.Text()
	if err == nil {
		err = keep(filepath.Join(out, schedule.Name), r)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(out, schedule.Name+".toml"), text, 0o644)
	}
	if err != nil {
		return fmt.Errorf("the schedule cannot be kept: %w", err)
	}
	return nil
}
