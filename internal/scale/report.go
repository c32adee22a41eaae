package scale

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// The phases that a size goes through.
const (
	forming  = "forming"   // from the first start until all know all, and it has settled
	steady   = "steady"    // nothing happens
	lostOne  = "lost"      // a node ends without a word, until it is started anew
	lostBack = "lost-back" // until all know all again, and it has settled
	cutOff   = "cut"       // a region is cut off
	cutBack  = "cut-back"  // it is back, until all know all again, and it has settled
)

var phases = []string{forming, steady, lostOne, lostBack, cutOff, cutBack}

// Size is what was measured at one size.
type Size struct {
	Nodes     int               `json:"nodes"`
	By        Terms             `json:"by"`
	Began     time.Time         `json:"began"`
	Processes int               `json:"processes"`
	Phases    map[string]*Phase `json:"phases"`
	Memory    map[Role]Memory   `json:"memory"`
	AloneMB   float64           `json:"alone_mb"`  // resident, of a real node that knows of no other; 0 for none
	LostHere  uint64            `json:"lost_here"` // messages, for want of room in the rules' queue: no rule asked for that
	Dropped   uint64            `json:"dropped"`   // messages that nodes had no room for
}

// Terms are what two measurements have to have in common to stand in one table.
type Terms struct {
	Real    int     `json:"real"`
	WindowS float64 `json:"window_s"`
	Seed    int64   `json:"seed"`
	File    File    `json:"file"` // but for the budget
}

// Terms are those of a plan.
func (p *Plan) Terms() Terms {
	f := p.File
	f.Budget = Budget{}
	return Terms{p.Real, p.Window.Seconds(), p.Seed, f}
}

// Phase is what each role took in one.
type Phase struct {
	LongS float64         `json:"long_s"`
	TookS float64         `json:"took_s"` // until views were as they had to be
	Roles map[Role]*Taken `json:"roles"`
	Alone float64         `json:"alone"` // processor, percent of a core, of a real node that knows of no other; 0 for none
}

// Taken is what the nodes of a role took, each second.
type Taken struct {
	Nodes     int               `json:"nodes"`
	Flows     map[string]Spread `json:"flows"`     // "hellos out B/s" and so on; "all ..." is of all flows
	Processor Spread            `json:"processor"` // percent of one core
	Waited    Spread            `json:"waited"`    // for a core, as a multiple of what was had of it
}

// Memory of a node, in MB.
type Memory struct {
	Resident Spread `json:"resident"`
	Heap     Spread `json:"heap"` // after a collection; of hollow nodes only, as others can't be asked
}

const mb = 1e6

// The measures of a flow.
var measures = []struct {
	name string
	of   func(Flow) float64
}{
	{"out B/s", func(f Flow) float64 { return f.Out }}, {"in B/s", func(f Flow) float64 { return f.In }},
	{"out /s", func(f Flow) float64 { return f.OutMessages }}, {"in /s", func(f Flow) float64 { return f.InMessages }},
}

const allFlows, bothWays = "all", "all both B/s"

func (s *Size) add(f *fleetRun, name string, took time.Duration, from, to snapshot) {
	long := to.at.Sub(from.at).Seconds()
	p := &Phase{LongS: long, TookS: took.Seconds(), Roles: map[Role]*Taken{}}
	each, cpu, waited := map[Role]map[string][]float64{}, map[Role][]float64{}, map[Role][]float64{}
	for _, at := range f.places {
		flows, there := to.nodes[at.Name]
		if !there {
			continue
		}
		if each[at.Role] == nil {
			each[at.Role], p.Roles[at.Role] = map[string][]float64{}, &Taken{Flows: map[string]Spread{}}
		}
		xs, all := each[at.Role], Flow{}
		p.Roles[at.Role].Nodes++
		note := func(what string, fl Flow) {
			for _, m := range measures {
				xs[what+" "+m.name] = append(xs[what+" "+m.name], m.of(fl))
			}
		}
		for _, what := range flowNames {
			fl := flows[what].since(from.nodes[at.Name][what]).times(1 / long)
			note(what, fl)
			if what == "statements" { // they ride in what is counted already
				fl.OutMessages, fl.InMessages = 0, 0
			}
			all = all.plus(fl)
		}
		note(allFlows, all)
		xs[bothWays] = append(xs[bothWays], all.Out+all.In)
		had, waits := to.costs[at.Name].Processor-from.costs[at.Name].Processor, to.costs[at.Name].Waited-from.costs[at.Name].Waited
		cpu[at.Role] = append(cpu[at.Role], 100*had.Seconds()/long)
		waited[at.Role] = append(waited[at.Role], max(0, waits.Seconds())/max(had.Seconds(), 1e-6))
	}
	for role, xs := range each {
		for what, x := range xs {
			p.Roles[role].Flows[what] = Over(x)
		}
		p.Roles[role].Processor, p.Roles[role].Waited = Over(cpu[role]), Over(waited[role])
	}
	if f.alone != nil {
		p.Alone = 100 * (to.costs[alone].Processor - from.costs[alone].Processor).Seconds() / long
	}
	if s.Phases == nil {
		s.Phases = map[string]*Phase{}
	}
	s.Phases[name] = p
}

