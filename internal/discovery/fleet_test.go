package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/emulator/world"
	"dahliapin/internal/keyhash"
)

// updateBound is the time by which an update is to reach a node after discovery had it and could be reached. It counts
// as late a second after that. Where discovery is late or slow with the update itself, the node may take longer.
const (
	updateBound = 5 * time.Second
	lateBound   = 6 * time.Second
	slowBound   = 9 * time.Second
)

// slowAnswer is how long a discovery takes that is slower than polls may take at first.
const slowAnswer = 2500 * time.Millisecond

// fleetSizes are the numbers of nodes that are tried.
var fleetSizes = []int{12, 80, 300, 480}

// failureSequences returns all sequences of so many behaviours that fail, at most.
func failureSequences(most int) (all [][]behaviour) {
	last := [][]behaviour{{}}
	for range most {
		var next [][]behaviour
		for _, o := range last {
			for _, m := range []behaviour{late, silent, refusing, resetting, truncating} {
				next = append(next, append(slices.Clone(o), m))
			}
		}
		last = next
		all = append(all, next...)
	}
	return all
}

// outage is what a fleet meets beside a sequence of failures.
type outage struct {
	name            string
	finally         behaviour     // how discovery behaves once it has the update
	changesAddress  bool          // each node is given another address in between
	losesPoll       bool          // a poll is lost though discovery is healthy, for nodes that still backed off
	fromStart       bool          // discovery fails from the nodes' start
	hasList         bool          // nodes hold a list from before
	versionsRestart bool          // discovery counts its versions anew
	window          time.Duration // for how long discovery is back, with the update; then it fails again for seconds
	isSlow          bool          // discovery takes longer than polls may at first
	bound           time.Duration // time within which all nodes are to be notified
	notifiedPercent int           // least share of nodes that are notified within the window
}

// play runs a sequence of failures with so many nodes. It returns how long after the update the last node was
// notified, and how many nodes were within the window.
func (o *outage) play(order []behaviour, nodes, seed int) (last time.Duration, inMoment int) {
	draw, at := keyhash.Source{Seed: uint32(seed)}, time.Duration(0)
	if !o.fromStart {
		at = longPollTime + time.Duration(draw.Float64()*float64(longPollTime))
	}
	phases := []phase{{healthy, 0}}
	for _, m := range order {
		if o.fromStart && len(phases) == 1 && m == late { // or the list would be had before all else
			m = silent
		}
		phases = append(phases, phase{m, at})
		at += 20*time.Millisecond + time.Duration(draw.Float64()*draw.Float64()*float64(12*time.Second))
	}
	phases = append(phases, phase{o.finally, at})
	forGood := at
	if o.window > 0 {
		forGood += o.window + time.Duration((1+4*draw.Float64())*float64(time.Second))
		phases = append(phases, phase{order[len(order)-1], at + o.window}, phase{o.finally, forGood})
	}
	r := newSimFleet(nodes, seed, phases, at)
	if o.isSlow {
		r.lateAnswer = slowAnswer
	}
	if o.versionsRestart {
		r.newVersion = 3
	}
	for _, a := range r.nodes {
		if !o.hasList {
			a.Poller = New(nodes)
		}
		if o.losesPoll {
			r.schedule(at, func() { a.losesNextPoll = a.backsOff })
		}
		if o.changesAddress {
			r.schedule(time.Duration(draw.Float64()*float64(at)), func() { r.changeAddress(a) })
		}
	}
	r.run(forGood+2*slowBound, o.fromStart)
	for _, a := range r.nodes {
		switch {
		case a.notifiedAt == 0:
			last = time.Hour
		case a.notifiedAt < at+o.window+2*networkDelay:
			inMoment++
		default: // the time begins again
			last = max(last, a.notifiedAt-forGood)
		}
		if o.window == 0 {
			last = max(last, a.notifiedAt-at)
		}
	}
	return last, inMoment
}

