package scenario

import (
	"fmt"
	"math"

	"dahliapin/internal/keyhash"
)

const (
	soakBegins   = 2.0 // seconds until the first trouble
	soakQuiet    = 1.0 // seconds without trouble at the end
	soakApart    = 0.6 // seconds between two troubles, on the mean: they overlap
	soakLongest  = 4.0 // seconds that a trouble lasts at most
	soakNodeRest = 7.0 // seconds until a node is told to end again: by then it was killed, has come back, and serves
	soakSlackMs  = 200 // a process may be held up for 150 ms
	soakLateMs   = 500 // after its deadline that a final answer only earns nothing
	soakNodes    = 4   // at most
	soakManyOf   = 8   // one in so many schedules has many caches
	soakMany     = 600 // caches then
)

// soak draws one schedule.
type soak struct {
	chance keyhash.Source
	script Scenario
	end    float64   // of the last trouble
	busy   []float64 // by node, until when it is not told to end
}

// Soak draws deployment, traffic and troubles by a seed, the same for the same seed. The troubles are those that rules give no excuse for.
func Soak(seed int64, seconds float64) *Scenario {
	d := &soak{chance: keyhash.Source{Seed: uint32(seed) ^ 0x50a4}, script: defaults()}
	s := &d.script
	s.Name, s.Seed, s.Seconds = fmt.Sprintf("soak-%d", seed), seed, math.Max(seconds, soakBegins+soakLongest+soakQuiet)
	s.About = "A random deployment, with random troubles that overlap."
	d.end = s.Seconds - soakQuiet
	d.deployment()
	d.grades()
	d.troubles()
	return s
}

// upTo draws a number from low to high, to hundredths.
func (d *soak) upTo(low, high float64) float64 {
	return math.Round((low+(high-low)*d.chance.Float64())*100) / 100
}

// count draws a whole number from low to high.
func (d *soak) count(low, high int) int { return low + int(d.chance.Float64()*float64(high-low+1)) }

func (d *soak) yes(share float64) bool { return d.chance.Float64() < share }

func oneOf[T any](d *soak, all ...T) T { return all[int(d.chance.Float64()*float64(len(all)))] }

func (d *soak) deployment() {
	s := &d.script
	f, a, t := &s.Fleet, &s.Allowed, &s.Traffic
	f.Nodes, f.Caches, f.Group = d.count(1, soakNodes), d.count(6, 24), d.count(1, 6)
	if d.yes(1.0 / soakManyOf) {
		f.Caches = soakMany
	}
	f.Zones = [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}}[d.count(0, 2)]
	f.Spread, f.Speed, f.IdleS = d.yes(0.5), [2]float64{0.8, 1.4}, oneOf(d, 1.0, 5, 15)
	f.Connections = oneOf(d, 20, 100, 600)
	d.busy = make([]float64, f.Nodes)
	a.Mode = oneOf(d, "aside", "aside", "through")
	a.MaxAttempts, a.Hedging, a.Cancel, a.Probes = d.count(1, 4), d.yes(0.5), d.yes(0.7), d.yes(0.5)
	a.RetryAfterMs, a.ConnectMs = oneOf(d, 0.0, 200, 600), oneOf(d, 50.0, 100, 250)
	a.GraceMs, a.SlackMs, a.LateAnswerMs = 400, soakSlackMs, soakLateMs
	t.PerSecond, t.Keys, t.UntilKill = d.upTo(80, 300), 2000, true
	if d.yes(0.5) {
		t.Leaves, t.LeaveMs = d.upTo(0.02, 0.3), d.upTo(5, 200)
	}
	if d.yes(0.3) {
		t.Short, t.ShortMs = d.upTo(0.02, 0.2), d.upTo(20, 100)
	}
}

// grades draws a class of reads, and classes of writes with each effect.
func (d *soak) grades() {
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
	add(Class{Name: "mark", Share: 0.15, Effect: "labelled", Write: true, Scope: oneOf(d, "all", "zone", "group"),
		HardMs: d.upTo(300, 2500), WindowS: d.upTo(0.2, 5)})
	add(Class{Name: "pay", Share: 0.1, Effect: "irreversible", Write: true, Scope: "all", HardMs: d.upTo(300, 2500)})
}

// troubles draws what goes wrong, one thing after the other; most last until others have begun.
func (d *soak) troubles() {
	for at := soakBegins; at < d.end-soakQuiet; at += d.upTo(0, 2*soakApart) {
		e := Event{AtS: math.Round(at*100) / 100}
		if d.one(&e) {
			d.script.Events = append(d.script.Events, e)
		}
	}
}

// one draws one trouble, and tells whether it can be there at its time.
func (d *soak) one(e *Event) bool {
	long := math.Min(d.upTo(0.3, soakLongest), d.end-e.AtS)
	if long < 0.3 {
		return false
	}
	long = math.Round(long*100) / 100
	switch kind := d.count(0, 17); kind {
	case 0, 1, 2:
		return d.endsNode(e)
	case 3:
		e.Do, e.Nodes, e.ForS = freeze, d.node(), d.upTo(0.02, maxFreezeS)
	case 4:
		e.Do, e.Nodes, e.Count = reload, d.node(), d.count(2, 5)
	case 5:
		e.Do, e.Nodes, e.Count, e.ForS = crowd, d.node(), d.count(100, 700), long
	case 6:
		e.Do, e.Nodes, e.Count = stall, d.node(), d.count(1, 20)
	case 7:
		e.Do, e.ForS = "discovery_down", long
	case 8:
		e.Do, e.Part, e.ForS = "drain", d.upTo(0.05, 0.3), d.upTo(1, soakLongest)
	case 9:
		e.Do, e.Count = "add", d.count(1, 4)
	case 10:
		e.Do, e.Part, e.ForS = "silent", d.upTo(0.05, 0.4), long
	case 11:
		e.Do, e.Part, e.ForS = "restart", d.upTo(0.05, 0.3), long
	case 12:
		e.Do, e.Part, e.ForS = "pause", d.upTo(0.05, 0.5), long
	case 13, 14:
		e.Do, e.Part, e.ForS, e.Fault = "fault", d.upTo(0.05, 0.4), long, oneOf(d, "refuse", "reset", "silent", "half", "garbage")
	case 15:
		e.Do, e.Part, e.ForS, e.Share = "errors", d.upTo(0.05, 0.4), long, d.upTo(0.1, 1)
	case 16:
		e.Do, e.ForS, e.Factor = "burst", long, d.upTo(1.2, 3)
	default:
		if d.script.Allowed.Mode != "aside" {
			return false
		}
		e.Do, e.ForS, e.Factor = "origin_slow", long, d.upTo(2, 20)
	}
	return true
}

func (d *soak) node() []int { return []int{d.count(1, d.script.Fleet.Nodes)} }

// endsNode has a node told to end, or killed outright, unless it was not long ago.
func (d *soak) endsNode(e *Event) bool {
	n := d.count(1, d.script.Fleet.Nodes)
	if d.busy[n-1] > e.AtS {
		return false
	}
	d.busy[n-1] = e.AtS + soakNodeRest
	e.Do, e.Nodes = "node_restart", []int{n}
	if d.yes(0.2) {
		e.Do = "node_kill"
	}
	return true
}
