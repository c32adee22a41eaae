package simulation

import (
	"fmt"
	"testing"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

// playFleet plays a rehearsal with another number of nodes and another seed.
func playFleet(t *testing.T, script string, nodes int, seed int64) (*report.Report, *Simulation) {
	t.Helper()
	s := loadRehearsal(t, script)
	s.Fleet.Nodes = nodes
	s.Seed = seed
	r, run, err := Run(s, "module", Module)
	if err != nil {
		t.Fatal(err)
	}
	return r, run
}

// Each node may send a minimum by itself, and these minimums add up over a fleet while the capacity of the origin and
// of a cold cache does not grow. With 480 nodes, 10,402 requests reached an origin that can serve 267 a second in the
// first second from an empty start.
func TestOriginLoadOfAllNodesStaysInBoundsFromAnEmptyStart(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for nodes, gain := range map[int]float64{24: 0.40, 120: 0.30, 480: 0.29} {
		for seed := range int64(2) {
			t.Run(fmt.Sprint(nodes, " nodes, seed ", seed), func(t *testing.T) {
				t.Parallel()
				r, _ := playFleet(t, "empty-start", nodes, seed+1)
				summary := fmt.Sprintf("breaches %v, %d requests in the worst second, benefit in time %.3f", r.Rules,
					r.MaxOriginAttempts, r.BenefitInTime)
				t.Log(summary)
				if r.Rules != [4]uint64{} || r.MaxOriginAttempts > 800 || r.BenefitInTime < gain {
					t.Error(summary)
				}
			})
		}
	}
}

// A key with half of the traffic is served by caches that have just started, from nodes that see too little to know a
// cache's steady rate; and nine in ten nodes start anew in the middle of a recovery ramp. What each node may then
// send by itself adds up, and the sum must not overload the caches.
func TestLoadOfAllNodesOnAColdCacheStaysInBounds(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	hotKey := scenario.Event{AtS: 3.9, Do: "hot", Share: 0.5, ForS: 10}
	nodesRestart := scenario.Event{AtS: 4.5, Do: "node_kill", Part: 0.9, ForS: 0.3}
	for name, c := range map[string]struct {
		nodes     int
		event     scenario.Event
		maxRamped float64 // share of the load at which a cold cache falls over
		minGain   float64 // share of the benefit that is served in time
	}{
		"24 nodes, hot key":        {nodes: 24, event: hotKey, maxRamped: 0.5, minGain: 0.45},
		"480 nodes, hot key":       {nodes: 480, event: hotKey, maxRamped: 0.5, minGain: 0.7},
		"480 nodes, nodes restart": {nodes: 480, event: nodesRestart, maxRamped: 0.5, minGain: 0.62},
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
			ramped := run.world.MaxColdLoad
			summary := fmt.Sprintf("breaches %v, %.2f of the load that a cold cache withstands, benefit in time %.3f",
				r.Rules, ramped, r.BenefitInTime)
			t.Log(summary)
			if r.Rules != [4]uint64{} || ramped > c.maxRamped || ramped == 0 || r.BenefitInTime < c.minGain {
				t.Error(summary)
			}
		})
	}
}

// nodeNumbers are the numbers of the nodes from one to another, both included.
func nodeNumbers(from, to int) []int {
	var all []int
	for n := from; n <= to; n++ {
		all = append(all, n)
	}
	return all
}

// runMoreNodesThanConfigured runs more nodes than the settings state from an instant on: a quarter more, which stay,
// or in an upgrade a second process of each node, where the first ends three seconds later. Traffic is uneven between
// nodes, clients retry at once and often, three caches fall silent and are probed, and in the middle half of all
// nodes are killed and start anew.
func runMoreNodesThanConfigured(s *scenario.Scenario, stated int, upgrade bool, from float64) {
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

// Shares of the origin and of cold caches are divided by the number of nodes in the settings, and an upgrade doubles
// that number for some seconds. What each node sent by itself after a rejection by the origin added up: with 120 and
// 480 nodes configured and as many more, 987 and 998 requests in the worst second reached an origin that can serve
// 267, for longer than it withstands.
func TestMoreNodesThanConfiguredStayWithinFleetLimits(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for _, c := range []struct {
		rehearsal string
		stated    int
		upgrade   bool
		maxOrigin int     // requests at the origin in the worst second
		maxRamped float64 // share of the load at which a cold cache falls over
		minGain   float64 // share of the benefit that is served in time
	}{
		{rehearsal: "empty-start", stated: 24, upgrade: true, maxOrigin: 400, maxRamped: 0, minGain: 0.22},
		{rehearsal: "empty-start", stated: 120, upgrade: false, maxOrigin: 700, maxRamped: 0, minGain: 0.13},
		{rehearsal: "empty-start", stated: 120, upgrade: true, maxOrigin: 850, maxRamped: 0, minGain: 0.13},
		{rehearsal: "empty-start", stated: 480, upgrade: false, maxOrigin: 900, maxRamped: 0, minGain: 0.13},
		{rehearsal: "empty-start", stated: 480, upgrade: true, maxOrigin: 1000, maxRamped: 0, minGain: 0.13},
		{rehearsal: "ramp", stated: 24, upgrade: true, maxOrigin: 500, maxRamped: 0.8, minGain: 0.7},
		{rehearsal: "ramp", stated: 120, upgrade: true, maxOrigin: 500, maxRamped: 0.8, minGain: 0.7},
		{rehearsal: "ramp", stated: 480, upgrade: false, maxOrigin: 500, maxRamped: 0.8, minGain: 0.7},
		{rehearsal: "ramp", stated: 480, upgrade: true, maxOrigin: 500, maxRamped: 0.8, minGain: 0.7},
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
			runMoreNodesThanConfigured(s, c.stated, c.upgrade, from)
			r, run, err := Run(s, "module", Module)
			if err != nil {
				t.Fatal(err)
			}
			ramped := run.world.MaxColdLoad
			probes := r.MaxPerSecond("probes")
			t.Logf("breaches %v, %d requests in the origin's worst second, %.2f of the load that a cold cache "+
				"withstands, benefit in time %.3f, %d probes in a second",
				r.Rules, r.MaxOriginAttempts, ramped, r.BenefitInTime, probes)
			inBounds := r.MaxOriginAttempts <= c.maxOrigin && ramped <= c.maxRamped && r.BenefitInTime >= c.minGain
			if r.Rules != [4]uint64{} || !inBounds || probes == 0 {
				t.Errorf("out of bounds, see above; breaches %v", r.Breaches)
			}
		})
	}
}
