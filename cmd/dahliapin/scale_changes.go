package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dahliapin/internal/scale/logscale/rig"
)

// What operators state, and what the rig may ask of the machine.
const (
	purgeWithin  = 5.6  // seconds until a purge is done everywhere
	configWithin = 8.0  // seconds until a configuration is in force everywhere
	nodeCore     = 1.2  // percent of a core, of a node for all of control
	nodeMB       = 64.0 // of a node
	nodeBytes    = 19e3 // a second, of a node
	mostFollow   = 1000 // hollow nodes
	mostReal     = 60   // real ones, a process each
	mostRegions  = 40
	mostKeepers  = 200 // caches
)

var errScale = errors.New("not all is within what is stated")

// scaleChanges plays the log of changes at the size of a fleet.
func scaleChanges() *cobra.Command {
	p := rig.Plan{HollowArgs: []string{"scale-changes", "hollow"}}
	var plays string
	c := &cobra.Command{Use: "scale-changes", Short: "Play the log of changes at the size of a fleet, on loopback, and judge it",
		Long: "Exits with 0 where all is within what is stated and nothing broke, 1 where not (named in the last lines), 2 for a bad call.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: scale-changes takes no %q", errCall, args[0])
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if p.Plays = strings.Split(plays, ","); p.Nodes < p.Regions || p.Nodes > mostFollow || p.Real < 0 || p.Real > mostReal || p.Regions < 2 || p.Regions > mostRegions ||
				p.Loss < 0 || p.Loss > 0.2 || p.For < time.Second || p.For > time.Hour || p.CutFor < time.Second || p.After < 0 || p.CutPurges < 1 || p.CutPurges > 60_000 ||
				p.Caches < 0 || p.Caches > mostKeepers || p.Fills < 100*time.Millisecond || p.Fills > time.Minute {
				return fmt.Errorf("%w: a size is out of its bounds", errCall)
			}
			if p.CutRegion < 0 {
				p.CutRegion = p.Regions - 1
			}
			if p.CutRegion >= p.Regions {
				return fmt.Errorf("%w: --cut-region %d of %d", errCall, p.CutRegion, p.Regions)
			}
			for _, play := range p.Plays {
				if play != rig.Steady && play != rig.Burst && play != rig.Cut && play != rig.CacheCut {
					return fmt.Errorf("%w: --plays %q: steady, burst, cut and cache-cut are", errCall, play)
				}
				if (play == rig.Cut) == (p.Caches > 0) && play != rig.Steady && play != rig.Burst {
					return fmt.Errorf("%w: cut is played without --caches, and cache-cut with some", errCall)
				}
			}
			if p.Program, err = os.Executable(); err != nil {
				return err
			}
			if err = os.MkdirAll(p.Dir, 0o755); err != nil {
				return err
			}
			if old, _ := filepath.Glob(filepath.Join(p.Dir, "data-*")); len(old) > 0 {
				return fmt.Errorf("%w: --out %s has another run's disks", errCall, p.Dir)
			}
			p.Log = c.ErrOrStderr()
			r, err := rig.Play(c.Context(), p)
			if err != nil {
				return err
			}
			text, err := json.MarshalIndent(r, "", " ")
			if err == nil {
				err = os.WriteFile(filepath.Join(p.Dir, "report.json"), append(text, '\n'), 0o644)
			}
			if err != nil {
				return err
			}
			return showScale(c.OutOrStdout(), r)
		}}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errCall, err) })
	f := c.Flags()
	f.IntVar(&p.Nodes, "nodes", 480, "hollow nodes")
	f.IntVar(&p.Real, "real", 4, "real ones beside them")
	f.IntVar(&p.Regions, "regions", 11, "regions: a process of hollow nodes each")
	f.StringVar(&plays, "plays", "steady,burst,cut", "which, one after the other")
	f.DurationVar(&p.For, "for", time.Minute, "how long steady is")
	f.DurationVar(&p.CutFor, "cut-for", 20*time.Second, "how long a region is cut off, or a cache is silent")
	f.IntVar(&p.CutRegion, "cut-region", -1, "which region, from 0; -1 for the last, which has no control machine (with 11: 0, 2, 5 and 8 have)")
	f.DurationVar(&p.After, "after", 20*time.Second, "how long purges at the stated rate go on once it is back")
	f.IntVar(&p.CutPurges, "cut-purges", 34_200, "purges meanwhile: an hour's")
	f.IntVar(&p.CutConfigs, "cut-configs", 71, "configurations meanwhile: an hour's")
	f.Float64Var(&p.Loss, "loss", 0, "share of packets lost between regions and within, by which streams stand still")
	f.BoolVar(&p.Kill, "kill", false, "kill the leader outright a third into steady; it is back after two thirds")
	f.BoolVar(&p.Hang, "hang", false, "have the leader stand still (SIGSTOP) in that time instead")
	f.IntVar(&p.Caches, "caches", 0, "emulated caches at which purges are carried out")
	f.DurationVar(&p.Fills, "fills", 3500*time.Millisecond, "the longest that a fill may take there")
	f.Uint32Var(&p.Seed, "seed", 1, "of chance")
	f.StringVar(&p.Dir, "out", "scale-changes", "folder for what the run leaves")
	c.AddCommand(&cobra.Command{Use: "hollow SPEC", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		return rig.Hollow(args[0], c.InOrStdin())
	}})
	return c
}

