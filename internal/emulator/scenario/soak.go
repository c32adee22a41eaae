package scenario

import (
	"fmt"
	"math"

	"dahliapin/internal/keyhash"
)

const (
	soakStart        = 2.0 // seconds before the first fault
	soakQuietTime    = 1.0 // seconds without faults at the end
	soakMeanGap      = 0.6 // mean time between the beginnings of two faults, in seconds; faults may overlap
	soakMaxFault     = 4.0 // maximum duration of a fault, in seconds
	soakSlackMs      = 200 // tolerance for messages in transit: a freeze delays a process by up to 150 ms
	soakLateAnswerMs = 500 // time after the deadline in which a final answer breaks no rule but has no benefit
	soakMaxNodes     = 4   // maximum number of nodes
	soakManyCachesIn = 8   // one in this many schedules has soakManyCaches caches
	soakManyCaches   = 600 // number of caches in those schedules

	soakColdCacheShare  = 0.4 // share of schedules of the kind coldCaches
	soakLateRepeatShare = 0.5 // share of the others of the kind lateRepeats
	soakColdCacheLoad   = 0.6 // mean load of the caches of coldCaches, as a share of what they bear once warm
)

// soakKind is what a schedule is drawn for, besides faults that meet each other. Nodes that break the rule in question
// would hardly ever be found by a deployment that is drawn without it. The zero value is nothing in particular.
type soakKind int

const (
	// coldCaches are schedules in which a cold cache fails if it gets the share of the traffic of a warm one.
	coldCaches soakKind = iota + 1
	// lateRepeats are schedules in which attempts at writes fail after the deduplication window has ended, and before
	// the deadline.
	lateRepeats
)

// soak draws one schedule.
type soak struct {
	random    keyhash.Source
	scenario  Scenario
	end       float64 // end of the faults, in seconds
	kind      soakKind
	workMs    [2]float64 // least and most mean work of a request of a class
	followUps []Event    // drawn with an earlier event and not added yet, in order of time
	plan      *soakPlan
}

// Soaks returns a random schedule for each seed of a range. The same range gives the same schedules. The choice of
// faults favours those that, according to the plan, have coincided least often with the current phases of nodes, and
// with recent faults of the same node, in the schedules of earlier seeds.
func Soaks(first, last int64, seconds float64) []*Scenario {
	covered := newSoakCoverage()
	var all []*Scenario
	for seed := first; seed <= last; seed++ {
		all = append(all, drawSoak(seed, seconds, covered))
	}
	return all
}

// drawSoak draws a deployment, traffic and faults from a seed. It uses only faults during which all rules must hold.
// covered counts what faults are expected to coincide with, and weights the choice of faults.
func drawSoak(seed int64, seconds float64, covered *soakCoverage) *Scenario {
	d := &soak{random: keyhash.Source{Seed: uint32(seed) ^ 0x50a4}, scenario: defaults(), workMs: [2]float64{1, 4}}
	s := &d.scenario
	s.Name, s.Seed, s.Seconds =
		fmt.Sprintf("soak-%d", seed), seed, math.Max(seconds, soakStart+soakMaxFault+soakQuietTime)
	s.About = "A random deployment, with random troubles that overlap."
	d.end = s.Seconds - soakQuietTime
	d.drawDeployment()
	d.drawClasses()
	d.plan = newSoakPlan(&d.scenario, covered)
	d.drawFaults()
	return s
}

// between draws a number from low to high with two decimal places.
func (d *soak) between(low, high float64) float64 {
	return math.Round((low+(high-low)*d.random.Float64())*100) / 100
}

// intBetween draws an integer from low to high.
func (d *soak) intBetween(low, high int) int {
	return low + int(d.random.Float64()*float64(high-low+1))
}

// withChance returns true with the given probability.
func (d *soak) withChance(share float64) bool { return d.random.Float64() < share }

// oneOf draws one of the given values.
func oneOf[T any](d *soak, all ...T) T { return all[int(d.random.Float64()*float64(len(all)))] }

