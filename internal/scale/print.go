package scale

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// calibrationTolerance is the relative difference up to which simulated and real nodes count as equal.
const calibrationTolerance = 0.10

// bytesPerKB is the number of bytes in a kB.
const bytesPerKB = 1000

// roles lists the roles in the order of the tables.
var roles = []Role{Simulated, Real}

// table aligns rows of cells in columns.
type table struct{ writer *tabwriter.Writer }

// row writes a row. Floating point cells are rounded to four significant digits.
func (t table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.writer, "\t")
		}
		switch value := cell.(type) {
		case float64:
			fmt.Fprintf(t.writer, "%.4g", value)
		default:
			fmt.Fprint(t.writer, value)
		}
	}
	fmt.Fprintln(t.writer)
}

// Print writes the report as text tables, followed by its verdict on the last line.
func (r *Report) Print(to io.Writer) error {
	t := table{writer: tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)}
	r.printSteady(t)
	t.row()
	r.printPhases(t)
	t.row()
	r.printCalibration(t)
	t.row()
	r.printSlopes(t)
	if err := t.writer.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(to, r.Verdict())
	return err
}

// printSteady writes the distribution of each figure over the nodes in the steady phase.
func (r *Report) printSteady(t table) {
	t.row("nodes", "role", "steady phase", "mean", "median", "p99", "most")
	for _, size := range r.Sizes {
		phase := size.Phases[steady]
		for _, role := range roles {
			if phase == nil || phase.Roles[role] == nil {
				continue
			}
			size.printSteadyRole(t, role, phase.Roles[role])
		}
	}
}

func (s *Size) printSteadyRole(t table, role Role, usage *Usage) {
	spread := func(what string, x Spread) {
		t.row(s.Nodes, role, what, x.Mean, x.Median, x.P99, x.Max)
	}
	for _, flow := range append(slices.Clone(flowNames), allFlows) {
		for _, m := range measures {
			what := flow + " " + m.name
			spread(what, usage.Flows[what])
		}
	}
	spread(bothWays, usage.Flows[bothWays])
	spread("processor, % of a core", usage.Processor)
	spread("waiting for a core, multiple of the CPU time", usage.Waited)
	spread("resident, MB", s.Memory[role].Resident)
	if role == Simulated {
		spread("heap, MB", s.Memory[role].Heap)
	}
}

// printPhases writes the totals of each phase.
func (r *Report) printPhases(t table) {
	t.row("nodes", "phase", "duration, s", "convergence, s", "role",
		"sent, kB in total", "received, kB in total", "p99 both, kB",
		"of which hellos", "statements", "gossip", "streams", "list", "% of a core")
	for _, size := range r.Sizes {
		for _, name := range phases {
			phase := size.Phases[name]
			if phase == nil {
				continue
			}
			for _, role := range roles {
				if taken := phase.Roles[role]; taken != nil {
					t.row(size.phaseCells(name, phase, role, taken)...)
				}
			}
		}
	}
}

func (s *Size) phaseCells(name string, phase *Phase, role Role, usage *Usage) []any {
	toKB := phase.DurationS / bytesPerKB
	cells := []any{
		s.Nodes, name, phase.DurationS, phase.ConvergenceS, role,
		usage.Flows[allSent].Mean * toKB,
		usage.Flows[allReceived].Mean * toKB,
		usage.Flows[bothWays].P99 * toKB,
	}
	for _, flow := range flowNames {
		sent := usage.Flows[flow+" out B/s"].Mean
		received := usage.Flows[flow+" in B/s"].Mean
		cells = append(cells, (sent+received)*toKB)
	}
	return append(cells, usage.Processor.Mean)
}

// printCalibration compares simulated nodes with real ones at the sizes that have both.
func (r *Report) printCalibration(t table) {
	t.row("calibration: nodes", "figure", "hollow", "real", "excess of real")
	for _, size := range r.Sizes {
		phase := size.Phases[steady]
		if phase == nil || phase.Roles[Simulated] == nil || phase.Roles[Real] == nil {
			continue
		}
		size.printCalibration(t, phase)
	}
}

func (s *Size) printCalibration(t table, phase *Phase) {
	simulated := phase.Roles[Simulated]
	real := phase.Roles[Real]
	compare := func(what string, simulated, real Spread) {
		t.row(s.Nodes, what, simulated.Mean, real.Mean, difference(simulated.Mean, real.Mean))
	}
	compare("sent, B/s", simulated.Flows[allSent], real.Flows[allSent])
	compare("received, B/s", simulated.Flows[allReceived], real.Flows[allReceived])
	compare("sent, messages/s", simulated.Flows[allSentMessages], real.Flows[allSentMessages])
	compare("received, messages/s", simulated.Flows[allReceivedMessages], real.Flows[allReceivedMessages])
	compare("processor, % of a core", simulated.Processor, real.Processor)
	compare("resident, MB", s.Memory[Simulated].Resident, s.Memory[Real].Resident)

	const note = "membership costs a real node %.4g"
	t.row(s.Nodes, "isolated real node: processor, % of a core", "", phase.Alone,
		fmt.Sprintf(note, real.Processor.Mean-phase.Alone))
	t.row(s.Nodes, "isolated real node: resident, MB", "", s.AloneMB,
		fmt.Sprintf(note, s.Memory[Real].Resident.Mean-s.AloneMB))
}

// difference describes by how much the figure of a real node exceeds that of a simulated node. Beyond
// calibrationTolerance it also states the amount that is added to the line of simulated nodes.
func difference(simulated, real float64) string {
	relative := 0.0
	if simulated > 0 {
		relative = real/simulated - 1
	}
	text := fmt.Sprintf("%+.1f%%", 100*relative)
	if relative > calibrationTolerance || relative < -calibrationTolerance {
		text += fmt.Sprintf(", adds %.4g", max(0, real-simulated))
	}
	return text
}

// printSlopes writes the slope of each figure over the number of nodes, and its comparison with the budget.
func (r *Report) printSlopes(t table) {
	t.row("means of hollow nodes", "unit", "per node more", "standard error", "R2",
		fmt.Sprintf("line at %d", r.Nodes), "measured", "excess of real", "budget", "")
	for _, s := range r.Slopes {
		t.row(s.What, s.Unit, s.Line.Slope, s.standardError(), fmt.Sprintf("%.3f", s.Line.R2),
			s.At, s.measured(), s.Added, s.budget(), s.verdict())
	}
}

const noFigure = "-" // printed in place of a missing figure

func (s *Slope) standardError() string {
	if s.Line.Points <= 2 { // a line through two points leaves no residuals
		return noFigure
	}
	return fmt.Sprintf("%.3g", s.Line.Error)
}

func (s *Slope) measured() string {
	if s.Measured <= 0 {
		return noFigure
	}
	return fmt.Sprintf("%.4g", s.Measured)
}

func (s *Slope) budget() string {
	if s.Budget <= 0 {
		return noFigure
	}
	return fmt.Sprintf("%.4g", s.Budget)
}

func (s *Slope) verdict() string {
	switch {
	case s.Budget <= 0:
		return ""
	case s.Over:
		return "over"
	default:
		return "within"
	}
}
