package simulation

import (
	"fmt"
	"testing"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

// runFleet runs a rehearsal with another number of nodes and another seed.
func runFleet(t *testing.T, rehearsal string, nodes int, seed int64) (*report.Report, *Simulation) {
	t.Helper()
	s := loadRehearsal(t, rehearsal)
	s.Fleet.Nodes = nodes
	s.Seed = seed
	r, run, err := Run(s, "module", Module)
	if err != nil {
		t.Fatal(err)
	}
	return r, run
}

// Each node may send a minimum to the origin and to a cold cache whatever its share of their capacity is. These
// minimums add up over the fleet, while the capacity does not grow. With 480 nodes and empty caches, 10,402 requests
// reached an origin that can serve 267 per second within the first second.
func TestOriginLoadOfAllNodesStaysInBoundsFromAnEmptyStart(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	for nodes, minBenefit := range map[int]float64{24: 0.40, 120: 0.30, 480: 0.29} {
		for seed := range int64(2) {
			t.Run(fmt.Sprint(nodes, " nodes, seed ", seed), func(t *testing.T) {
				t.Parallel()
				r, _ := runFleet(t, "empty-start", nodes, seed+1)
				summary := fmt.Sprintf("breaches %v, %d requests in the worst second, benefit in time %.3f", r.Rules,
					r.MaxOriginAttempts, r.BenefitInTime)
				t.Log(summary)
				if r.Rules != [4]uint64{} || r.MaxOriginAttempts > 800 || r.BenefitInTime < minBenefit {
					t.Error(summary)
				}
			})
		}
	}
}

// A node that does not know a cache's steady rate may send a minimum to it while the cache is cold. The sum over all
// nodes must not overload the cache: neither when caches that have just started serve a key with half of the traffic to
// nodes that receive too few requests to learn the rate, nor when nine in ten nodes restart during a recovery ramp.
func TestLoadOfAllNodesOnAColdCacheStaysInBounds(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	hotKey := scenario.Event{AtS: 3.9, Do: "hot", Share: 0.5, ForS: 10}
	nodesRestart := scenario.Event{AtS: 4.5, Do: "node_kill", Part: 0.9, ForS: 0.3}
	for name, c := range map[string]struct {
		nodes       int
		event       scenario.Event
		maxColdLoad float64 // share of the load at which a cold cache fails
		minBenefit  float64 // share of the benefit that is served in time
	}{
		"24 nodes, hot key":        {nodes: 24, event: hotKey, maxColdLoad: 0.5, minBenefit: 0.45},
		"480 nodes, hot key":       {nodes: 480, event: hotKey, maxColdLoad: 0.5, minBenefit: 0.7},
		"480 nodes, nodes restart": {nodes: 480, event: nodesRestart, maxColdLoad: 0.5, minBenefit: 0.62},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := loadRehearsal(t, "ramp")
			s.Fleet.Nodes = c.nodes
			s.Events = append(s.Events, c.event)
			r, run, err := Run(s, "module", Module)
			if err != nil {
				t.Fatal(err)
			}
			coldLoad := run.world.MaxColdLoad
			summary := fmt.Sprintf("breaches %v, %.2f of the load at which a cold cache fails, benefit in time %.3f",
				r.Rules, coldLoad, r.BenefitInTime)
			t.Log(summary)
			if r.Rules != [4]uint64{} || coldLoad > c.maxColdLoad || coldLoad == 0 || r.BenefitInTime < c.minBenefit {
				t.Error(summary)
			}
		})
	}
}

// nodeNumbers returns the numbers of the nodes from one to another, both included.
func nodeNumbers(from, to int) []int {
	var all []int
	for n := from; n <= to; n++ {
		all = append(all, n)
	}
	return all
}

