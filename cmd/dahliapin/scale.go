package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/scale"
)

// errOverBudget reports a measurement over its budget, which the last printed line names.
var errOverBudget = errors.New("a measurement is over its budget, or was not judged")

// scaleOptions holds the flags of scale.
type scaleOptions struct {
	plan        scale.Plan
	budget      scale.Budget // from flags, which override the file's
	out         string       // folder
	keepResults bool         // sizes whose results are in the folder are not measured again
	maxMB       int          // memory limit of all processes together
}

// scaleCommand returns the command that measures the cost of membership by the size of a fleet.
func scaleCommand() *cobra.Command {
	var o scaleOptions
	c := &cobra.Command{
		Use:   "scale [FILE.toml]",
		Short: "Measure the cost of membership by the size of a fleet, with simulated nodes beside real ones",
		Long: "Exits with 0 if all is within the budget, with 1 if something is not, which the last line names,\n" +
			"and with 2 for an invalid command line.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 1 {
				return usageErrorf("scale takes one file, and no %q", args[1])
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			if err := o.prepare(c, args); err != nil {
				return err
			}
			return o.measure(c.Context(), c.OutOrStdout())
		},
	}
	c.SetFlagErrorFunc(flagError)
	o.addFlags(c)
	c.AddCommand(simulatedNodesCommand(), placementCommand(), scaleCachesCommand())
	return c
}

func (o *scaleOptions) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.IntVar(&o.plan.Nodes, "nodes", 480, "size of the fleet")
	f.IntSliceVar(&o.plan.Sizes, "sizes", nil,
		"sizes that are measured; by default an eighth, a quarter, half and the whole of the fleet's")
	f.IntVar(&o.plan.Real, "real", 8, "number of nodes, of each size, that are processes of their own")
	f.DurationVar(&o.plan.Window, "for", time.Minute, "how long each size is measured at least, while nothing happens")
	f.Int64Var(&o.plan.Seed, "seed", 1, "random seed of the network between regions")
	f.StringVar(&o.out, "out", "", "folder for report.json, and size-N.json of each size")
	f.BoolVar(&o.keepResults, "kept", false, "do not measure sizes again whose results are in the folder")
	f.IntVar(&o.maxMB, "most-mb", scale.MaxMemoryMB,
		"memory limit of all processes, in MB: the measurement ends above it")
	f.Float64Var(&o.budget.CorePercent, "core", 0, "budget: percent of a core per node, instead of the file's")
	f.Float64Var(&o.budget.MemoryMB, "memory", 0, "budget: resident memory per node, in MB")
	f.Float64Var(&o.budget.KBPerS, "kb", 0, "budget: kilobytes per second per node, sent and received")
}

// prepare reads the file, applies the flags to it, and checks both.
func (o *scaleOptions) prepare(c *cobra.Command, args []string) error {
	file, err := scale.ReadFile(firstOf(args))
	if err != nil {
		return usageErrorf("%w", err)
	}
	o.plan.File = file
	flags := c.Flags()
	if flags.Changed("core") {
		o.plan.File.Budget.CorePercent = o.budget.CorePercent
	}
	if flags.Changed("memory") {
		o.plan.File.Budget.MemoryMB = o.budget.MemoryMB
	}
	if flags.Changed("kb") {
		o.plan.File.Budget.KBPerS = o.budget.KBPerS
	}
	if err := o.plan.Check(); err != nil {
		return usageErrorf("%w", err)
	}
	if o.maxMB < 1 || o.maxMB > scale.MaxMemoryMB {
		return usageErrorf("--most-mb %d is not from 1 to %d", o.maxMB, scale.MaxMemoryMB)
	}
	if o.out == "" {
		return usageErrorf("scale needs --out")
	}
	return nil
}

// firstOf returns the first argument, or an empty string for none.
func firstOf(args []string) string {
	if len(args) == 0 {
		return ""
	}
	return args[0]
}

// measure measures each size with processes of this program, and writes the results.
func (o *scaleOptions) measure(ctx context.Context, out io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err := makeReportFolder(o.out); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "dahliapin-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	rig := &scale.Rig{Program: program, Dir: dir, Progress: progressLine(), MaxMemoryMB: o.maxMB}
	result, err := rig.Run(ctx, &o.plan, o.earlierResult, func(size *scale.Size) error {
		return writeJSON(o.resultPath(size.Nodes), size)
	})
	if err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(o.out, "report.json"), result); err != nil {
		return err
	}
	if err := result.Print(out); err != nil {
		return err
	}
	if !result.Passed() {
		return errOverBudget
	}
	return nil
}

// resultPath returns the path of the result of one size.
func (o *scaleOptions) resultPath(nodes int) string {
	return filepath.Join(o.out, fmt.Sprintf("size-%d.json", nodes))
}

// earlierResult returns the result of a size from the output folder, or nil if the size has to be measured.
func (o *scaleOptions) earlierResult(nodes int) *scale.Size {
	if !o.keepResults {
		return nil
	}
	text, err := os.ReadFile(o.resultPath(nodes))
	if err != nil {
		return nil
	}
	var size scale.Size
	if json.Unmarshal(text, &size) != nil || size.Nodes != nodes {
		return nil
	}
	return &size
}

// simulatedNodesCommand returns the hidden command that runs a process of simulated nodes, which serve no clients.
func simulatedNodesCommand() *cobra.Command {
	return &cobra.Command{
		Use: "hollow", Hidden: true, Args: cobra.NoArgs,
		Short: "Run simulated nodes, which serve no clients, as ordered on standard input",
		RunE: func(c *cobra.Command, _ []string) error {
			return scale.ServeSimulatedNodes(c.InOrStdin(), c.OutOrStdout())
		},
	}
}
