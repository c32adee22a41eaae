package scale

import (
	"cmp"
	"fmt"
)

// Slope is the growth of one figure with the number of nodes, compared with its budget.
type Slope struct {
	What     string  `json:"what"`
	Unit     string  `json:"unit"`
	Line     Line    `json:"line"`
	At       float64 `json:"at"`       // the line's value at the stated size
	Measured float64 `json:"measured"` // the mean measured at the stated size; 0 if that size was not measured
	Added    float64 `json:"added"`    // excess of a real node over a simulated one, at the largest size with both
	Budget   float64 `json:"budget"`   // upper limit; 0 for none
	Over     bool    `json:"over"`     // the budget is exceeded
}

// Report holds the measurements of all sizes of a plan and their comparison with the budget.
type Report struct {
	Nodes    int      `json:"nodes"` // the stated size, to which the budget applies
	Real     int      `json:"real"`  // number of real nodes at each size
	WindowS  float64  `json:"window_s"`
	Seed     int64    `json:"seed"`
	File     File     `json:"file"`
	Sizes    []*Size  `json:"sizes"`
	Slopes   []Slope  `json:"slopes"`
	Problems []string `json:"wrong"` // reasons why the report did not pass, one sentence each
}

// figure returns one figure of a role at one size, or false if it was not measured.
type figure func(s *Size, role Role) (Spread, bool)

// means returns the sizes at which a figure of a role was measured, and its means there.
func (r *Report) means(role Role, of figure) (sizes, means []float64) {
	for _, s := range r.Sizes {
		if spread, measured := of(s, role); measured {
			sizes = append(sizes, float64(s.Nodes))
			means = append(means, spread.Mean)
		}
	}
	return sizes, means
}

// fitSlope fits a line to a figure of simulated nodes, adds the excess of real nodes, and compares the result with the
// budget.
func (r *Report) fitSlope(what, unit string, budget float64, of figure) {
	sizes, means := r.means(Simulated, of)
	if len(sizes) == 0 {
		return
	}
	slope := Slope{What: what, Unit: unit, Line: Fit(sizes, means), Budget: budget}
	slope.At = slope.Line.At(float64(r.Nodes))
	for i, size := range sizes {
		if size == float64(r.Nodes) {
			slope.Measured = means[i]
		}
	}
	for _, s := range r.Sizes {
		simulated, hasSimulated := of(s, Simulated)
		real, hasReal := of(s, Real)
		if hasSimulated && hasReal {
			slope.Added = real.Mean - simulated.Mean
		}
	}
	slope.Over = budget > 0 && slope.value() > budget
	if slope.Over {
		r.Problems = append(r.Problems, fmt.Sprintf("%s at %d nodes is %.4g %s, over the budget of %.4g %s",
			what, r.Nodes, slope.value(), unit, budget, unit))
	}
	r.Slopes = append(r.Slopes, slope)
}

// value returns the figure that is compared with the budget: that of a simulated node at the stated size, measured or
// otherwise taken from the line, plus the excess of a real node.
func (s *Slope) value() float64 { return cmp.Or(s.Measured, s.At) + max(0, s.Added) }

// evaluate fits all figures and compares them with the budget.
func (r *Report) evaluate() {
	budget := &r.File.Budget
	for _, what := range flowNames {
		r.fitSlope("steady "+what+" sent", "B/s", 0, flowIn(steady, what+" out B/s"))
	}
	r.fitSlope("steady, all sent", "B/s", 0, flowIn(steady, allSent))
	r.fitSlope("steady, all sent", "messages/s", 0, flowIn(steady, allSentMessages))
	r.fitSlope("steady, all sent and received", "B/s", budget.KBPerS*bytesPerKB, flowIn(steady, bothWays))
	r.fitSlope("steady, processor", "% of a core", budget.CorePercent, steadyProcessor)
	r.fitSlope("memory, resident", "MB", budget.MemoryMB, residentMemory)
	r.fitSlope("memory, heap", "MB", 0, heapMemory)
	for _, phase := range phases {
		if phase != steady {
			r.fitSlope(phase+", all sent and received, in all", "kB", 0, totalIn(phase))
		}
	}
	for _, s := range r.Sizes {
		if s.LostInEmulator > 0 {
			r.Problems = append(r.Problems, fmt.Sprintf("the emulated network of %d nodes dropped %d messages "+
				"at full queues: the machine was too busy for a verdict", s.Nodes, s.LostInEmulator))
		}
	}
}

// flowIn returns the figure of a flow's rate during a phase.
func flowIn(phase, what string) figure {
	return func(s *Size, role Role) (Spread, bool) { return s.flow(phase, role, what) }
}

// totalIn returns the figure of the traffic sent and received during a whole phase, in kB. It converts only the mean,
// which is the only value that a slope uses.
func totalIn(phase string) figure {
	return func(s *Size, role Role) (Spread, bool) {
		spread, measured := s.flow(phase, role, bothWays)
		if measured {
			spread.Mean *= s.Phases[phase].DurationS / bytesPerKB
		}
		return spread, measured
	}
}

func steadyProcessor(s *Size, role Role) (Spread, bool) {
	phase := s.Phases[steady]
	if phase == nil || phase.Roles[role] == nil {
		return Spread{}, false
	}
	return phase.Roles[role].Processor, true
}

func residentMemory(s *Size, role Role) (Spread, bool) {
	memory, measured := s.Memory[role]
	return memory.Resident, measured
}

func heapMemory(s *Size, role Role) (Spread, bool) {
	memory, measured := s.Memory[role]
	return memory.Heap, measured && memory.Heap.Mean > 0
}

// Passed reports whether all figures are valid and within the budget.
func (r *Report) Passed() bool { return len(r.Problems) == 0 }

// Verdict returns the verdict in one line, which is the last line that Print writes.
func (r *Report) Verdict() string {
	if r.Passed() {
		return "all within"
	}
	return "not within: " + joinAbbreviated(r.Problems)
}
