// Package outcome gathers what a run brought, sets it against what its script expects, and writes it down.
package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/policy"
)

const (
	before       = 5    // seconds of service before the first event that recovery is measured by
	asGood       = 0.97 // of the share before, from which it counts as recovered
	recoverSpan  = 3    // seconds over which that share is taken: one second's is chance
	mostRecords  = 100_000
	lateArrivals = 0.02 // share of arrivals that may be late before the machine was too busy to judge
)

// LateBy is how late an arrival may be played before it counts as late.
const LateBy = 25 * time.Millisecond

// Second is what one second of a run brought, by the time of first tries.
type Second struct {
	Asked   int `json:"asked"`
	InTime  int `json:"in_time"`
	Legs    int `json:"legs"`
	Origin  int `json:"origin_legs"`
	Repeats int `json:"repeats"` // further tries of clients

	// what all nodes do together, which none of them sees
	Calls     int `json:"list_calls"`
	Dials     int `json:"dials"`
	FullDials int `json:"full_dials"` // connections that a server had no room for
	Probes    int `json:"probes"`
	Misses    int `json:"misses"`
	Vain      int `json:"vain_legs"` // full, failed, broken, given up or without a connection
}

// Counted is a count by the name that scripts have for it.
func (s *Second) Counted(name string) int {
	switch name {
	case "list_calls":
		return s.Calls
	case "dials":
		return s.Dials
	case "full_dials":
		return s.FullDials
	case "probes":
		return s.Probes
	case "misses":
		return s.Misses
	case "origin_legs":
		return s.Origin
	case "vain_legs":
		return s.Vain
	}
	return 0
}

// Log is filled during a run.
type Log struct {
	began   policy.Instant
	Seconds []Second
	Legs    map[policy.EndpointID]uint64
	Records []eventlog.Event
	Dropped int // records beyond what is kept
	Events  []Said
	Late    int // arrivals that were played late
	Played  int
	Views   *checker.Views // what nodes say of one another; nil where they know of none
}

// Said is a line of what the script did.
type Said struct {
	At   policy.Instant `json:"at_ns"`
	What string         `json:"what"`
}

// NewLog starts one; began is when the script's time is 0.
func NewLog(s *scenario.Scenario, began policy.Instant) *Log {
	return &Log{began: began, Seconds: make([]Second, int(s.Seconds)+1), Legs: map[policy.EndpointID]uint64{}}
}

func (l *Log) second(at policy.Instant) *Second {
	return &l.Seconds[min(max(0, int(at.Since(l.began)/time.Second)), len(l.Seconds)-1)]
}

// Asked counts a try.
func (l *Log) Asked(at policy.Instant, first bool) {
	if l.Played++; first {
		l.second(at).Asked++
	} else {
		l.second(at).Repeats++
	}
}

// InTime counts a first try that was satisfied within its soft limit.
func (l *Log) InTime(first policy.Instant) { l.second(first).InTime++ }

// Leg counts one that came to a server.
func (l *Log) Leg(at policy.Instant, server policy.EndpointID) {
	l.Legs[server]++
	s := l.second(at)
	if s.Legs++; server == world.OriginID {
		s.Origin++
	}
}

// Now is the second of an instant, to count in.
func (l *Log) Now(at policy.Instant) *Second { return l.second(at) }

// Ended counts how a leg to a server ended.
func (l *Log) Ended(at policy.Instant, how policy.Result) {
	switch how {
	case policy.Answered, policy.Cancelled, policy.NotSent:
	case policy.CacheMiss:
		l.second(at).Misses++
	default:
		l.second(at).Vain++
	}
}

// Note keeps a record.
func (l *Log) Note(e eventlog.Event) {
	if e.At -= l.began; len(l.Records) >= mostRecords {
		l.Dropped++
		return
	}
	l.Records = append(l.Records, e)
}

