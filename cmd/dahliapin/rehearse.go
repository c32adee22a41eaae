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

// errNotMet says that a scenario did not end as it states.
var errNotMet = errors.New("the rehearsal is not as expected")

// policyDecider is the name of the product's policy among the deciders.
const policyDecider = "module"

// rehearsal is what rehearse was called with.
type rehearsal struct {
	virtual bool
	seed    int64
	hasSeed bool
	decider string
	out     string // folder for the report; empty for none
}

func rehearseCommand() *cobra.Command {
	var r rehearsal
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
		"which policy decides: module, or in virtual time a baseline: random, ring")
	c.Flags().StringVar(&r.out, "out", "", "folder for report.json and records.jsonl")
	return c
}

func (r *rehearsal) run(c *cobra.Command, name string) error {
	s, err := findScenario(name)
	if err != nil {
		return err
	}
	if r.hasSeed {
		s.Seed = r.seed
	}
	result, err := r.play(c.Context(), s)
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

func (r *rehearsal) play(ctx context.Context, s *scenario.Scenario) (*report.Report, error) {
	if r.virtual {
		maker, err := deciderMaker(r.decider)
		if err != nil {
			return nil, err
		}
		result, _, err := simulation.Play(s, r.decider, maker)
		return result, err
	}
	if r.decider != policyDecider {
		return nil, errors.New("baselines play in virtual time only: add --virtual")
	}
	return runOnSockets(ctx, s, progressLine())
}

// deciderMaker returns what makes the deciders of a name: the product's policy, or a baseline.
func deciderMaker(name string) (simulation.Maker, error) {
	if name == policyDecider {
		return simulation.Module, nil
	}
	maker, err := baselines.Make(name)
	return simulation.Maker(maker), err
}

// findScenario returns a rehearsal that comes with the program, or reads a scenario from a file.
func findScenario(name string) (*scenario.Scenario, error) {
	if text, ok := rehearsals.Text(name); ok {
		return scenario.Parse(name+".toml", text)
	}
	s, err := scenario.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("there is no file %s, nor a rehearsal of that name: %s",
			name, strings.Join(rehearsals.Names(), ", "))
	}
	return s, err
}

// progressLine returns what shows progress in a line that is written over, or nil if standard error is no terminal.
func progressLine() func(string) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(line string) { fmt.Fprintf(os.Stderr, "\r\x1b[K%s", line) }
}

// runOnSockets runs a scenario against node processes of this program. Nothing is left behind, however it ends.
func runOnSockets(ctx context.Context, s *scenario.Scenario, tell func(string)) (*report.Report, error) {
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
	return realtime.Play(ctx, s, &realtime.Processes{Program: program, Dir: dir}, tell)
}