// After refusals a node backed off for up to 30 s, and the long poll that it made then took 5.5 s to be known as
// silent: updates came 15.5 and 19.9 s after discovery had them, where they count as late after 6 s. Whatever failed
// before, in whatever order and for how long, the sum of what is under way and of the next poll is to be less than
// that.
func TestUpdatesArriveInTimeWhateverFailedBefore(t *testing.T) {
	for _, o := range []outage{
		{name: "healthy again", hasList: true, bound: updateBound},
		{name: "late with the update", finally: late, hasList: true, bound: lateBound},
		{name: "slow with the update", finally: late, isSlow: true, hasList: true, bound: slowBound},
		{name: "another address in between", changesAddress: true, hasList: true, bound: updateBound},
		{name: "a poll lost once it is healthy", losesPoll: true, hasList: true, bound: updateBound},
		{name: "from the start, with a last list", fromStart: true, hasList: true, bound: updateBound},
		{name: "from the start, without", fromStart: true, bound: updateBound},
		{name: "versions begin anew", versionsRestart: true, hasList: true, bound: updateBound},
		{name: "back for a second", window: time.Second, hasList: true, bound: updateBound, notifiedPercent: 50},
	} {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			most, all, heard := 3, 0, 0
			if testing.Short() {
				most = 2
			}
			var table strings.Builder
			for n, order := range failureSequences(most) {
				seeds := 1
				if len(order) < 3 {
					seeds = len(fleetSizes)
				}
				worst := time.Duration(0)
				for seed := n; seed < n+seeds; seed++ {
					nodes := fleetSizes[seed%len(fleetSizes)]
					last, inMoment := o.play(order, nodes, seed)
					worst, all, heard = max(worst, last), all+nodes, heard+inMoment
				}
				if worst > o.bound {
					t.Errorf("after %v, notified %v after discovery had it: over %v", order, worst, o.bound)
				}
				if len(order) < 3 {
					fmt.Fprintf(&table, "\n%-17v %.2f s", order, worst.Seconds())
				}
			}
			if o.window > 0 {
				fmt.Fprintf(&table, "\n%d of %d nodes notified within %v", heard, all, o.window)
				if heard*100 < all*o.notifiedPercent {
					t.Errorf("%d of %d nodes notified within %v", heard, all, o.window)
				}
			}
			t.Log("notified at the latest, by what failed before" + table.String())
		})
	}
}

// Backoffs that are short for the sake of updates must not become a storm. While long polls broke, 480 nodes polled
// 2,368 times in a second.
func TestPollsAreFewWhileDiscoveryFails(t *testing.T) {
	const from, spread, until = 10, 12, 40 // seconds: when it begins to fail, when the nodes are spread, and the end
	var table strings.Builder
	for _, m := range []behaviour{late, silent, refusing, resetting, truncating} {
		for _, nodes := range fleetSizes {
			r := newSimFleet(nodes, nodes, []phase{{healthy, 0}, {m, from * time.Second}}, time.Hour)
			r.run(until*time.Second, false)
			first, later, all := slices.Max(r.perSecond[from:spread]), slices.Max(r.perSecond[spread:until]), 0
			for _, n := range r.perSecond[spread:until] {
				all += n
			}
			fmt.Fprintf(&table, "\n%-8v %3d nodes: %4d polls a second at first, then %3d at most and %3d on average",
				m, nodes, first, later, all/(until-spread))
			if first > 2*nodes+100 || later > nodes*3/4+30 {
				t.Errorf("%v: %d nodes poll %d times in a second at first and %d later", m, nodes, first, later)
			}
		}
	}
	t.Log(table.String())
}

// Polls cost discovery work, and refusals too. One that was 20 times slower for some seconds must recover under the
// polls of all nodes, and give all of them the update; 300 nodes and 480 did not get it within 20 s.
func TestSlowDiscoveryRecoversUnderThePollsOfAll(t *testing.T) {
	longest := map[int]time.Duration{
		12:  time.Second,
		80:  time.Second,
		300: 8 * time.Second,
		480: 15 * time.Second,
	}
	for nodes, most := range longest {
		const from, until = 10 * time.Second, 16 * time.Second
		r := newSimFleet(nodes, nodes, []phase{{healthy, 0}}, until)
		r.registry = &world.Registry{
			CompleteWork: 20 * time.Millisecond,
			UpdateWork:   2 * time.Millisecond,
			Backlog:      300 * time.Millisecond,
		}
		r.slowPeriod = [2]time.Duration{from, until}
		r.run(until+20*time.Second, false)
		last, after := time.Duration(0), time.Duration(0)
		for _, a := range r.nodes {
			last = max(last, a.notifiedAt-until)
			if a.notifiedAt == 0 {
				last = time.Hour
			}
		}
		after = last - max(0, r.refusedAt-until)
		t.Logf("%d nodes: all notified %v after it is as quick as ever, %v after the last refusal; "+
			"%d refused, %d polls a second at most",
			nodes, last, after, r.refused, slices.Max(r.perSecond))
		if last > most || after > updateBound {
			t.Errorf("%d nodes: notified %v after it is as quick as ever, %v after the last refusal",
				nodes, last, after)
		}
	}
}