// addUnconfiguredNodes changes a scenario so that, from an instant on, more nodes run than the settings state: a
// quarter more, which stay, or in an upgrade a second process of each node, with the first one ending three seconds
// later. Traffic is uneven between nodes, clients retry at once and often, three caches become silent and are probed,
// and in the middle half of all nodes are killed and restart.
func addUnconfiguredNodes(s *scenario.Scenario, stated int, upgrade bool, from float64) {
	s.Fleet.Stated = stated
	s.Fleet.Nodes = stated + stated/4
	if upgrade {
		s.Fleet.Nodes = 2 * stated
		end := scenario.Event{AtS: from + 3, Do: "node_restart", Nodes: nodeNumbers(1, stated), ForS: s.Seconds}
		s.Events = append(s.Events, end)
	}
	s.Events = append(s.Events,
		scenario.Event{Do: "node_kill", Nodes: nodeNumbers(stated+1, s.Fleet.Nodes), ForS: from},
		scenario.Event{AtS: from + 0.5, Do: "silent", Caches: []string{"c3", "c9", "c17"}},
		scenario.Event{AtS: from + 1.5, Do: "node_kill", Part: 0.5, ForS: 0.4})
	s.Traffic.Skew = 0.6
	s.Allowed.RetryAfterMs = 0
	for i := range s.Classes {
		s.Classes[i].Tries = 4
	}
}

// A node's share of the origin's and of a cold cache's capacity depends on the number of nodes in the settings, and an
// upgrade runs twice as many for some seconds. What each node sent by itself after a rejection by the origin added up:
// with 120 and 480 configured nodes and as many more, 987 and 998 requests in the worst second reached an origin that
// can serve 267, for longer than it withstands.
func TestMoreNodesThanConfiguredStayWithinFleetLimits(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	for _, c := range []struct {
		rehearsal     string
		stated        int
		upgrade       bool
		maxOriginLoad int     // requests at the origin in the worst second
		maxColdLoad   float64 // share of the load at which a cold cache fails
		minBenefit    float64 // share of the benefit that is served in time
	}{
		{rehearsal: "empty-start", stated: 24, upgrade: true, maxOriginLoad: 400, maxColdLoad: 0, minBenefit: 0.22},
		{rehearsal: "empty-start", stated: 120, upgrade: false, maxOriginLoad: 700, maxColdLoad: 0, minBenefit: 0.13},
		{rehearsal: "empty-start", stated: 120, upgrade: true, maxOriginLoad: 850, maxColdLoad: 0, minBenefit: 0.13},
		{rehearsal: "empty-start", stated: 480, upgrade: false, maxOriginLoad: 900, maxColdLoad: 0, minBenefit: 0.13},
		{rehearsal: "empty-start", stated: 480, upgrade: true, maxOriginLoad: 1000, maxColdLoad: 0, minBenefit: 0.13},
		{rehearsal: "ramp", stated: 24, upgrade: true, maxOriginLoad: 500, maxColdLoad: 0.8, minBenefit: 0.7},
		{rehearsal: "ramp", stated: 120, upgrade: true, maxOriginLoad: 500, maxColdLoad: 0.8, minBenefit: 0.7},
		{rehearsal: "ramp", stated: 480, upgrade: false, maxOriginLoad: 500, maxColdLoad: 0.8, minBenefit: 0.7},
		{rehearsal: "ramp", stated: 480, upgrade: true, maxOriginLoad: 500, maxColdLoad: 0.8, minBenefit: 0.7},
	} {
		name := fmt.Sprint(c.rehearsal, " ", c.stated, " and a quarter")
		if c.upgrade {
			name = fmt.Sprint(c.rehearsal, " ", c.stated, " upgraded")
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := loadRehearsal(t, c.rehearsal)
			from := 0.7
			if s.Fleet.Warm {
				s.Seconds = 10
				from = 4.5
				s.Events = append(s.Events, scenario.Event{AtS: 3.9, Do: "hot", Share: 0.5, ForS: 10})
			} else {
				s.Seconds = 4
				s.Traffic.PerSecond = 4000
			}
			addUnconfiguredNodes(s, c.stated, c.upgrade, from)
			r, run, err := Run(s, "module", Module)
			if err != nil {
				t.Fatal(err)
			}
			coldLoad := run.world.MaxColdLoad
			probes := r.MaxPerSecond("probes")
			t.Logf("breaches %v, %d requests in the origin's worst second, %.2f of the load at which a cold cache "+
				"fails, benefit in time %.3f, at most %d probes per second",
				r.Rules, r.MaxOriginAttempts, coldLoad, r.BenefitInTime, probes)
			inBounds := r.MaxOriginAttempts <= c.maxOriginLoad && coldLoad <= c.maxColdLoad &&
				r.BenefitInTime >= c.minBenefit
			if r.Rules != [4]uint64{} || !inBounds || probes == 0 {
				t.Errorf("out of bounds, see the log above; breaches %v", r.Breaches)
			}
		})
	}
}
