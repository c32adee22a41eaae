package main

import (
	"fmt"
	"io"
	"strings"

	"dahliapin/internal/scale/logscale/checker"
	"dahliapin/internal/scale/logscale/rig"
)

// The bounds stated in the operators' documentation.
const (
	purgeBound      = 5.6  // seconds until a purge is done at every node and cache
	configBound     = 8.0  // seconds until a configuration is in force at every node
	nodeCoreBound   = 1.2  // percent of a core that a node spends on all control work
	nodeMemoryBound = 64.0 // MB, of a node
	nodeBytesBound  = 19e3 // bytes per second, of a node
)

// changesPrinter prints a result, and collects findings: values over their bounds, and broken rules.
type changesPrinter struct {
	table    io.Writer
	findings []string
}

func (p *changesPrinter) addFinding(format string, args ...any) {
	p.findings = append(p.findings, fmt.Sprintf(format, args...))
}

// printChangesResult prints a result's tables, and the findings in the last lines. It returns an error if there are
// any.
func printChangesResult(out io.Writer, r *rig.Report) error {
	table := newTable(out)
	p := changesPrinter{table: table}
	fmt.Fprintf(table, "%d hollow and %d real nodes, %d regions, loss %.3f, seed %d, load %s\n\n",
		r.Nodes, r.Real, r.Regions, r.Loss, r.Seed, strings.Join(r.Load, " | "))
	p.printDelays(r)
	p.printUsage(r)
	p.printTotals(r)
	if r.Caches != nil {
		p.printCaches(r)
	}
	for _, note := range r.Notes {
		fmt.Fprintln(table, note)
	}
	p.addBreaches("broken", r.Check.Breaches)
	if r.RealComplete < r.Real {
		p.addFinding("%d of %d real nodes have all", r.RealComplete, r.Real)
	}
	for _, line := range p.findings {
		fmt.Fprintln(table, line)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(p.findings) > 0 {
		return fmt.Errorf("%w: %d lines above", errOverStatedBounds, len(p.findings))
	}
	return nil
}

// printDelays prints how long changes took until every node had applied them.
func (p *changesPrinter) printDelays(r *rig.Report) {
	fmt.Fprintln(p.table, "play\tchanges\tcount\tacked median\tp99\tmost\t"+
		"last node, from sent: median\tp99\tmost\tfrom acked: median\tp99\tmost\tbudget")
	for _, d := range r.Check.Phases {
		kind, bound := "purges", purgeBound
		if d.Config {
			kind, bound = "configs", configBound
		}
		fmt.Fprintf(p.table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f s\n",
			d.Phase, kind, d.FromSent.Count, d.Acked.Median, d.Acked.P99, d.Acked.Max,
			d.FromSent.Median, d.FromSent.P99, d.FromSent.Max,
			d.FromAcked.Median, d.FromAcked.P99, d.FromAcked.Max, bound)
		if d.FromSent.Max > bound || d.Unacked > 0 {
			p.addFinding("%s, %s: %.3f s to the last node, %d never acknowledged",
				d.Phase, kind, d.FromSent.Max, d.Unacked)
		}
	}
}

// printUsage prints the network traffic, processor share and memory of each kind of process.
func (p *changesPrinter) printUsage(r *rig.Report) {
	fmt.Fprintln(p.table, "\nplay\trole\tcount\tbytes/s in\tout\tmost\t% of a core\tmost\tMB")
	for _, u := range r.Usage {
		fmt.Fprintf(p.table, "%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.1f\n",
			u.Phase, u.Role, u.Count, u.InRate, u.OutRate, u.MaxRate, u.Core, u.MaxCore, u.MB)
		isSteady := u.Phase != rig.RegionCut && u.Phase != rig.Burst
		isOver := u.MaxRate > nodeBytesBound || u.MaxCore > nodeCoreBound || u.MB > nodeMemoryBound
		if u.Role == "hollow node" && isSteady && isOver {
			p.addFinding("%s: a node's %.0f bytes/s, %.2f%% of a core, %.1f MB", u.Phase, u.MaxRate, u.MaxCore, u.MB)
		}
		if u.Role == "real node" && u.MB > nodeMemoryBound {
			p.addFinding("%s: a real node's %.1f MB", u.Phase, u.MB)
		}
	}
}

func (p *changesPrinter) printTotals(r *rig.Report) {
	fmt.Fprintf(p.table, "\n%d entries, %d applied by %d nodes, %d of %d real nodes have all; "+
		"began anew %d, moves %d, gaps %d; back after the cut in %.1f s, stale in it %d\n",
		r.Check.Entries, r.Check.Applied, r.Check.Nodes, r.RealComplete, r.Real,
		r.Check.Presumed, r.Moves, r.Gaps, r.RegionRecoveryS, r.StaleInCut)
	fmt.Fprintf(p.table, "fleet changes showed an entry at every node at most %.3f s after it was acknowledged; "+
		"one call took at most %.3f s\n", r.MaxShowDelayS, r.MaxQueryTimeS)
}

// printCaches prints how long purges took until they were done at every cache.
func (p *changesPrinter) printCaches(r *rig.Report) {
	c := r.Caches
	fmt.Fprintf(p.table, "\n%d caches, %d purges, %d deletions, emptied %d times, %d reads with a value; "+
		"back after its silence in %.1f s\n", c.Caches, c.Purges, c.Deletes, c.Emptied, c.Served, r.CacheRecoveryS)
	fmt.Fprintln(p.table, "play\tfirst deletion at the last cache: median\tp99\tmost\t"+
		"done at the last cache: median\tp99\tmost\tbudget")
	for _, d := range c.Phases {
		fmt.Fprintf(p.table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f s\n", d.Phase,
			d.Deleted.Median, d.Deleted.P99, d.Deleted.Max, d.Done.Median, d.Done.P99, d.Done.Max, purgeBound)
		if d.Done.Max > purgeBound {
			p.addFinding("%s: %.3f s until a purge was done at the last cache", d.Phase, d.Done.Max)
		}
	}
	p.addBreaches("broken at caches", c.Breaches)
}

func (p *changesPrinter) addBreaches(where string, breaches []checker.Breach) {
	for _, b := range breaches {
		p.addFinding("%s: %s, %d times: %s", where, b.What, b.Count, strings.Join(b.Examples, "; "))
	}
}
