package scenario

import (
	"math"

	"dahliapin/internal/emulator/coverage"
)

const soakShortest = 0.3 // shortest fault in seconds

// soakFault is one kind of fault in soak schedules.
type soakFault struct {
	name     coverage.Fault
	ofNode   bool // it concerns one node
	moveNode bool // it changes the node's phase, so that the node has to serve when it begins
	draw     func(d *soak, e *Event, long float64)
	possible func(s *Scenario) bool // nil for in each deployment
}

// soakFaults are the kinds of faults in soak schedules. The name is the event's action.
var soakFaults = []soakFault{
	{name: "node_restart", ofNode: true, moveNode: true},
	{name: "node_kill", ofNode: true, moveNode: true},
	{name: termStart, ofNode: true, moveNode: true, draw: func(d *soak, e *Event, _ float64) {
		e.LateMs = math.Round(d.upTo(1, 250))
	}},
	{name: upgrade, ofNode: true, moveNode: true},
	{name: standby, ofNode: true, moveNode: true, draw: func(d *soak, e *Event, _ float64) {
		e.ForS = d.upTo(1, soakLongest)
	}},
	{name: freeze, ofNode: true, draw: func(d *soak, e *Event, _ float64) { e.ForS = d.upTo(0.02, maxFreezeS) }},
	{name: reload, ofNode: true, draw: func(d *soak, e *Event, _ float64) { e.Count = d.count(2, 5) }},
	{name: crowd, ofNode: true, draw: func(d *soak, e *Event, long float64) {
		e.Count, e.ForS = d.count(100, 700), long
	}},
	{name: stall, ofNode: true, draw: func(d *soak, e *Event, _ float64) { e.Count = d.count(1, 20) }},
	{name: "discovery_down", draw: func(_ *soak, e *Event, long float64) { e.ForS = long }},
	{name: "discovery_slow", draw: func(d *soak, e *Event, long float64) { e.ForS, e.Factor = long, d.upTo(2, 50) },
		possible: func(s *Scenario) bool { return s.Discovery.WatchMs > 0 }},
	{name: "drain", draw: func(d *soak, e *Event, _ float64) {
		e.Part, e.ForS = d.upTo(0.05, 0.3), d.upTo(1, soakLongest)
	}},
	{name: "add", draw: func(d *soak, e *Event, _ float64) { e.Count = d.count(1, 4) }},
	{name: "slow", draw: func(d *soak, e *Event, long float64) {
		e.Part, e.ForS, e.Factor = d.upTo(0.05, 0.4), long, d.upTo(2, 20)
	}},
	{name: "silent", draw: partOfCaches(0.4)},
	{name: "restart", draw: partOfCaches(0.3)},
	{name: "pause", draw: partOfCaches(0.5)},
	{name: "fault:refuse", draw: connectionFault("refuse")},
	{name: "fault:reset", draw: connectionFault("reset")},
	{name: "fault:silent", draw: connectionFault("silent")},
	{name: "fault:half", draw: connectionFault("half")},
	{name: "fault:garbage", draw: connectionFault("garbage")},
	{name: "errors", draw: func(d *soak, e *Event, long float64) {
		e.Part, e.ForS, e.Share = d.upTo(0.05, 0.4), long, d.upTo(0.1, 1)
	}},
	{name: "hot", draw: func(d *soak, e *Event, long float64) {
		e.Rank, e.Share, e.ForS = d.count(0, 20), d.upTo(0.2, 0.8), long
	}},
	{name: "burst", draw: func(d *soak, e *Event, long float64) { e.ForS, e.Factor = long, d.upTo(1.2, 3) }},
	{name: "origin_slow", draw: func(d *soak, e *Event, long float64) { e.ForS, e.Factor = long, d.upTo(2, 20) },
		possible: func(s *Scenario) bool { return s.Allowed.Mode == "aside" }},
}

// SoakFaults returns the names of all faults in soak schedules.
func SoakFaults() []coverage.Fault {
	var all []coverage.Fault
	for i := range soakFaults {
		all = append(all, soakFaults[i].name)
	}
	return all
}

func partOfCaches(most float64) func(*soak, *Event, float64) {
	return func(d *soak, e *Event, long float64) { e.Part, e.ForS = d.upTo(0.05, most), long }
}

func connectionFault(kind string) func(*soak, *Event, float64) {
	return func(d *soak, e *Event, long float64) {
		e.Do, e.Fault, e.Part, e.ForS = "fault", kind, d.upTo(0.05, 0.4), long
	}
}

// drawFaults draws the faults in order of time; most last until others have begun.
func (d *soak) drawFaults() {
	for at := soakBegins; at < d.end-soakQuiet; at += d.upTo(0, 2*soakApart) {
		at = math.Round(at*100) / 100
		long := math.Round(math.Min(d.upTo(soakShortest, soakLongest), d.end-at)*100) / 100
		if long < soakShortest {
			continue
		}
		e := d.drawFault(at, long)
		d.plan.add(&e)
		d.script.Events = append(d.script.Events, e)
	}
}

// drawFault draws one of the faults that are possible at a time; faults that met fewer phases are more likely.
func (d *soak) drawFault(at, long float64) Event {
	weights := make([]float64, len(soakFaults))
	for i := range soakFaults {
		weights[i] = d.plan.weight(&soakFaults[i], at)
	}
	fault := &soakFaults[d.weighted(weights)]
	e := Event{AtS: at, Do: string(fault.name)}
	if fault.ofNode {
		nodes := make([]float64, d.script.Fleet.Nodes)
		for n := range nodes {
			nodes[n] = d.plan.nodeWeight(fault, n, at)
		}
		e.Nodes = []int{d.weighted(nodes) + 1}
	}
	if fault.draw != nil {
		fault.draw(d, &e, long)
	}
	return e
}

// weighted draws an index, each with a chance by its weight. Not all weights may be 0.
func (d *soak) weighted(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	left := d.chance.Float64() * sum
	last := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if left -= w; left < 0 {
			break
		}
	}
	return last
}
