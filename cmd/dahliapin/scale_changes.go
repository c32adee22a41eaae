package main

import (
	"cmp"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/scale/logscale/rig"
)

// The bounds of scale-changes' flags.
const (
	maxSimulatedNodes = 1000
	maxRealNodes      = 60 // a process each
	minRegions        = 2
	maxRegions        = 40
	maxEmulatedCaches = 200
	maxLoss           = 0.2
	maxCutPurges      = 60_000
	maxCutConfigs     = 1000
	minPhaseTime      = time.Second
	maxPhaseTime      = time.Hour
	minFillTime       = 100 * time.Millisecond
	maxFillTime       = time.Minute
)

// lastRegion is the value of --cut-region for the last region.
const lastRegion = -1

// errOverStatedBounds reports a measurement over the bounds stated in the operators' documentation, or a broken rule.
var errOverStatedBounds = errors.New("a measurement is over a stated bound, or a rule is broken")

// scaleChangesCommand returns the command that measures the replicated log at the size of a fleet.
func scaleChangesCommand() *cobra.Command {
	plan := rig.Plan{SimulatedNodeArgs: []string{"scale-changes", "hollow"}}
	var phases string
	c := &cobra.Command{
		Use:   "scale-changes",
		Short: "Measure the replicated log at the size of a fleet, on loopback, and check its rules",
		Long: "Exits with 0 if all is within the stated bounds and no rule was broken, with 1 if not, which the\n" +
			"last lines name, and with 2 for an invalid command line.",
		Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			plan.Phases = strings.Split(phases, ",")
			if err := checkChangesPlan(&plan); err != nil {
				return err
			}
			if err := prepareChangesFolder(&plan); err != nil {
				return err
			}
			plan.Log = c.ErrOrStderr()
			result, err := rig.Run(c.Context(), plan)
			if err != nil {
				return err
			}
			if err := writeJSON(filepath.Join(plan.Dir, "report.json"), result); err != nil {
				return err
			}
			return printChangesResult(c.OutOrStdout(), result)
		},
	}
	c.SetFlagErrorFunc(flagError)
	addChangesPlanFlags(c, &plan, &phases)
	c.AddCommand(&cobra.Command{
		Use: "hollow SPEC", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return rig.ServeSimulatedNodes(args[0], c.InOrStdin()) },
	})
	return c
}

func addChangesPlanFlags(c *cobra.Command, plan *rig.Plan, phases *string) {
	f := c.Flags()
	f.IntVar(&plan.Nodes, "nodes", 480, "number of simulated nodes, which serve no clients")
	f.IntVar(&plan.Real, "real", 4, "number of real nodes beside them")
	f.IntVar(&plan.Regions, "regions", 11, "number of regions: each has a process of simulated nodes")
	f.StringVar(phases, "plays", "steady,burst,cut", "phases, one after the other: of steady, burst, cut, cache-cut")
	f.DurationVar(&plan.SteadyFor, "for", time.Minute, "length of the phase steady")
	f.DurationVar(&plan.CutFor, "cut-for", 20*time.Second, "how long a region is cut off, or a cache does not answer")
	f.IntVar(&plan.CutRegion, "cut-region", lastRegion,
		"region that is cut off, from 0; -1 for the last, which has no control server (with 11: 0, 2, 5 and 8 have)")
	f.DurationVar(&plan.After, "after", 20*time.Second, "how long purges go on at the stated rate after the cut")
	f.IntVar(&plan.CutPurges, "cut-purges", 34_200, "number of purges during the cut: an hour's")
	f.IntVar(&plan.CutConfigs, "cut-configs", 71, "number of configurations during the cut: an hour's")
	f.Float64Var(&plan.Loss, "loss", 0,
		"share of packets that are lost, within regions and between them; each lost packet delays its stream")
	f.BoolVar(&plan.Kill, "kill", false,
		"kill the leader after a third of the phase steady, and restart it after two thirds")
	f.BoolVar(&plan.Hang, "hang", false, "instead suspend the leader (SIGSTOP) for the second third of steady")
	f.IntVar(&plan.Caches, "caches", 0, "number of emulated caches at which purges are carried out")
	f.DurationVar(&plan.MaxFillTime, "fills", 3500*time.Millisecond, "longest time that a fill of a cache may take")
	f.Uint32Var(&plan.Seed, "seed", 1, "random seed")
	f.StringVar(&plan.Dir, "out", "scale-changes", "folder for the results")
}

// checkChangesPlan checks the flags, and replaces the value of --cut-region that stands for the last region.
func checkChangesPlan(p *rig.Plan) error {
	if err := checkChangesBounds(p); err != nil {
		return err
	}
	if p.CutRegion == lastRegion {
		p.CutRegion = p.Regions - 1
	}
	return checkChangesPhases(p)
}

// checkChangesPhases checks the names of the phases. No phase may be repeated: keys, configurations and figures are
// told apart by the phase's name, so that the checker would take the second one's changes for those of the first.
func checkChangesPhases(p *rig.Plan) error {
	for i, phase := range p.Phases {
		if slices.Contains(p.Phases[:i], phase) {
			return usageErrorf("--plays names phase %s twice", phase)
		}
		switch phase {
		case rig.Steady, rig.Burst:
		case rig.RegionCut, rig.CacheOutage:
			if (phase == rig.RegionCut) == (p.Caches > 0) {
				return usageErrorf("phase cut needs --caches 0, and phase cache-cut needs caches")
			}
		default:
			return usageErrorf("--plays %q: the phases are steady, burst, cut and cache-cut", phase)
		}
	}
	return nil
}

// checkChangesBounds returns a usage error that names the first flag out of its bounds. The number of regions comes
// first, since other bounds depend on it.
func checkChangesBounds(p *rig.Plan) error {
	return cmp.Or(
		checkInRange("--regions", p.Regions, minRegions, maxRegions),
		checkInRange("--nodes", p.Nodes, p.Regions, maxSimulatedNodes),
		checkInRange("--real", p.Real, 0, maxRealNodes),
		checkInRange("--loss", p.Loss, 0, maxLoss),
		checkInRange("--for", p.SteadyFor, minPhaseTime, maxPhaseTime),
		checkInRange("--cut-for", p.CutFor, minPhaseTime, maxPhaseTime),
		checkInRange("--after", p.After, 0, maxPhaseTime),
		checkInRange("--cut-region", p.CutRegion, lastRegion, p.Regions-1),
		checkInRange("--cut-purges", p.CutPurges, 1, maxCutPurges),
		checkInRange("--cut-configs", p.CutConfigs, 0, maxCutConfigs),
		checkInRange("--caches", p.Caches, 0, maxEmulatedCaches),
		checkInRange("--fills", p.MaxFillTime, minFillTime, maxFillTime),
	)
}

// checkInRange returns a usage error if the value of a flag is not within its bounds, or not a number.
func checkInRange[T cmp.Ordered](flag string, value, least, most T) error {
	inRange := value >= least && value <= most // false for NaN
	if !inRange {
		return usageErrorf("%s %v is not from %v to %v", flag, value, least, most)
	}
	return nil
}

// prepareChangesFolder creates the folder for results. It returns an error if the folder has the data of another run.
func prepareChangesFolder(p *rig.Plan) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	p.Program = program
	if err := os.MkdirAll(p.Dir, outputFolderMode); err != nil {
		return err
	}
	if old, _ := filepath.Glob(filepath.Join(p.Dir, "data-*")); len(old) > 0 {
		return usageErrorf("--out %s has the data folders of another run", p.Dir)
	}
	return nil
}