// weigh reads what memory nodes take.
func (s *Size) weigh(ctx context.Context, f *fleetRun) error {
	resident, heap := map[Role][]float64{}, []float64{}
	for _, n := range f.reals {
		k, err := n.Cost()
		if err != nil {
			return err
		}
		resident[Real] = append(resident[Real], float64(k.Resident)/mb)
	}
	for _, h := range f.hollows {
		k, err := h.Cost()
		if err != nil {
			return err
		}
		a, err := h.ask(ctx, order{Do: doWeigh}, answerBy)
		if err != nil {
			return err
		}
		for range h.places {
			resident[Hollow] = append(resident[Hollow], float64(k.Resident)/mb/float64(len(h.places)))
			heap = append(heap, float64(a.Heap)/mb/float64(len(h.places)))
		}
	}
	if f.alone != nil {
		k, err := f.alone.Cost()
		if err != nil {
			return err
		}
		s.AloneMB = float64(k.Resident) / mb
	}
	s.Memory = map[Role]Memory{}
	for role, xs := range resident {
		s.Memory[role] = Memory{Resident: Over(xs)}
	}
	if m, is := s.Memory[Hollow]; is {
		m.Heap = Over(heap)
		s.Memory[Hollow] = m
	}
	return nil
}

// Slope is how one figure grows with the size.
type Slope struct {
	What     string  `json:"what"`
	Unit     string  `json:"unit"`
	Line     Line    `json:"line"`
	At       float64 `json:"at"`       // the line's value at the stated size
	Measured float64 `json:"measured"` // there; 0 where that size was not measured
	Added    float64 `json:"added"`    // by which a real node takes more than a hollow one, at the largest size with both
	Budget   float64 `json:"budget"`   // 0 for none
	Over     bool    `json:"over"`
}

// Report is the whole.
type Report struct {
	Nodes   int      `json:"nodes"`
	Real    int      `json:"real"`
	WindowS float64  `json:"window_s"`
	Seed    int64    `json:"seed"`
	File    File     `json:"file"`
	Sizes   []*Size  `json:"sizes"`
	Slopes  []Slope  `json:"slopes"`
	Wrong   []string `json:"wrong"`
}

// means are the means of a role by size.
func (r *Report) means(role Role, of func(*Size) (Spread, bool)) (xs, ys []float64) {
	for _, s := range r.Sizes {
		if y, is := of(s); is {
			xs, ys = append(xs, float64(s.Nodes)), append(ys, y.Mean)
		}
	}
	return xs, ys
}

func (s *Size) flow(phase string, role Role, what string) (Spread, bool) {
	p := s.Phases[phase]
	if p == nil || p.Roles[role] == nil {
		return Spread{}, false
	}
	x, is := p.Roles[role].Flows[what]
	return x, is
}