// Say keeps a line of what the script did.
func (l *Log) Say(at policy.Instant, what string) {
	l.Events = append(l.Events, Said{at - l.began, what})
}

// Class is what one grade got.
type Class struct {
	Name     string  `json:"name"`
	Asked    uint64  `json:"asked"`
	InTime   float64 `json:"satisfied_in_time"` // share of first tries
	Tries    float64 `json:"tries_each"`
	Rejected uint64  `json:"rejected"`
	Failed   uint64  `json:"failed"`
	Cut      uint64  `json:"cut"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// Expected is one expectation and what came of it.
type Expected struct {
	What string `json:"what"`
	Got  string `json:"got"`
	Met  bool   `json:"met"`
}

// Server is what one server got.
type Server struct {
	ID     policy.EndpointID `json:"id"`
	Legs   uint64            `json:"legs"`
	Hits   uint64            `json:"hits"`
	Misses uint64            `json:"misses"`
}

// Report is what a run brought.
type Report struct {
	Script   string           `json:"script"`
	Seed     int64            `json:"seed"`
	Shell    string           `json:"shell"`
	Decider  string           `json:"decider"`
	Nodes    int              `json:"nodes"`
	Caches   int              `json:"caches"`
	Seconds  float64          `json:"seconds"`
	Gain     float64          `json:"benefit_in_time"` // share of all benefit asked
	PerAsked float64          `json:"legs_per_request"`
	Origin   int              `json:"most_origin_legs_per_s"`
	Back     float64          `json:"recovered_at_s"` // since when it serves as before the first event; -1 for never
	Rules    [4]uint64        `json:"breaches_by_rule"`
	Breaches []checker.Breach `json:"breaches"`
	Classes  []Class          `json:"grades"`
	Servers  []Server         `json:"servers"`
	Expected []Expected       `json:"expected"`
	Busy     string           `json:"machine_too_busy,omitempty"`
	Course   []Second         `json:"course"`
	Events   []Said           `json:"events"`
	Records  []eventlog.Event `json:"-"`
	Dropped  int              `json:"records_dropped,omitempty"`
	Together *Fleet           `json:"together,omitempty"`
}

// Draw up a report. first is when the first event begins and last when the last ends, 0 for none.
func Draw(s *scenario.Scenario, shell, decider string, w *world.World, j *checker.Checker, l *Log, first, last policy.Instant) *Report {
	r := &Report{Script: s.Name, Seed: s.Seed, Shell: shell, Decider: decider, Nodes: s.Fleet.Nodes, Caches: s.Fleet.Caches, Seconds: s.Seconds,
		Breaches: j.Breaches, Course: slices.Clone(l.Seconds), Events: l.Events, Records: l.Records, Dropped: l.Dropped}
	copy(r.Rules[:], j.Counts[1:])
	slices.SortStableFunc(r.Breaches, func(a, b checker.Breach) int { return cmp.Compare(a.At, b.At) })
	for i := range r.Breaches {
		r.Breaches[i].At -= l.began
	}
	asked, got, tries := 0.0, 0.0, uint64(0)
	for i, g := range s.WorldClasses() {
		t := &j.Classes[i]
		row := Class{Name: g.Name, Asked: t.First, Rejected: t.Rejected, Failed: t.Failed, Cut: t.Cut}
		if t.First > 0 {
			row.InTime = float64(t.FirstInTime) / float64(t.First)
			row.Tries = float64(t.Asked) / float64(t.First)
		}
		row.P50, row.P99 = quantile(j.Latencies[i], 0.5), quantile(j.Latencies[i], 0.99)
		r.Classes = append(r.Classes, row)
		tries += t.Asked
		asked += g.PriorityWeight * float64(t.First)
		got += g.PriorityWeight * float64(t.FirstInTime)
	}
	legs := uint64(0)
	for _, server := range w.Servers {
		legs += l.Legs[server.ID]
		r.Servers = append(r.Servers, Server{server.ID, l.Legs[server.ID], server.Hits, server.Misses})
	}
	r.Gain, r.PerAsked = got/max(asked, 1e-9), float64(legs)/max(1, float64(tries))
	for _, sec := range l.Seconds {
		r.Origin = max(r.Origin, sec.Origin)
	}
	r.Back = l.recovered(first, last)
	if l.Views != nil {
		r.Together = newFleet(l.Views.From(l.began), scenario.Span(s.Together.PauseS), policy.Instant(s.Duration()))
	}
	if l.Played > 0 && float64(l.Late) > lateArrivals*float64(l.Played) {
		r.Busy = fmt.Sprintf("%d of %d arrivals were played over %v late", l.Late, l.Played, LateBy)
	}
	r.expect(s)
	return r
}

func quantile(took []time.Duration, q float64) float64 {
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return float64(took[min(len(took)-1, int(q*float64(len(took))))].Microseconds()) / 1000
}

// recovered tells the second from which on the share in time is as good as before the first event and stays so.
func (l *Log) recovered(first, last policy.Instant) float64 {
	if last == 0 {
		return 0
	}
	share := func(from, to int) float64 {
		asked, good := 0, 0
		for _, s := range l.Seconds[max(0, from):max(0, min(to, len(l.Seconds)-1))] {
			asked, good = asked+s.Asked, good+s.InTime
		}
		if asked == 0 {
			return 1
		}
		return float64(good) / float64(asked)
	}
	start := int(first.Since(l.began) / time.Second)
	usual := share(start-before, start)
	for at := len(l.Seconds) - 1; at >= start; at-- {
		if share(at-recoverSpan, at) < asGood*usual {
			if at >= len(l.Seconds)-1 {
				return -1
			}
			return float64(at)
		}
	}
	return float64(start)
}

func (r *Report) want(met bool, got, what string, args ...any) {
	r.Expected = append(r.Expected, Expected{fmt.Sprintf(what, args...), got, met})
}

func (r *Report) expect(s *scenario.Scenario) {
	broken := uint64(0)
	for _, n := range r.Rules {
		broken += n
	}
	r.want(broken == 0, fmt.Sprint(r.Rules), "no rule is broken")
	for _, g := range r.Classes {
		if least, ok := s.Expect.Satisfied[g.Name]; ok {
			r.want(g.InTime >= least, fmt.Sprintf("%.4f", g.InTime), "%s: at least %g satisfied in time", g.Name, least)
		}
		if most, ok := s.Expect.P99Ms[g.Name]; ok {
			r.want(g.P99 <= most, fmt.Sprintf("%.1f", g.P99), "%s: p99 at most %g ms", g.Name, most)
		}
	}
	for _, a := range s.Expect.Avoided {
		at := r.FirstOf(policy.EndpointID(a.Server), eventlog.EndpointAvoided)
		r.want(at >= 0 && at <= a.ByS, fmt.Sprintf("%.1f s", at), "%s is avoided by %g s", a.Server, a.ByS)
	}
	for _, id := range s.Expect.Drained {
		at := r.FirstOf(policy.EndpointID(id), eventlog.EndpointDrained)
		r.want(at >= 0, fmt.Sprintf("%.1f s", at), "%s is drained", id)
	}
	if most := s.Expect.OriginMost; most > 0 {
		r.want(float64(r.Origin) <= most, fmt.Sprint(r.Origin), "at most %g legs at the origin in a second", most)
	}
	for _, name := range scenario.Counted {
		if most, ok := s.Expect.MostPerS[name]; ok {
			got := r.Most(name)
			r.want(float64(got) <= most, fmt.Sprint(got), "at most %g %s in a second over the whole fleet", most, name)
		}
	}
	if most := s.Expect.Excess; most > 0 {
		r.want(r.PerAsked <= most, fmt.Sprintf("%.3f", r.PerAsked), "at most %g legs for each request", most)
	}
	r.expectViews(s)
	if by := s.Expect.RecoveredBy; by > 0 {
		r.want(r.Back >= 0 && r.Back <= by, fmt.Sprintf("%.0f s", r.Back), "as good as before from %g s on", by)
	}
}

// Most is the largest count in any second, over the whole fleet.
func (r *Report) Most(name string) (most int) {
	for i := range r.Course {
		most = max(most, r.Course[i].Counted(name))
	}
	return most
}

// FirstOf tells when the whole fleet's records first say something of a server, in seconds; -1 for never.
func (r *Report) FirstOf(id policy.EndpointID, what string) float64 {
	for _, e := range r.Records {
		if e.Server == id && e.Kind == what && e.Node == FleetsBook {
			return time.Duration(e.At).Seconds()
		}
	}
	return -1
}

// FleetsBook is the name under which the records of all nodes together stand.
const FleetsBook = "fleet"

// Good tells whether all that was expected came. A run on a machine too busy is not judged.
func (r *Report) Good() bool {
	return r.Busy == "" && !slices.ContainsFunc(r.Expected, func(e Expected) bool { return !e.Met })
}

// Print writes a report for people.
func (r *Report) Print(to io.Writer) {
	fmt.Fprintf(to, "%s (seed %d, %s, %s): %d nodes, %d caches, %g s\n", r.Script, r.Seed, r.Shell, r.Decider, r.Nodes, r.Caches, r.Seconds)
	fmt.Fprintf(to, "%-12s %9s %9s %7s %10s %9s %5s %9s %9s\n", "grade", "asked", "in time", "tries", "rejected", "failed", "cut", "p50 ms", "p99 ms")
	for _, g := range r.Classes {
		fmt.Fprintf(to, "%-12s %9d %8.2f%% %7.2f %10d %9d %5d %9.1f %9.1f\n", g.Name, g.Asked, 100*g.InTime, g.Tries, g.Rejected, g.Failed, g.Cut,
			g.P50, g.P99)
	}
	fmt.Fprintf(to, "benefit in time %.4f; %.3f legs for each request, at most %d a second at the origin\n", r.Gain, r.PerAsked, r.Origin)
	fmt.Fprintln(to, "course:", r.sparks())
	fmt.Fprint(to, "over the fleet, in all and most in a second:")
	for _, name := range scenario.Counted {
		all := 0
		for i := range r.Course {
			all += r.Course[i].Counted(name)
		}
		fmt.Fprintf(to, " %s %d %d;", name, all, r.Most(name))
	}
	fmt.Fprintln(to)
	for _, e := range r.Events {
		fmt.Fprintf(to, "%8.3f s  script: %s\n", time.Duration(e.At).Seconds(), e.What)
	}
	for _, e := range r.Records {
		if e.Node == FleetsBook && e.Kind != eventlog.EndpointListed || e.Kind == eventlog.LevelChanged {
			fmt.Fprintln(to, e)
		}
	}
	r.Together.print(to, time.Duration(r.Seconds*1e9))
	for i, b := range r.Breaches {
		if i == 10 {
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
	if r.Busy != "" {
		fmt.Fprintln(to, "not judged: the machine was too busy:", r.Busy)
	}
}

// sparks draws the share in time, a column for one second or more.
func (r *Report) sparks() string {
	const bars, columns = "▁▂▃▄▅▆▇█", 60
	ticks, per := []rune(bars), max(1, (len(r.Course)+columns-1)/columns)
	var b strings.Builder
	for i := 0; i < len(r.Course)-1; i += per {
		asked, good := 0, 0
		for _, s := range r.Course[i:min(i+per, len(r.Course))] {
			asked, good = asked+s.Asked, good+s.InTime
		}
		if asked == 0 {
			b.WriteByte(' ')
			continue
		}
		b.WriteRune(ticks[min(len(ticks)-1, good*len(ticks)/asked)])
	}
	return b.String()
}
