package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"dahliapin/internal/emulator/baselines"
	"dahliapin/internal/emulator/realtime"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/simulation"
	"dahliapin/rehearsals"
)

// errNotMet reports that a run broke a rule, or did not meet the expectations of its scenario.
var errNotMet = errors.New("the run did not meet its expectations")

// policyDecider is the decider that runs this module's own policy.
const policyDecider = "module"

// rehearseOptions holds the flags of rehearse.
type rehearseOptions struct {
	virtual bool
	seed    int64
	hasSeed bool
	decider string
	out     string // folder for the report; empty for none
}

func rehearseCommand() *cobra.Command {
	var r rehearseOptions
	c := &cobra.Command{
		Use: "rehearse SCRIPT", Aliases: []string{"run-scenario"},
		Short: "Run a scenario of failures against nodes, and check that it ends as it states",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r.hasSeed = c.Flags().Changed("seed")
			return r.run(c, args[0])
		},
	}
	c.Flags().BoolVar(&r.virtual, "virtual", false, "simulate it in virtual time, without sockets")
	c.Flags().Int64Var(&r.seed, "seed", 0, "random seed, instead of the script's")
	c.Flags().StringVar(&r.decider, "decider", policyDecider,
		"policy that decides: module, or in virtual time one of the baselines random and ring")
	c.Flags().StringVar(&r.out, "out", "", "folder for report.json and records.jsonl")
	return c
}

func (r *rehearseOptions) run(c *cobra.Command, name string) error {
	s, err := findScenario(name)
	if err != nil {
		return err
	}
	if r.hasSeed {
		s.Seed = r.seed
	}
	result, err := r.runScenario(c.Context(), s)
	if err != nil {
		return err
	}
	result.Print(c.OutOrStdout())
	if r.out != "" {
		if err := writeReport(r.out, result); err != nil {
			return err
		}
	}
	if !result.Passed() {
		return errNotMet
	}
	return nil
}

func (r *rehearseOptions) runScenario(ctx context.Context, s *scenario.Scenario) (*report.Report, error) {
	if r.virtual {
		maker, err := deciderMaker(r.decider)
		if err != nil {
			return nil, err
		}
		result, _, err := simulation.Run(s, r.decider, maker)
		return result, err
	}
	if r.decider != policyDecider {
		return nil, errors.New("baselines run in virtual time only: add --virtual")
	}
	return runOnSockets(ctx, s, progressLine())
}

// deciderMaker returns the constructor of the named decider: the module's policy, or a baseline.
func deciderMaker(name string) (simulation.DeciderFactory, error) {
	if name == policyDecider {
		return simulation.Module, nil
	}
	maker, err := baselines.Make(name)
	return simulation.DeciderFactory(maker), err
}

// findScenario returns the built-in rehearsal of that name, or else reads a scenario from that file.
func findScenario(name string) (*scenario.Scenario, error) {
	if text, ok := rehearsals.Text(name); ok {
		return scenario.Parse(name+".toml", text)
	}
	s, err := scenario.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("there is no file or rehearsal %s; the rehearsals are %s",
			name, strings.Join(rehearsals.Names(), ", "))
	}
	return s, err
}

// progressLine returns a function that shows progress in one line of the terminal, which each call overwrites. It
// returns nil if standard error is not a terminal.
func progressLine() func(string) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(line string) { fmt.Fprintf(os.Stderr, "\r\x1b[K%s", line) }
}

// runOnSockets runs a scenario against node processes of this program. It leaves no process or file behind, however it
// ends.
func runOnSockets(ctx context.Context, s *scenario.Scenario, progress func(string)) (*report.Report, error) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "dahliapin-rehearsal-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	return realtime.Run(ctx, s, &realtime.Processes{Program: program, Dir: dir}, progress)
}