// slope fits a figure of hollow nodes, and adds by what real ones take more.
func (r *Report) slope(what, unit string, budget float64, of func(s *Size, role Role) (Spread, bool)) {
	xs, ys := r.means(Hollow, func(s *Size) (Spread, bool) { return of(s, Hollow) })
	if len(xs) == 0 {
		return
	}
	l := Slope{What: what, Unit: unit, Line: Fit(xs, ys), Budget: budget}
	l.At = l.Line.At(float64(r.Nodes))
	for i, x := range xs {
		if x == float64(r.Nodes) {
			l.Measured = ys[i]
		}
	}
	for _, s := range r.Sizes {
		if hollow, is := of(s, Hollow); is {
			if real, is := of(s, Real); is {
				l.Added = real.Mean - hollow.Mean
			}
		}
	}
	if l.Over = budget > 0 && l.value() > budget; l.Over {
		r.Wrong = append(r.Wrong, fmt.Sprintf("%s at %d nodes is %.4g %s, and %.4g is the budget", what, r.Nodes, l.value(), unit, budget))
	}
	r.Slopes = append(r.Slopes, l)
}

// value is what is held against the budget: what was measured at the stated size, else the line's, as a real node takes it.
func (l *Slope) value() float64 { return cmp.Or(l.Measured, l.At) + max(0, l.Added) }

const calibrated = 0.10 // by which hollow and real nodes may differ and count as the same

// judge fits all, and holds it against the budget.
func (r *Report) judge() {
	b := &r.File.Budget
	in := func(phase, what string) func(*Size, Role) (Spread, bool) {
		return func(s *Size, role Role) (Spread, bool) { return s.flow(phase, role, what) }
	}
	for _, what := range flowNames {
		r.slope("steady "+what+" sent", "B/s", 0, in(steady, what+" out B/s"))
	}
	r.slope("steady, all sent", "B/s", 0, in(steady, "all out B/s"))
	r.slope("steady, all sent", "messages/s", 0, in(steady, "all out /s"))
	r.slope("steady, all sent and received", "B/s", b.KBPerS*1000, in(steady, bothWays))
	r.slope("steady, processor", "% of a core", b.CorePercent, func(s *Size, role Role) (Spread, bool) {
		p := s.Phases[steady]
		if p == nil || p.Roles[role] == nil {
			return Spread{}, false
		}
		return p.Roles[role].Processor, true
	})
	r.slope("memory, resident", "MB", b.MemoryMB, func(s *Size, role Role) (Spread, bool) {
		m, is := s.Memory[role]
		return m.Resident, is
	})
	r.slope("memory, heap", "MB", 0, func(s *Size, role Role) (Spread, bool) {
		m, is := s.Memory[role]
		return m.Heap, is && m.Heap.Mean > 0
	})
	for _, phase := range phases {
		if phase == steady {
			continue
		}
		r.slope(phase+", all sent and received, in all", "kB", 0, func(s *Size, role Role) (Spread, bool) {
			x, is := s.flow(phase, role, bothWays)
			if is {
				x.Mean *= s.Phases[phase].LongS / 1000
			}
			return x, is
		})
	}
	for _, s := range r.Sizes {
		if s.LostHere > 0 {
			r.Wrong = append(r.Wrong, fmt.Sprintf("%d messages were lost between %d nodes for want of room here: the machine is too busy to say anything", s.LostHere, s.Nodes))
		}
	}
}

// Good tells whether all is within.
func (r *Report) Good() bool { return len(r.Wrong) == 0 }

// Last is the line that says so.
func (r *Report) Last() string {
	if r.Good() {
		return "all within"
	}
	return "not within: " + names(r.Wrong)
}

