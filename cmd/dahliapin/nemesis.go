package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

const (
	fewestNodes, mostNodes = 3, 24 // processes, with a door for each ordered pair
	shortestPlay           = 30 * time.Second
	longestPlay            = time.Hour
	mostSchedules          = 1000
)

// errCall says that a call's words are off; scripts tell it by the exit code.
var errCall = errors.New("the call can't be taken")

func nemesis() *cobra.Command {
	var nodes, schedules, shrink int
	var seed int64
	var long time.Duration
	var what, out string
	c := &cobra.Command{Use: "nemesis", Short: "Throw random troubles between node processes, and look for a broken rule or view",
		Long: "Exits with 0 where nothing broke, 1 with the shortened schedule's file in its last line, and 2 for a bad call.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: nemesis takes no %q", errCall, args[0])
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			switch {
			case nodes < fewestNodes || nodes > mostNodes:
				return fmt.Errorf("%w: --nodes %d is not from %d to %d", errCall, nodes, fewestNodes, mostNodes)
			case long < shortestPlay || long > longestPlay:
				return fmt.Errorf("%w: --for %v is not from %v to %v", errCall, long, shortestPlay, longestPlay)
			case schedules < 1 || schedules > mostSchedules:
				return fmt.Errorf("%w: --schedules %d is not from 1 to %d", errCall, schedules, mostSchedules)
			case shrink < 0 || shrink > mostSchedules:
				return fmt.Errorf("%w: --shrink %d is not from 0 to %d", errCall, shrink, mostSchedules)
			case what != "members":
				return fmt.Errorf("%w: --what %q is not there: members is", errCall, what)
			}
			return hunt(c.OutOrStdout(), schedules, shrink, out, func(k int) *scenario.Scenario { return scenario.Nemesis(seed+int64(k), nodes, long.Seconds()) },
				func(s *scenario.Scenario) (*report.Report, error) { return played(c, s) })
		}}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errCall, err) })
	c.Flags().IntVar(&nodes, "nodes", 12, "processes")
	c.Flags().Int64Var(&seed, "seed", 1, "of the first schedule; the next have the next ones")
	c.Flags().DurationVar(&long, "for", time.Minute, "how long each plays")
	c.Flags().IntVar(&schedules, "schedules", 1, "how many")
	c.Flags().IntVar(&shrink, "shrink", 12, "plays at the most to shorten a schedule that shows a breach")
	c.Flags().StringVar(&what, "what", "members", "what is looked at: members")
	c.Flags().StringVar(&out, "out", ".", "folder for the script that shows a breach, and its report")
	return c
}

// hunt plays schedules until one shows a breach, and shortens that. Those that the machine was too busy for show nothing, and it says so.
func hunt(to io.Writer, schedules, shrink int, out string, schedule func(k int) *scenario.Scenario, play func(*scenario.Scenario) (*report.Report, error)) error {
	busy := 0
	for k := range schedules {
		s := schedule(k)
		r, err := play(s)
		if err != nil {
			return err
		}
		tellPlay(to, s, r)
		if r.MachineTooBusy != "" {
			busy++
		}
		if !broken(r) {
			continue
		}
		for n, plays := 0, 0; n < len(s.Events) && plays < shrink; plays++ { // an event that the breach does not need goes
			less := s.Without(n)
			without, err := play(less)
			if err != nil {
				return err
			}
			if !broken(without) {
				n++
				continue
			}
			s, r = less, without
			tellPlay(to, s, r)
		}
		return breach(to, s, r, out)
	}
	fmt.Fprintf(to, "%d schedules: nothing broke; %d of them not judged\n", schedules, busy)
	return nil
}

func played(c *cobra.Command, s *scenario.Scenario) (*report.Report, error) {
	text, err := s.Text()
	if err != nil {
		return nil, err
	}
	again, err := scenario.Parse(s.Name+".toml", text) // what is kept is what was played
	if err != nil {
		return nil, err
	}
	return onSockets(c.Context(), again, nil)
}

// broken tells whether a run shows a breach; one on a machine that was too busy shows nothing.
func broken(r *report.Report) bool { return r.MachineTooBusy == "" && !r.Good() }

func tellPlay(to io.Writer, s *scenario.Scenario, r *report.Report) {
	if r.Together == nil || r.Together.View == nil {
		fmt.Fprintf(to, "%s: no node had a view\n", s.Name)
		return
	}
	d, worst := r.Together.View, 0.0
	if len(d.Detect) > 0 {
		worst = d.Detect[len(d.Detect)-1]
	}
	fmt.Fprintf(to, "%s: %d events, %d wrong (false %d, rash %d, missed %d, flaps %d, unlike %d), rules %v; changes %d, out after %.2f s at most, alike after %.1f s%s\n",
		s.Name, len(s.Events), d.Wrong(), d.False, d.Rash, d.Missed, d.Flaps, d.Unlike, r.Rules, d.Changes, worst, d.Alike, map[bool]string{true: "; not judged, the machine was too busy"}[r.MachineTooBusy != ""])
}

func breach(to io.Writer, s *scenario.Scenario, r *report.Report, out string) error {
	r.Print(to)
	text, err := s.Text()
	if err == nil {
		err = keep(out, r)
	}
	path := filepath.Join(out, s.Name+".toml")
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		return fmt.Errorf("the schedule cannot be kept: %w", err)
	}
	fmt.Fprintln(to, path)
	return errNotMet
}
