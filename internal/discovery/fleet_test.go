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

// Bounds on the time by which an update must reach a node after discovery has it and can be reached.
const (
	updateBound = 5 * time.Second
	lateBound   = 6 * time.Second // if discovery answers late; later updates count as late
	slowBound   = 9 * time.Second // if discovery answers more slowly than a poll's first timeout
)

// slowAnswer is how long discovery takes to answer while it is slower than the first timeout of a poll.
const slowAnswer = 2500 * time.Millisecond

// fleetSizes are the numbers of nodes under test.
var fleetSizes = []int{12, 80, 300, 480}

// failureSequences returns all sequences of failing behaviours up to a length.
func failureSequences(maxLength int) (all [][]behaviour) {
	last := [][]behaviour{{}}
	for range maxLength {
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

// outage describes what happens to a fleet besides a sequence of failures.
type outage struct {
	name            string
	finally         behaviour     // behaviour of discovery once it has the update
	changesAddress  bool          // each node is given another address in between
	losesPoll       bool          // nodes that still back off lose their next poll although discovery is healthy
	fromStart       bool          // discovery fails from the start of the nodes
	hasList         bool          // nodes hold a list from before
	versionsRestart bool          // discovery restarts its versions
	window          time.Duration // how long discovery is back with the update before it fails again for seconds
	isSlow          bool          // answers take longer than the first timeout of a poll
	bound           time.Duration // time within which all nodes must be notified
	notifiedPercent int           // minimum percentage of nodes that are notified within the window
}

// simulate runs a sequence of failures. It returns how long after the update the last node was notified, and how many
// nodes were notified within the window.
func (o *outage) simulate(order []behaviour, nodes, seed int) (last time.Duration, inWindow int) {
	random, at := keyhash.Source{Seed: uint32(seed)}, time.Duration(0)
	if !o.fromStart {
		at = longPollTime + time.Duration(random.Float64()*float64(longPollTime))
	}
	phases := []phase{{healthy, 0}}
	for _, m := range order {
		if o.fromStart && len(phases) == 1 && m == late { // or nodes would get the list before the failures
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
	for _, node := range fleet.nodes {
		if !o.hasList {
			node.Poller = New(nodes)
		}
		if o.losesPoll {
			fleet.schedule(at, func() { node.losesNextPoll = node.backsOff })
		}
		if o.changesAddress {
			fleet.schedule(time.Duration(random.Float64()*float64(at)), func() { fleet.changeAddress(node) })
		}
	}
	fleet.run(recoveredAt+2*slowBound, o.fromStart)
	for _, node := range fleet.nodes {
		switch {
		case node.notifiedAt == 0:
			last = time.Hour
		case node.notifiedAt < at+o.window+2*networkDelay:
			inWindow++
		default: // the bound applies from the final recovery on
			last = max(last, node.notifiedAt-recoveredAt)
		}
		if o.window == 0 {
			last = max(last, node.notifiedAt-at)
		}
	}
	return last, inWindow
}

// Guards against updates that wait for a backoff and then for a silent long poll. With backoffs of up to 30 s after
// refusals and a timeout of 5.5 s for silent long polls, updates arrived 15.5 s and 19.9 s after discovery had them;
// they count as late after 6 s. After any failures, in any order and for any time, the poll or backoff in progress and
// the next poll together must take less than that.
func TestUpdatesArriveInTimeAfterAnyFailures(t *testing.T) {
	for _, o := range []outage{
		{name: "healthy again", hasList: true, bound: updateBound},
		{name: "late with the update", finally: late, hasList: true, bound: lateBound},
		{name: "slow with the update", finally: late, isSlow: true, hasList: true, bound: slowBound},
		{name: "another address in between", changesAddress: true, hasList: true, bound: updateBound},
		{name: "a poll lost once it is healthy", losesPoll: true, hasList: true, bound: updateBound},
		{name: "failing from the start, with an old list", fromStart: true, hasList: true, bound: updateBound},
		{name: "failing from the start, without a list", fromStart: true, bound: updateBound},
		{name: "versions restart", versionsRestart: true, hasList: true, bound: updateBound},
		{name: "recovered for a second", window: time.Second, hasList: true, bound: updateBound, notifiedPercent: 50},
	} {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			maxLength, all, notified := 3, 0, 0
			if testing.Short() {
				maxLength = 2
			}
			var table strings.Builder
			for n, order := range failureSequences(maxLength) {
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
					t.Errorf("after %v: notified %v after the update, limit %v", order, worst, o.bound)
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
			t.Log("maximum time to notification, by preceding failures" + table.String())
		})
	}
}

// Guards against backoffs that are short for the sake of updates and cause a storm of polls: while long polls broke,
// 480 nodes polled 2,368 times in a second.
func TestPollRateIsBoundedWhileDiscoveryFails(t *testing.T) {
	const from, spread, until = 10, 12, 40 // in seconds: failure starts, polls are spread, end
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

// Guards against a discovery that does not recover because polls, including those that it refuses, cost it work. After
// it was 20 times slower for some seconds, 300 and 480 nodes did not get an update within 20 s.
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
		for _, node := range fleet.nodes {
			last = max(last, node.notifiedAt-until)
			if node.notifiedAt == 0 {
				last = time.Hour
			}
		}
		after = last - max(0, fleet.refusedAt-until)
		t.Logf("%d nodes: all notified %v after discovery is no longer slow, %v after the last refusal; "+
			"%d refused, %d polls a second at most",
			nodes, last, after, fleet.refused, slices.Max(fleet.perSecond))
		if last > most || after > updateBound {
			t.Errorf("%d nodes: notified %v after discovery is no longer slow, %v after the last refusal",
				nodes, last, after)
		}
	}
}
