package scenario

import (
	"math"

	"dahliapin/internal/emulator/coverage"
)

const soakMinFault = 0.3 // minimum duration of a fault, in seconds

// soakFault is a kind of fault in soak schedules.
type soakFault struct {
	name         coverage.Fault
	singleNode   bool // affects a single node
	changesPhase bool // changes the phase of the node, which must be serving when the fault begins
	draw         func(d *soak, e *Event, duration float64)
	possible     func(s *Scenario) bool // nil for always
}

// soakFaults lists the kinds of faults in soak schedules. The name is the action of the event, for a fault of a cache's
// connections followed by the fault.
var soakFaults = []soakFault{
	{name: "node_restart", singleNode: true, changesPhase: true},
	{name: "node_kill", singleNode: true, changesPhase: true},
	{name: termStart, singleNode: true, changesPhase: true, draw: func(d *soak, e *Event, _ float64) {
		e.LateMs = math.Round(d.between(1, 250))
	}},
	{name: upgrade, singleNode: true, changesPhase: true},
	{name: standby, singleNode: true, changesPhase: true, draw: func(d *soak, e *Event, _ float64) {
		e.ForS = d.between(1, soakMaxFault)
	}},
	{name: freeze, singleNode: true, draw: func(d *soak, e *Event, _ float64) { e.ForS = d.between(0.02, maxFreezeS) }},
	{name: reload, singleNode: true, draw: func(d *soak, e *Event, _ float64) { e.Count = d.intBetween(2, 5) }},
	{name: idleClients, singleNode: true, draw: func(d *soak, e *Event, duration float64) {
		e.Count, e.ForS = d.intBetween(100, 700), duration
	}},
	{name: stall, singleNode: true, draw: func(d *soak, e *Event, _ float64) { e.Count = d.intBetween(1, 20) }},
	{name: "discovery_down", draw: func(_ *soak, e *Event, duration float64) {
		e.ForS = duration
	}},
	{name: "discovery_slow", draw: func(d *soak, e *Event, duration float64) {
		e.ForS, e.Factor = duration, d.between(2, 50)
	},
		possible: func(s *Scenario) bool { return s.Discovery.WatchMs > 0 }},
	{name: "drain", draw: func(d *soak, e *Event, _ float64) {
		e.Part, e.ForS = d.between(0.05, 0.3), d.between(1, soakMaxFault)
	}},
	{name: "add", draw: func(d *soak, e *Event, _ float64) { e.Count = d.intBetween(1, 4) }},
	{name: "slow", draw: func(d *soak, e *Event, duration float64) {
		e.Part, e.ForS, e.Factor = d.between(0.05, 0.4), duration, d.between(2, 20)
	}},
	{name: "silent", draw: partOfCaches(0.4)},
	{name: "restart", draw: partOfCaches(0.3)},
	{name: "pause", draw: partOfCaches(0.5)},
	{name: "fault:refuse", draw: connectionFault("refuse")},
	{name: "fault:reset", draw: connectionFault("reset")},
	{name: "fault:silent", draw: connectionFault("silent")},
	{name: "fault:half", draw: connectionFault("half")},
	{name: "fault:garbage", draw: connectionFault("garbage")},
	{name: "errors", draw: func(d *soak, e *Event, duration float64) {
		e.Part, e.ForS, e.Share = d.between(0.05, 0.4), duration, d.between(0.1, 1)
	}},
	{name: "hot", draw: func(d *soak, e *Event, duration float64) {
		e.Rank, e.Share, e.ForS = d.intBetween(0, 20), d.between(0.2, 0.8), duration
	}},
	{name: "burst", draw: func(d *soak, e *Event, duration float64) { e.ForS, e.Factor = duration, d.between(1.2, 3) }},
	{name: "origin_slow", draw: func(d *soak, e *Event, duration float64) {
		e.ForS, e.Factor = duration, d.between(2, 20)
	},
		possible: func(s *Scenario) bool { return s.Allowed.Mode == "aside" }},
}

// SoakFaults returns the names of all kinds of faults in soak schedules.
func SoakFaults() []coverage.Fault {
	var all []coverage.Fault
	for i := range soakFaults {
		all = append(all, soakFaults[i].name)
	}
	return all
}

func partOfCaches(most float64) func(*soak, *Event, float64) {
	return func(d *soak, e *Event, duration float64) { e.Part, e.ForS = d.between(0.05, most), duration }
}

func connectionFault(kind string) func(*soak, *Event, float64) {
	return func(d *soak, e *Event, duration float64) {
		e.Do, e.Fault, e.Part, e.ForS = "fault", kind, d.between(0.05, 0.4), duration
	}
}

// drawFaults draws the faults in order of time. Most of them overlap with their successors.
func (d *soak) drawFaults() {
	switch d.kind {
	case lateRepeats:
		d.addLatePause()
	case coldCaches: // some caches are cold from the start
		d.addEvent(Event{AtS: soakStart, Do: "restart", Part: d.between(0.2, 0.4), ForS: soakMinFault})
	}
	for at := soakStart; at < d.end-soakQuietTime; at += d.between(0, 2*soakMeanGap) {
		at = math.Round(at*100) / 100
		duration := math.Round(math.Min(d.between(soakMinFault, soakMaxFault), d.end-at)*100) / 100
		if duration < soakMinFault {
			continue
		}
		d.addFollowUps(at)
		e := d.drawFault(at, duration)
		d.addEvent(e)
	}
	d.addFollowUps(d.end)
}

// addLatePause adds a pause of caches that ends by their restart, by which attempts fail that have waited since the
// pause began. The window of their idempotency keys has ended by then, and their deadlines have not passed.
func (d *soak) addLatePause() {
	pause := Event{AtS: soakStart, Do: "pause", Part: d.between(0.3, 0.5), ForS: d.between(1.2, 1.7)}
	d.addEvent(pause)
	restart := Event{AtS: soakStart + pause.ForS, Do: "restart", Part: pause.Part, ForS: soakMinFault}
	d.followUps = append(d.followUps, restart)
}

// addFollowUps adds the follow-ups that are due by a time. They are in order of time.
func (d *soak) addFollowUps(until float64) {
	for len(d.followUps) > 0 && d.followUps[0].AtS <= until {
		d.addEvent(d.followUps[0])
		d.followUps = d.followUps[1:]
	}
}

// addEvent adds an event to the schedule. Events must be added in order of time.
func (d *soak) addEvent(e Event) {
	d.plan.add(&e)
	d.scenario.Events = append(d.scenario.Events, e)
}

// drawFault draws one of the faults that are possible at a time. A fault is more likely the less often it has coincided
// with the current phases of nodes.
func (d *soak) drawFault(at, duration float64) Event {
	weights := make([]float64, len(soakFaults))
	for i := range soakFaults {
		weights[i] = d.plan.weight(&soakFaults[i], at)
	}
	fault := &soakFaults[d.weighted(weights)]
	e := Event{AtS: at, Do: string(fault.name)}
	if fault.singleNode {
		nodes := make([]float64, d.scenario.Fleet.Nodes)
		for n := range nodes {
			nodes[n] = d.plan.nodeWeight(fault, n, at)
		}
		e.Nodes = []int{d.weighted(nodes) + 1}
	}
	if fault.draw != nil {
		fault.draw(d, &e, duration)
	}
	return e
}

// weighted draws an index with a probability proportional to its weight. At least one weight must be positive.
func (d *soak) weighted(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	left := d.random.Float64() * sum
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
