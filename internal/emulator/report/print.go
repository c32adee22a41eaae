package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/proxy/eventlog"
)

// maxPrintedBreaches is the number of breaches that are printed one by one.
const maxPrintedBreaches = 10

// Print writes the report as text.
func (r *Report) Print(to io.Writer) {
	r.printClasses(to)
	r.printTotals(to)
	for _, e := range r.Events {
		fmt.Fprintf(to, "%8.3f s  event: %s\n", time.Duration(e.At).Seconds(), e.What)
	}
	for _, e := range r.Records {
		isFleet := e.Node == FleetName && e.Kind != eventlog.EndpointListed
		if isFleet || e.Kind == eventlog.LevelChanged {
			fmt.Fprintln(to, e)
		}
	}
	r.Membership.print(to, time.Duration(r.Seconds*1e9))
	for i, b := range r.Breaches {
		if i == maxPrintedBreaches {
			fmt.Fprintf(to, "... and %d more\n", len(r.Breaches)-i)
			break
		}
		fmt.Fprintln(to, b)
	}
	for _, e := range r.Expected {
		mark := "met"
		if !e.Met {
			mark = "NOT MET"
		}
		fmt.Fprintf(to, "%-8s %s (%s)\n", mark, e.What, e.Got)
	}
	if r.MachineTooBusy != "" {
		fmt.Fprintln(to, "not judged: the machine was too busy:", r.MachineTooBusy)
	}
}

// printClasses writes a table of service classes.
func (r *Report) printClasses(to io.Writer) {
	fmt.Fprintf(to, "%s (seed %d, %s, %s): %d nodes, %d caches, %g s\n",
		r.Script, r.Seed, r.Shell, r.Decider, r.Nodes, r.Caches, r.Seconds)
	fmt.Fprintf(to, "%-12s %9s %9s %7s %10s %9s %5s %9s %9s\n",
		"class", "asked", "in time", "tries", "rejected", "failed", "cut", "p50 ms", "p99 ms")
	for _, c := range r.Classes {
		fmt.Fprintf(to, "%-12s %9d %8.2f%% %7.2f %10d %9d %5d %9.1f %9.1f\n",
			c.Name, c.Asked, 100*c.InTime, c.TriesPerRequest, c.Rejected, c.Failed, c.Cut, c.P50, c.P99)
	}
}

// printTotals writes the totals over the whole fleet.
func (r *Report) printTotals(to io.Writer) {
	fmt.Fprintf(to, "benefit in time %.4f; %.3f attempts per request, at most %d per second at the origin\n",
		r.BenefitInTime, r.AttemptsPerRequest, r.MaxOriginAttempts)
	fmt.Fprintln(to, "share in time:", r.sparkline())
	fmt.Fprint(to, "over the fleet, total and maximum per second:")
	for _, name := range scenario.CountNames {
		total := 0
		for i := range r.Timeline {
			total += r.Timeline[i].Counted(name)
		}
		fmt.Fprintf(to, " %s %d %d;", name, total, r.MaxPerSecond(name))
	}
	fmt.Fprintln(to)
}

// sparkline renders the share of requests satisfied in time, with one column for one second or more. A column without
// requests is blank.
func (r *Report) sparkline() string {
	const bars = "▁▂▃▄▅▆▇█"
	const columns = 60
	ticks := []rune(bars)
	secondsPerColumn := max(1, (len(r.Timeline)+columns-1)/columns)
	var b strings.Builder
	for i := 0; i < len(r.Timeline)-1; i += secondsPerColumn {
		asked := 0
		inTime := 0
		for _, second := range r.Timeline[i:min(i+secondsPerColumn, len(r.Timeline))] {
			asked += second.Asked
			inTime += second.InTime
		}
		if asked == 0 {
			b.WriteByte(' ')
			continue
		}
		b.WriteRune(ticks[min(len(ticks)-1, inTime*len(ticks)/asked)])
	}
	return b.String()
}
