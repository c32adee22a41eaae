package checker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dahliapin/policy"
)

const (
	// settleTime is the time after a node's fault until its own view, and other nodes' views of it, are checked again.
	settleTime = 3 * time.Second
	// minGap is the minimum time between two separate faults of a node: in a shorter gap no heartbeat arrives.
	minGap = 600 * time.Millisecond
)

// episode is a fault of one node: its process did not run, or it was cut off from more than two fifths of the others in
// at least one direction.
type episode struct {
	node     int
	from, to policy.Instant
	stopped  bool // its process did not run for at least a part of the episode
	weak     bool // at times cut off from more than two fifths but at most half, so that removal is optional
	replaced bool // its process was replaced by a new one
}

// during reports whether the episode includes an instant.
func (e *episode) during(at policy.Instant) bool { return e.from <= at && at < e.to }

// connectivity is the state of nodes and links at one instant while episodes are derived.
type connectivity struct {
	nodes    int
	runs     []bool
	replaced []bool          // by node: its current process has replaced an earlier one
	cut      map[[2]int]bool // by sender and receiver
}

// transition is a change of the connectivity.
type transition struct {
	at    policy.Instant
	apply func()
}

// episodes returns all faults of nodes up to an instant.
func (v *Views) episodes(end policy.Instant) []episode {
	state := &connectivity{
		nodes:    v.Nodes,
		runs:     make([]bool, v.Nodes),
		replaced: make([]bool, v.Nodes),
		cut:      map[[2]int]bool{},
	}
	for n := range state.runs {
		state.runs[n] = true // all nodes are started before the scenario begins
	}
	transitions := v.transitions(state)
	open := make([]*episode, v.Nodes)
	var all []episode
	for i, t := range transitions {
		t.apply()
		if i+1 < len(transitions) && transitions[i+1].at <= t.at {
			continue
		}
		all = append(all, state.advance(t.at, open)...)
	}
	for _, e := range open {
		if e != nil {
			e.to = end
			all = append(all, *e)
		}
	}
	mergeEpisodes(all)
	return all
}

// transitions returns the recorded changes in order of time.
func (v *Views) transitions(state *connectivity) []transition {
	var all []transition
	for _, t := range v.ProcessChanges {
		number, err := strconv.Atoi(t.Node[1:])
		if err != nil || t.At < 0 || number > v.Nodes {
			continue
		}
		all = append(all, transition{at: t.At, apply: func() {
			state.runs[number-1] = t.Runs
			state.replaced[number-1] = t.New
		}})
	}
	for _, c := range v.cuts {
		all = append(all, transition{at: c.at, apply: func() { state.cut[[2]int{c.from, c.to}] = c.on }})
	}
	slices.SortStableFunc(all, func(a, b transition) int { return cmp.Compare(a.at, b.at) })
	return all
}

// advance opens, updates and closes the episodes of all nodes at an instant, and returns those that were closed.
func (s *connectivity) advance(at policy.Instant, open []*episode) []episode {
	var closed []episode
	for n := range s.nodes {
		faulty, weak := s.faultState(n)
		e := open[n]
		switch {
		case faulty && e == nil:
			open[n] = &episode{node: n, from: at, stopped: !s.runs[n], weak: weak}
		case faulty:
			e.stopped = e.stopped || !s.runs[n]
			e.weak = e.weak || weak
		case e != nil:
			e.to = at
			e.replaced = e.stopped && s.replaced[n]
			closed = append(closed, *e)
			open[n] = nil
		}
	}
	return closed
}

// faultState reports whether a node is faulty, which is that it is not running or cut off, and whether the cut is too
// weak to require its removal.
func (s *connectivity) faultState(n int) (faulty, weak bool) {
	all := s.reach(n, func(int) bool { return true })
	running := s.reach(n, func(other int) bool { return s.runs[other] })
	cutOff := 2*all.connected < all.others || 2*running.connected < running.others
	impaired := 5*all.connected < 3*all.others || 5*running.connected < 3*running.others
	faulty = !s.runs[n] || cutOff || impaired
	weak = s.runs[n] && !cutOff
	return faulty, weak
}

// reachability counts the other nodes of a group, and how many of them a node can reach in the direction in which it
// reaches fewer.
type reachability struct{ others, connected int }

// reach counts the nodes that in selects.
func (s *connectivity) reach(n int, in func(other int) bool) reachability {
	others, sent, heard := 0, 0, 0
	for other := range s.nodes {
		if other == n || !in(other) {
			continue
		}
		others++
		if !s.cut[[2]int{n, other}] {
			sent++
		}
		if !s.cut[[2]int{other, n}] {
			heard++
		}
	}
	return reachability{others: others, connected: min(sent, heard)}
}

// mergeEpisodes merges episodes of a node that other nodes perceive as one fault: the second one begins before a
// heartbeat has arrived, or affects a new process before it can replace the old one as a member.
func mergeEpisodes(all []episode) {
	for i := range all {
		for j := range all {
			a, b := &all[i], &all[j]
			if a.node != b.node || b.from <= a.from {
				continue
			}
			beforeRejoin := a.replaced && b.from < a.to.Add(settleTime)
			if !beforeRejoin && b.from >= a.to.Add(minGap) {
				continue
			}
			b.from = a.from
			b.stopped = a.stopped || b.stopped
			b.weak = true
			b.replaced = a.replaced || b.replaced
			*a = *b
		}
	}
}