func (d *soak) drawDeployment() {
	s := &d.scenario
	f, a, t := &s.Fleet, &s.Allowed, &s.Traffic
	f.Nodes, f.Caches, f.Group = d.intBetween(1, soakMaxNodes), d.intBetween(6, 24), d.intBetween(1, 6)
	if d.withChance(1.0 / soakManyCachesIn) {
		f.Caches = soakManyCaches
	}
	f.Zones = [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}}[d.intBetween(0, 2)]
	f.Spread, f.Speed, f.IdleS = d.withChance(0.5), [2]float64{0.8, 1.4}, oneOf(d, 1.0, 5, 15)
	f.Connections = oneOf(d, 20, 100, 600)
	switch {
	case d.withChance(soakColdCacheShare):
		d.kind = coldCaches
	case d.withChance(soakLateRepeatShare):
		d.kind = lateRepeats
	}
	a.Mode = oneOf(d, "aside", "aside", "through")
	a.MaxAttempts, a.Hedging, a.Cancel, a.Probes =
		d.intBetween(1, 4), d.withChance(0.5), d.withChance(0.7), d.withChance(0.5)
	a.RetryAfterMs, a.ConnectMs = oneOf(d, 0.0, 200, 600), oneOf(d, 50.0, 100, 250)
	a.GraceMs, a.SlackMs, a.LateAnswerMs = 400, soakSlackMs, soakLateAnswerMs
	t.PerSecond, t.Keys, t.UntilKill = d.between(80, 300), 2000, true
	if d.withChance(0.5) {
		t.Leaves, t.LeaveMs = d.between(0.02, 0.3), d.between(5, 200)
	}
	if d.withChance(0.5) {
		s.Discovery.WatchMs, s.Discovery.WholeMs, s.Discovery.BacklogMs = d.between(0.1, 1), d.between(1, 5), 500
	}
	if d.withChance(0.3) {
		t.Short, t.ShortMs = d.between(0.02, 0.2), d.between(20, 100)
	}
	switch d.kind {
	case coldCaches:
		d.drawColdCaches()
	case lateRepeats:
		a.Mode, a.Hedging, a.MaxAttempts = "through", false, d.intBetween(2, 4)
	}
}

// drawColdCaches makes the caches stay cold for long and fail at a low overload. Their number follows from the
// traffic, so that a cold cache fails if it gets the share of the traffic that it would bear once warm: with little
// load, nodes that take cold caches for warm would overload none.
func (d *soak) drawColdCaches() {
	f := &d.scenario.Fleet
	f.ColdFrom, f.ColdS, f.FallMultiple, f.FallS = 0.05, 60, 2, 1
	d.workMs = [2]float64{20, 40}
	meanSpeed := (f.Speed[0] + f.Speed[1]) / 2
	meanWorkS := (d.workMs[0] + d.workMs[1]) / 2 / 1000
	d.scenario.Discovery.NoticeS = [2]float64{0.05, 0.1} // nodes learn from the list that a cache is cold
	f.Caches = int(math.Ceil(d.scenario.Traffic.PerSecond * meanWorkS / meanSpeed / soakColdCacheLoad))
}

// drawClasses draws one or two classes of reads and two classes of writes: one deduplicated and one irreversible.
func (d *soak) drawClasses() {
	s := &d.scenario
	add := func(g Class) {
		g.SoftMs = math.Round(d.between(0.3, 0.8) * g.HardMs)
		g.WorkMs, g.Benefit, g.Tries = d.between(d.workMs[0], d.workMs[1]), float64(d.intBetween(1, 8)), d.intBetween(1, 3)
		s.Classes = append(s.Classes, g)
	}
	add(Class{Name: "read", Share: 0.7, Effect: "idempotent", Scope: "all", HardMs: d.between(200, 1200)})
	if d.withChance(0.5) {
		add(Class{Name: "quick", Share: 0.2, Effect: "idempotent", Scope: "all", HardMs: d.between(60, 200)})
	}
	mark := Class{Name: "mark", Share: 0.15, Effect: "labelled", Write: true, Scope: oneOf(d, "all", "zone", "group"),
		HardMs: d.between(300, 2500), WindowS: d.between(0.2, 5)}
	switch {
	case d.kind == lateRepeats:
		mark.Share, mark.HardMs, mark.WindowS = 0.4, d.between(2000, 2500), d.between(0.1, 0.4)
	case d.withChance(0.5): // the window ends before the deadline, so that a late retry would take effect twice
		mark.WindowS = d.between(0.1, 0.5) * mark.HardMs / 1000
	}
	add(mark)
	add(Class{Name: "pay", Share: 0.1, Effect: "irreversible", Write: true, Scope: "all", HardMs: d.between(300, 2500)})
}
