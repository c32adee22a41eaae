package checker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"dahliapin/policy"
)

const (
	// settleTime is the time after a fault of a node until what it says, and what is said of it, counts again.
	settleTime = 3 * time.Second
	// minGap is the least time between two faults of a node: in less no heartbeat gets through.
	minGap = 600 * time.Millisecond
)

// episode is a fault of one node: its process did not run, or it was cut off from over two fifths of the others, in one
// direction or the other.
type episode struct {
	node     int
	from, to policy.Instant
	stood    bool // its process did not run
	weak     bool // for a time it was cut off from over two fifths and not from half: whether it is removed is left open
	ended    bool // another process took its place
}

// during tells whether an instant lies within the episode.
func (e *episode) during(at policy.Instant) bool { return e.from <= at && at < e.to }

// connectivity is the state of the fleet at one instant of the search for episodes.
type connectivity struct {
	nodes    int
	runs     []bool
	replaced []bool          // the process is another than before
	cut      map[[2]int]bool // by sender and receiver
}

// transition is a change of the connectivity.
type transition struct {
	at    policy.Instant
	apply func()
}

// episodes returns all faults of nodes until an end.
func (v *Views) episodes(end policy.Instant) []episode {
	state := &connectivity{
		nodes:    v.Nodes,
		runs:     make([]bool, v.Nodes),
		replaced: make([]bool, v.Nodes),
		cut:      map[[2]int]bool{},
	}
	for n := range state.runs {
		state.runs[n] = true // before the scenario begins all are started
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
		faulty, weak := s.judge(n)
		e := open[n]
		switch {
		case faulty && e == nil:
			open[n] = &episode{node: n, from: at, stood: !s.runs[n], weak: weak}
		case faulty:
			e.stood = e.stood || !s.runs[n]
			e.weak = e.weak || weak
		case e != nil:
			e.to = at
			e.ended = e.stood && s.replaced[n]
			closed = append(closed, *e)
			open[n] = nil
		}
	}
	return closed
}

// judge tells whether a node does not run or is cut off, and whether that is open to doubt.
func (s *connectivity) judge(n int) (faulty, weak bool) {
	all := s.reach(n, func(int) bool { return true })
	running := s.reach(n, func(other int) bool { return s.runs[other] })
	cutOff := 2*all.least < all.others || 2*running.least < running.others
	impaired := 5*all.least < 3*all.others || 5*running.least < 3*running.others
	faulty = !s.runs[n] || cutOff || impaired
	weak = s.runs[n] && !cutOff
	return faulty, weak
}

// reach counts the nodes of a group, and with how many of them a node is connected in its worse direction.
type reach struct{ others, least int }

func (s *connectivity) reach(n int, in func(other int) bool) reach {
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
	return reach{others: others, least: min(sent, heard)}
}

// mergeEpisodes makes one episode of those that are one fault to others: what befalls a process before it can be in for
// the one that ended, or before a heartbeat of it got through.
func mergeEpisodes(all []episode) {
	for i := range all {
		for j := range all {
			a, b := &all[i], &all[j]
			if a.node != b.node || b.from <= a.from {
				continue
			}
			beforeRejoin := a.ended && b.from < a.to.Add(settleTime)
			if !beforeRejoin && b.from >= a.to.Add(minGap) {
				continue
			}
			b.from = a.from
			b.stood = a.stood || b.stood
			b.weak = true
			b.ended = a.ended || b.ended
			*a = *b
		}
	}
}
