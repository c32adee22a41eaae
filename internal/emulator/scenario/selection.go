package scenario

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"dahliapin/internal/keyhash"
	"dahliapin/policy"
)

// SelectedCaches returns the caches that an event affects. Caches that are selected by Part are ordered by the hashes
// of their names.
func (s *Scenario) SelectedCaches(e *Event) (ids []policy.EndpointID) {
	for _, name := range e.Caches {
		ids = append(ids, policy.EndpointID(name))
	}
	if e.Zone == "" && (e.Part == 0 || fieldsByAction[e.Do].nodes) {
		return ids
	}
	for n := range s.Fleet.Caches {
		if c := s.Cache(n + 1); e.Zone == "" || c.Zone == policy.ZoneID(e.Zone) {
			ids = append(ids, c.ID)
		}
	}
	if e.Zone == "" {
		ids = selectShare(ids, e.Part, int(s.Seed), func(id policy.EndpointID) string { return string(id) })
	}
	return ids
}

// SelectedNodes returns the numbers, from 1, of the nodes that an event affects.
func (s *Scenario) SelectedNodes(e *Event) []int {
	if !fieldsByAction[e.Do].nodes || e.Part == 0 {
		return e.Nodes
	}
	numbers := make([]int, s.Fleet.Nodes)
	for n := range numbers {
		numbers[n] = n + 1
	}
	return selectShare(numbers, e.Part, int(s.Seed), func(n int) string { return "n" + strconv.Itoa(n) })
}

// selectShare selects a share of the items, at least one, by the hashes of their names. It sorts all in place.
func selectShare[T any](all []T, share float64, seed int, name func(T) string) []T {
	score := func(one T) uint64 { return keyhash.Salted(keyhash.String(name(one)), seed) }
	slices.SortFunc(all, func(a, b T) int { return cmp.Compare(score(a), score(b)) })
	return all[:max(1, int(math.Round(share*float64(len(all)))))]
}

// Repeat repeats the sequence of events until the end of the scenario, up to the maximum number of events.
func (s *Scenario) Repeat() {
	round := 0.0
	for _, e := range s.Events {
		round = max(round, e.AtS+e.ForS)
	}
	const gap = 6 // seconds without events between two repetitions
	round = math.Ceil(round) + gap
	events := s.Events
	s.Events = nil
	for from := 0.0; from < s.Seconds; from += round {
		for _, e := range events {
			e.AtS += from
			if e.AtS < s.Seconds && len(s.Events) < maxEvents {
				s.Events = append(s.Events, e)
			}
		}
	}
}
