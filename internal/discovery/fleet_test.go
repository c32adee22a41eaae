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

// simulate runs a sequence of failures with so many nodes. It returns how long after the update the last node was
// notified, and how many nodes were within the window.
func (o *outage) simulate(order []behaviour, nodes, seed int) (last time.Duration, inWindow int) {
	random, at := keyhash.Source{Seed: uint32(seed)}, time.Duration(0)
	if !o.fromStart {
		at = longPollTime + time.Duration(random.Float64()*float64(longPollTime))
	}
	phases := []phase{{healthy, 0}}
	for _, m := range order {
		if o.fromStart && len(phases) == 1 && m == late { // or the list would be had before all else
			m = silent
		}
		phases = append(phases, phase{m, at})
		at += 20*time.Millisecond + time.Duration(random.Float64()*random.Float64()*float64(12*time.Second))
	}
	phases = append(phases, phase{o.finally, at})
	recoveredAt := at
	if o.window > 0 {
		recoveredAt += o.window + time.Duration((1+4*random.Float64())*float64(time.Second))
		phases = append(phases, phase{order[len(order)-1], at + o.window}, phase{o.finally, recoveredAt})
	}
	fleet := newSimFleet(nodes, seed, phases, at)
	if o.isSlow {
		fleet.lateAnswer = slowAnswer
	}
	if o.versionsRestart {
		fleet.newVersion = 3
	}
	for _, a := range fleet.nodes {
		if !o.hasList {
			a.Poller = New(nodes)
		}
		if o.losesPoll {
			fleet.schedule(at, func() { a.losesNextPoll = a.backsOff })
		}
		if o.changesAddress {
			fleet.schedule(time.Duration(random.Float64()*float64(at)), func() { fleet.changeAddress(a) })
		}
	}
	fleet.run(recoveredAt+2*slowBound, o.fromStart)
	for _, a := range fleet.nodes {
		switch {
		case a.notifiedAt == 0:
			last = time.Hour
		case a.notifiedAt < at+o.window+2*networkDelay:
			inWindow++
		default: // the time begins again
			last = max(last, a.notifiedAt-recoveredAt)
		}
		if o.window == 0 {
			last = max(last, a.notifiedAt-at)
		}
	}
	return last, inWindow
}

// After refusals a node backed off for up to 30 s, and the long poll that it made then took 5.5 s to be known as
// silent: updates came 15.5 and 19.9 s after discovery had them, where they count as late after 6 s. Whatever failed
// before, in whatever order and for how long, the sum of what is under way and of the next poll is to be less than
// that.
func TestUpdatesArriveInTimeAfterAnyFailures(t *testing.T) {
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
			most, all, notified := 3, 0, 0
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
					last, inWindow := o.simulate(order, nodes, seed)
					worst, all, notified = max(worst, last), all+nodes, notified+inWindow
				}
				if worst > o.bound {
					t.Errorf("after %v, notified %v after discovery had it: over %v", order, worst, o.bound)
				}
				if len(order) < 3 {
					fmt.Fprintf(&table, "\n%-17v %.2f s", order, worst.Seconds())
				}
			}
			if o.window > 0 {
				fmt.Fprintf(&table, "\n%d of %d nodes notified within %v", notified, all, o.window)
				if notified*100 < all*o.notifiedPercent {
					t.Errorf("%d of %d nodes notified within %v", notified, all, o.window)
				}
			}
			t.Log("notified at the latest, by what failed before" + table.String())
		})
	}
}

// Backoffs that are short for the sake of updates must not become a storm. While long polls broke, 480 nodes polled
// 2,368 times in a second.
func TestPollRateIsBoundedWhileDiscoveryFails(t *testing.T) {
	const from, spread, until = 10, 12, 40 // seconds: when it begins to fail, when the nodes are spread, and the end
	var table strings.Builder
	for _, m := range []behaviour{late, silent, refusing, resetting, truncating} {
		for _, nodes := range fleetSizes {
			fleet := newSimFleet(nodes, nodes, []phase{{healthy, 0}, {m, from * time.Second}}, time.Hour)
			fleet.run(until*time.Second, false)
			first, later, all := slices.Max(fleet.perSecond[from:spread]), slices.Max(fleet.perSecond[spread:until]), 0
			for _, n := range fleet.perSecond[spread:until] {
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
func TestSlowDiscoveryRecoversUnderFleetLoad(t *testing.T) {
	longest := map[int]time.Duration{
		12:  time.Second,
		80:  time.Second,
		300: 8 * time.Second,
		480: 15 * time.Second,
	}
	for nodes, most := range longest {
		const from, until = 10 * time.Second, 16 * time.Second
		fleet := newSimFleet(nodes, nodes, []phase{{healthy, 0}}, until)
		fleet.registry = &world.Registry{
			CompleteWork: 20 * time.Millisecond,
			UpdateWork:   2 * time.Millisecond,
			Backlog:      300 * time.Millisecond,
		}
		fleet.slowPeriod = [2]time.Duration{from, until}
		fleet.run(until+20*time.Second, false)
		last, after := time.Duration(0), time.Duration(0)
		for _, a := range fleet.nodes {
			last = max(last, a.notifiedAt-until)
			if a.notifiedAt == 0 {
				last = time.Hour
			}
		}
		after = last - max(0, fleet.refusedAt-until)
		t.Logf("%d nodes: all notified %v after it is as quick as ever, %v after the last refusal; "+
			"%d refused, %d polls a second at most",
			nodes, last, after, fleet.refused, slices.Max(fleet.perSecond))
		if last > most || after > updateBound {
			t.Errorf("%d nodes: notified %v after it is as quick as ever, %v after the last refusal",
				nodes, last, after)
		}
	}
}