// showScale prints a run's tables and says what is not within what is stated.
func showScale(to io.Writer, r *rig.Report) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d hollow and %d real nodes, %d regions, loss %.3f, seed %d, load %s\n\n", r.Nodes, r.Real, r.Regions, r.Loss, r.Seed, strings.Join(r.Load, " | "))
	fmt.Fprintln(w, "play\tchanges\tcount\tacked median\tp99\tmost\tlast node, from sent: median\tp99\tmost\tfrom acked: median\tp99\tmost\tbudget")
	var out []string
	for _, p := range r.Judge.Plays {
		what, within := "purges", purgeWithin
		if p.Config {
			what, within = "configs", configWithin
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f s\n", p.Play, what, p.FromSent.Count, p.Acked.Median, p.Acked.P99, p.Acked.Most,
			p.FromSent.Median, p.FromSent.P99, p.FromSent.Most, p.FromAcked.Median, p.FromAcked.P99, p.FromAcked.Most, within)
		if p.FromSent.Most > within || p.Unacked > 0 {
			out = append(out, fmt.Sprintf("%s, %s: %.3f s to the last node, %d never acknowledged", p.Play, what, p.FromSent.Most, p.Unacked))
		}
	}
	fmt.Fprintln(w, "\nplay\trole\tcount\tbytes/s in\tout\tmost\t% of a core\tmost\tMB")
	for _, u := range r.Usage {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.1f\n", u.Play, u.Role, u.Count, u.InRate, u.OutRate, u.MostRate, u.Core, u.MostCore, u.MB)
		if u.Role == "hollow node" && u.Play != rig.Cut && u.Play != rig.Burst && (u.MostRate > nodeBytes || u.MostCore > nodeCore || u.MB > nodeMB) {
			out = append(out, fmt.Sprintf("%s: a node's %.0f bytes/s, %.2f%% of a core, %.1f MB", u.Play, u.MostRate, u.MostCore, u.MB))
		}
		if u.Role == "real node" && u.MB > nodeMB {
			out = append(out, fmt.Sprintf("%s: a real node's %.1f MB", u.Play, u.MB))
		}
	}
	fmt.Fprintf(w, "\n%d entries, %d applied by %d nodes, %d of %d real nodes have all; began anew %d, moves %d, gaps %d; back after the cut in %.1f s, stale in it %d\n", r.Judge.Entries, r.Judge.Applied, r.Judge.Nodes,
		r.RealWhole, r.Real, r.Judge.Presumed, r.Moves, r.Gaps, r.Back, r.StaleInCut)
	fmt.Fprintf(w, "fleet changes showed an entry at every node at most %.3f s after it was acknowledged; one call took at most %.3f s\n", r.Shown, r.Asked)
	if r.Caches != nil {
		out = append(out, showCachesOf(w, r)...)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	for _, b := range r.Judge.Breaches {
		out = append(out, fmt.Sprintf("broken: %s, %d times: %s", b.What, b.Count, strings.Join(b.Examples, "; ")))
	}
	if r.RealWhole < r.Real {
		out = append(out, fmt.Sprintf("%d of %d real nodes have all", r.RealWhole, r.Real))
	}
	for _, line := range out {
		fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(out) > 0 {
		return fmt.Errorf("%w: %d lines above", errScale, len(out))
	}
	return nil
}

// showCachesOf prints how caches fared.
func showCachesOf(w io.Writer, r *rig.Report) (out []string) {
	c := r.Caches
	fmt.Fprintf(w, "\n%d caches, %d purges, %d deletions, emptied %d times, %d reads with a value; back after its silence in %.1f s\n", c.Caches, c.Purges, c.Deletes, c.Emptied, c.Served, r.CacheBack)
	fmt.Fprintln(w, "play\tfirst deletion at the last cache: median\tp99\tmost\tdone at the last cache: median\tp99\tmost\tbudget")
	for _, p := range c.Plays {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f s\n", p.Play, p.Deleted.Median, p.Deleted.P99, p.Deleted.Most, p.Done.Median, p.Done.P99, p.Done.Most, purgeWithin)
		if p.Done.Most > purgeWithin {
			out = append(out, fmt.Sprintf("%s: %.3f s until a purge was done at the last cache", p.Play, p.Done.Most))
		}
	}
	for _, b := range c.Breaches {
		out = append(out, fmt.Sprintf("broken at caches: %s, %d times: %s", b.What, b.Count, strings.Join(b.Examples, "; ")))
	}
	return out
}
