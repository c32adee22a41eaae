package scenario

import (
	"fmt"
	"math"

	"dahliapin/internal/emulator/coverage"
	"dahliapin/internal/keyhash"
)

const (
	soakBegins  = 2.0 // seconds until the first fault
	soakQuiet   = 1.0 // seconds without faults at the end
	soakApart   = 0.6 // mean seconds between the beginnings of two faults, which overlap
	soakLongest = 4.0 // longest fault in seconds
	soakSlackMs = 200 // a process may be held up for 150 ms
	soakLateMs  = 500 // after its deadline that a final answer only earns nothing
	soakNodes   = 4   // at most
	soakManyOf  = 8   // one in this many schedules has soakMany caches
	soakMany    = 600 // caches then
	soakFragile = 0.4 // share of schedules whose caches are cold for long, and fall over soon then
)

// soak draws one schedule.
type soak struct {
	chance keyhash.Source
	script Scenario
	end    float64 // of the scenario, without the quiet time
	plan   *soakPlan
}

// Soaks returns a random schedule for each seed of a range, the same for the same range. The choice of faults favours
// those that are expected to have met the phases of nodes least often in the schedules of earlier seeds.
func Soaks(first, last int64, seconds float64) []*Scenario {
	met := coverage.NewTable(SoakFaults())
	var all []*Scenario
	for seed := first; seed <= last; seed++ {
		all = append(all, drawSoak(seed, seconds, met))
	}
	return all
}

// drawSoak draws a deployment, traffic and faults from a seed. It uses only faults during which all rules must hold.
// The phases that faults are expected to meet are added to a table, which weights the choice of faults.
func drawSoak(seed int64, seconds float64, met *coverage.Table) *Scenario {
	d := &soak{chance: keyhash.Source{Seed: uint32(seed) ^ 0x50a4}, script: defaults()}
	s := &d.script
	s.Name, s.Seed, s.Seconds = fmt.Sprintf("soak-%d", seed), seed, math.Max(seconds, soakBegins+soakLongest+soakQuiet)
	s.About = "A random deployment, with random troubles that overlap."
	d.end = s.Seconds - soakQuiet
	d.drawDeployment()
	d.drawClasses()
	d.plan = newSoakPlan(&d.script, met)
	d.drawFaults()
	return s
}

// upTo draws a number from low to high, rounded to hundredths.
func (d *soak) upTo(low, high float64) float64 {
	return math.Round((low+(high-low)*d.chance.Float64())*100) / 100
}

// count draws an integer from low to high.
func (d *soak) count(low, high int) int { return low + int(d.chance.Float64()*float64(high-low+1)) }

func (d *soak) yes(share float64) bool { return d.chance.Float64() < share }

func oneOf[T any](d *soak, all ...T) T { return all[int(d.chance.Float64()*float64(len(all)))] }

func (d *soak) drawDeployment() {
	s := &d.script
	f, a, t := &s.Fleet, &s.Allowed, &s.Traffic
	f.Nodes, f.Caches, f.Group = d.count(1, soakNodes), d.count(6, 24), d.count(1, 6)
	if d.yes(1.0 / soakManyOf) {
		f.Caches = soakMany
	}
	f.Zones = [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}}[d.count(0, 2)]
	f.Spread, f.Speed, f.IdleS = d.yes(0.5), [2]float64{0.8, 1.4}, oneOf(d, 1.0, 5, 15)
	f.Connections = oneOf(d, 20, 100, 600)
	if d.yes(soakFragile) {
		f.ColdFrom, f.ColdS, f.FallMultiple, f.FallS = 0.1, 20, 2, 0.3
	}
	a.Mode = oneOf(d, "aside", "aside", "through")
	a.MaxAttempts, a.Hedging, a.Cancel, a.Probes = d.count(1, 4), d.yes(0.5), d.yes(0.7), d.yes(0.5)
	a.RetryAfterMs, a.ConnectMs = oneOf(d, 0.0, 200, 600), oneOf(d, 50.0, 100, 250)
	a.GraceMs, a.SlackMs, a.LateAnswerMs = 400, soakSlackMs, soakLateMs
	t.PerSecond, t.Keys, t.UntilKill = d.upTo(80, 300), 2000, true
	if d.yes(0.5) {
		t.Leaves, t.LeaveMs = d.upTo(0.02, 0.3), d.upTo(5, 200)
	}
	if d.yes(0.5) {
		s.Discovery.WatchMs, s.Discovery.WholeMs, s.Discovery.BacklogMs = d.upTo(0.1, 1), d.upTo(1, 5), 500
	}
	if d.yes(0.3) {
		t.Short, t.ShortMs = d.upTo(0.02, 0.2), d.upTo(20, 100)
	}
}

// drawClasses draws a class of reads, and classes of writes with each effect.
func (d *soak) drawClasses() {
	s := &d.script
	add := func(g Class) {
		g.SoftMs = math.Round(d.upTo(0.3, 0.8) * g.HardMs)
		g.WorkMs, g.Benefit, g.Tries = d.upTo(1, 4), float64(d.count(1, 8)), d.count(1, 3)
		s.Classes = append(s.Classes, g)
	}
	add(Class{Name: "read", Share: 0.7, Effect: "idempotent", Scope: "all", HardMs: d.upTo(200, 1200)})
	if d.yes(0.5) {
		add(Class{Name: "quick", Share: 0.2, Effect: "idempotent", Scope: "all", HardMs: d.upTo(60, 200)})
	}
	mark := Class{Name: "mark", Share: 0.15, Effect: "labelled", Write: true, Scope: oneOf(d, "all", "zone", "group"),
		HardMs: d.upTo(300, 2500), WindowS: d.upTo(0.2, 5)}
	if d.yes(0.5) { // a window that ends before the deadline, so that a late retry would have its effect again
		mark.WindowS = d.upTo(0.1, 0.5) * mark.HardMs / 1000
	}
	add(mark)
	add(Class{Name: "pay", Share: 0.1, Effect: "irreversible", Write: true, Scope: "all", HardMs: d.upTo(300, 2500)})
}
