package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/scale/cachegrowth"
)

const (
	minGrowthCaches = 10   // each zone and each step of a release needs some
	maxGrowthCaches = 3200 // the largest size in the operators' table of growth
	minDayLength    = 2 * time.Second
	maxDayLength    = 10 * time.Minute
	maxGrowthRate   = 1000
)

// growthOptions holds the flags of scale caches.
type growthOptions struct {
	plan  cachegrowth.Plan
	sizes []int
	names []string // of the days; empty for all
	days  []cachegrowth.Day
	out   string // folder
}

// scaleCachesCommand returns the command that measures a node's resource use by the number of caches.
func scaleCachesCommand() *cobra.Command {
	var o growthOptions
	c := &cobra.Command{
		Use:   "caches",
		Short: "Measure the resource use of one node as the number of caches grows, and compare it with the limits",
		Long: "Exits with 0 if all is within the limits, with 1 if a row is over its limit or the machine was\n" +
			"too busy for a verdict, and with 2 for an invalid command line.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			return o.measure(c)
		},
	}
	c.SetFlagErrorFunc(flagError)
	f := c.Flags()
	f.IntSliceVar(&o.sizes, "caches", []int{200, 800, 3200},
		"numbers of caches; the others are compared with the first")
	f.StringSliceVar(&o.names, "days", nil, "days to run; all unless given")
	f.DurationVar(&o.plan.DayLength, "for", 12*time.Second, "length of each day")
	f.Float64Var(&o.plan.Share, "share", 0.2, "share of a core to which the node is limited")
	f.IntVar(&o.plan.Rate, "rate", 120, "requests per second")
	f.IntVar(&o.plan.Nodes, "nodes", 300, "nodes of the fleet, by the node's settings")
	f.StringVar(&o.out, "out", "", "folder for report.json")
	return c
}

func (o *growthOptions) check() error {
	isShare := o.plan.Share > 0 && o.plan.Share <= 1 // false for NaN
	switch {
	case len(o.sizes) == 0 || !slices.IsSorted(o.sizes) || o.sizes[0] < minGrowthCaches:
		return usageErrorf("--caches must be numbers of at least %d, in ascending order", minGrowthCaches)
	case o.sizes[len(o.sizes)-1] > maxGrowthCaches:
		return usageErrorf("--caches has a number over %d", maxGrowthCaches)
	case o.plan.DayLength < minDayLength || o.plan.DayLength > maxDayLength:
		return usageErrorf("--for %v is not from %v to %v", o.plan.DayLength, minDayLength, maxDayLength)
	case !isShare:
		return usageErrorf("--share %v is not above 0 and at most 1", o.plan.Share)
	case o.plan.Rate < 1 || o.plan.Rate > maxGrowthRate:
		return usageErrorf("--rate %d is not from 1 to %d", o.plan.Rate, maxGrowthRate)
	case o.plan.Nodes < 1:
		return usageErrorf("--nodes %d is not at least 1", o.plan.Nodes)
	case o.out == "":
		return usageErrorf("scale caches needs --out")
	}
	var err error
	if o.days, err = cachegrowth.DaysNamed(o.names); err != nil {
		return usageErrorf("--days: %w", err)
	}
	return nil
}

func (o *growthOptions) measure(c *cobra.Command) error {
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := makeReportFolder(o.out); err != nil {
		return err
	}
	report, err := o.run(ctx)
	if err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(o.out, "report.json"), report); err != nil {
		return err
	}
	if err := report.Print(c.OutOrStdout()); err != nil {
		return err
	}
	if report.Verdict() != cachegrowth.Within {
		return errOverBudget
	}
	return nil
}

// run runs all days with node processes of this program.
func (o *growthOptions) run(ctx context.Context) (*cachegrowth.Report, error) {
	var err error
	if o.plan.Program, err = os.Executable(); err != nil {
		return nil, err
	}
	if o.plan.Dir, err = os.MkdirTemp("", "dahliapin-growth-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(o.plan.Dir)
	o.plan.Progress = progressLine()
	return o.plan.Run(ctx, o.days, o.sizes)
}