// Print writes the tables.
func (r *Report) Print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			switch x := c.(type) {
			case float64:
				fmt.Fprintf(w, "%.4g", x)
			default:
				fmt.Fprint(w, x)
			}
		}
		fmt.Fprintln(w)
	}
	spread := func(s *Size, role Role, what string, x Spread) {
		row(s.Nodes, role, what, x.Mean, x.Median, x.P99, x.Most)
	}
	row("nodes", "role", "while nothing happens", "mean", "median", "p99", "most")
	for _, s := range r.Sizes {
		p := s.Phases[steady]
		for _, role := range []Role{Hollow, Real} {
			if p == nil || p.Roles[role] == nil {
				continue
			}
			for _, what := range append(slices.Clone(flowNames), allFlows) {
				for _, m := range measures {
					spread(s, role, what+" "+m.name, p.Roles[role].Flows[what+" "+m.name])
				}
			}
			spread(s, role, bothWays, p.Roles[role].Flows[bothWays])
			spread(s, role, "processor, % of a core", p.Roles[role].Processor)
			spread(s, role, "waited for a core, times as long", p.Roles[role].Waited)
			spread(s, role, "resident, MB", s.Memory[role].Resident)
			if role == Hollow {
				spread(s, role, "heap, MB", s.Memory[role].Heap)
			}
		}
	}
	row()
	row("nodes", "phase", "long, s", "until views were right, s", "role", "sent, kB in all", "received, kB in all", "p99 both, kB", "of it: hellos", "statements", "gossip", "streams", "list",
		"% of a core")
	for _, s := range r.Sizes {
		for _, name := range phases {
			p := s.Phases[name]
			if p == nil {
				continue
			}
			for _, role := range []Role{Hollow, Real} {
				t := p.Roles[role]
				if t == nil {
					continue
				}
				k := p.LongS / 1000
				cells := []any{s.Nodes, name, p.LongS, p.TookS, role, t.Flows["all out B/s"].Mean * k, t.Flows["all in B/s"].Mean * k, t.Flows[bothWays].P99 * k}
				for _, what := range flowNames {
					cells = append(cells, (t.Flows[what+" out B/s"].Mean+t.Flows[what+" in B/s"].Mean)*k)
				}
				row(append(cells, t.Processor.Mean)...)
			}
		}
	}
	row()
	row("calibration: nodes", "figure", "hollow", "real", "real is more by")
	for _, s := range r.Sizes {
		p := s.Phases[steady]
		if p == nil || p.Roles[Hollow] == nil || p.Roles[Real] == nil {
			continue
		}
		h, x := p.Roles[Hollow], p.Roles[Real]
		for _, c := range []struct {
			what         string
			hollow, real float64
		}{{"sent, B/s", h.Flows["all out B/s"].Mean, x.Flows["all out B/s"].Mean}, {"received, B/s", h.Flows["all in B/s"].Mean, x.Flows["all in B/s"].Mean},
			{"sent, messages/s", h.Flows["all out /s"].Mean, x.Flows["all out /s"].Mean}, {"received, messages/s", h.Flows["all in /s"].Mean, x.Flows["all in /s"].Mean},
			{"processor, % of a core", h.Processor.Mean, x.Processor.Mean}, {"resident, MB", s.Memory[Hollow].Resident.Mean, s.Memory[Real].Resident.Mean}} {
			by := 0.0
			if c.hollow > 0 {
				by = c.real/c.hollow - 1
			}
			note := fmt.Sprintf("%+.1f%%", 100*by)
			if by > calibrated || by < -calibrated {
				note += fmt.Sprintf(": %+.4g is added", max(0, c.real-c.hollow))
			}
			row(s.Nodes, c.what, c.hollow, c.real, note)
		}
		row(s.Nodes, "a node that knows of no other: processor, % of a core", "", p.Alone, fmt.Sprintf("so knowing them takes a real node %.4g", x.Processor.Mean-p.Alone))
		row(s.Nodes, "a node that knows of no other: resident, MB", "", s.AloneMB, fmt.Sprintf("so knowing them takes a real node %.4g", s.Memory[Real].Resident.Mean-s.AloneMB))
	}
	row()
	row("means of hollow nodes", "unit", "a node more", "standard error", "R2", fmt.Sprintf("line at %d", r.Nodes), "measured", "real is more by", "budget", "")
	for _, l := range r.Slopes {
		budget, verdict, measured := "-", "", "-"
		if l.Budget > 0 {
			budget, verdict = fmt.Sprintf("%.4g", l.Budget), "within"
			if l.Over {
				verdict = "over"
			}
		}
		if l.Measured > 0 {
			measured = fmt.Sprintf("%.4g", l.Measured)
		}
		deviation := "-"
		if l.Line.Points > 2 {
			deviation = fmt.Sprintf("%.3g", l.Line.Error)
		}
		row(l.What, l.Unit, l.Line.Slope, deviation, fmt.Sprintf("%.3f", l.Line.R2), l.At, measured, l.Added, budget, verdict)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(to, r.Last())
	return err
}
