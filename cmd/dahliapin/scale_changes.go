package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
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
	minPhaseTime      = time.Second
	maxPhaseTime      = time.Hour
	minFillTime       = 100 * time.Millisecond
	maxFillTime       = time.Minute
)

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
			text, err := json.MarshalIndent(result, "", " ")
			if err != nil {
				return err
			}
			path := filepath.Join(plan.Dir, "report.json")
			if err := os.WriteFile(path, append(text, '\n'), outputFileMode); err != nil {
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
	f.IntVar(&plan.CutRegion, "cut-region", -1,
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

func checkChangesPlan(p *rig.Plan) error {
	if !isChangesPlanInBounds(p) {
		return usageErrorf("a flag is out of its bounds")
	}
	if p.CutRegion < 0 {
		p.CutRegion = p.Regions - 1
	}
	if p.CutRegion >= p.Regions {
		return usageErrorf("--cut-region %d is not one of %d regions", p.CutRegion, p.Regions)
	}
	for _, phase := range p.Phases {
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

func isChangesPlanInBounds(p *rig.Plan) bool {
	isLoss := p.Loss >= 0 && p.Loss <= maxLoss // false for NaN
	switch {
	case p.Nodes < p.Regions || p.Nodes > maxSimulatedNodes:
	case p.Real < 0 || p.Real > maxRealNodes:
	case p.Regions < minRegions || p.Regions > maxRegions:
	case !isLoss:
	case p.SteadyFor < minPhaseTime || p.SteadyFor > maxPhaseTime || p.CutFor < minPhaseTime || p.After < 0:
	case p.CutPurges < 1 || p.CutPurges > maxCutPurges:
	case p.Caches < 0 || p.Caches > maxEmulatedCaches:
	case p.MaxFillTime < minFillTime || p.MaxFillTime > maxFillTime:
	default:
		return true
	}
	return false
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
