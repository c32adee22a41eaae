package simulation

import (
	"fmt"
	"testing"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
)

// together is a fleet of so many nodes before 50 caches, which all together must push neither the origin nor a cold cache over.
func together(t *testing.T, script string, nodes int, seed int64) (*report.Report, *Simulation) {
	t.Helper()
	s := load(t, script)
	s.Fleet.Nodes, s.Seed = nodes, seed
	r, run, err := Play(s, "module", Module)
	if err != nil {
		t.Fatal(err)
	}
	return r, run
}

// The floors of what each node may do by itself grow with the fleet, what the origin and a cold cache bear does not. At 480 nodes 10,402
// requests came to an origin that can do 267 a second, in the first second from an empty start.
func TestTheOriginBearsTheSumOfAllNodesFromAnEmptyStart(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for nodes, gain := range map[int]float64{24: 0.40, 120: 0.30, 480: 0.29} {
		for seed := range int64(2) {
			t.Run(fmt.Sprint(nodes, " nodes, seed ", seed), func(t *testing.T) {
				t.Parallel()
				r, _ := together(t, "empty-start", nodes, seed+1)
				t.Logf("rules %v, %d in the worst second, benefit in time %.3f", r.Rules, r.Origin, r.Gain)
				if r.Rules != [4]uint64{} || r.Origin > 800 || r.Gain < gain {
					t.Errorf("rules %v, %d requests in the worst second at the origin, benefit in time %.3f", r.Rules, r.Origin, r.Gain)
				}
			})
		}
	}
}

// A key that draws half of the traffic comes to caches that have just started, from nodes that see too little to know the usual pace; and
// nine in ten nodes start anew in the middle of a ramp. Each node may then do a little, and the sum of that has to be dealt.
func TestAColdCacheBearsTheSumOfAllNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	hot := scenario.Event{AtS: 3.9, Do: "hot", Share: 0.5, ForS: 10}
	anew := scenario.Event{AtS: 4.5, Do: "node_kill", Part: 0.9, ForS: 0.3}
	for name, c := range map[string]struct {
		nodes  int
		event  scenario.Event
		ramped float64 // share of what makes a cold cache fall
		gain   float64
	}{"24, hot": {24, hot, 0.5, 0.45}, "480, hot": {480, hot, 0.5, 0.7}, "480, anew": {480, anew, 0.5, 0.62}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := load(t, "ramp")
			s.Fleet.Nodes, s.Events = c.nodes, append(s.Events, c.event)
			r, run, err := Play(s, "module", Module)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("rules %v, %.2f of what fells a cold cache, benefit in time %.3f", r.Rules, run.world.Ramped, r.Gain)
			if r.Rules != [4]uint64{} || run.world.Ramped > c.ramped || run.world.Ramped == 0 || r.Gain < c.gain {
				t.Errorf("rules %v, %.2f of what fells a cold cache, benefit in time %.3f", r.Rules, run.world.Ramped, r.Gain)
			}
		})
	}
}

// numbers counts nodes from one to another.
func numbers(from, to int) (all []int) {
	for n := from; n <= to; n++ {
		all = append(all, n)
	}
	return all
}

// beyond has more nodes run than the settings state, from an instant on: a quarter more, which stay, or a second process of each, for
// which the first makes room three seconds later. Traffic is uneven between nodes, clients come again at once and often, three caches fall
// silent and are probed, and in the middle of it half of all nodes are killed and start anew.
func beyond(s *scenario.Scenario, stated int, upgrade bool, from float64) {
	s.Fleet.Stated, s.Fleet.Nodes = stated, stated+stated/4
	if upgrade {
		s.Fleet.Nodes = 2 * stated
		s.Events = append(s.Events, scenario.Event{AtS: from + 3, Do: "node_restart", Nodes: numbers(1, stated), ForS: s.Seconds})
	}
	s.Events = append(s.Events, scenario.Event{Do: "node_kill", Nodes: numbers(stated+1, s.Fleet.Nodes), ForS: from},
		scenario.Event{AtS: from + 0.5, Do: "silent", Caches: []string{"c3", "c9", "c17"}},
		scenario.Event{AtS: from + 1.5, Do: "node_kill", Part: 0.5, ForS: 0.4})
	s.Traffic.Skew, s.Allowed.RetryAfterMs = 0.6, 0
	for i := range s.Classes {
		s.Classes[i].Tries = 4
	}
}

// Shares of the origin and of cold caches are dealt by the number of nodes that the settings state, which an upgrade doubles for some
// seconds. What each node did by itself after it had been turned away at the origin added up: with 120 and 480 stated and as many
// more, 987 and 998 requests came in the worst second to an origin that can do 267, for longer than it bears.
func TestMoreNodesThanStatedKeepTheSums(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for _, c := range []struct {
		script  string
		stated  int
		upgrade bool
		origin  int     // requests there in the worst second
		ramped  float64 // share of what makes a cold cache fall
		gain    float64
	}{
		{"empty-start", 24, true, 400, 0, 0.22},
		{"empty-start", 120, false, 700, 0, 0.13},
		{"empty-start", 120, true, 850, 0, 0.13},
		{"empty-start", 480, false, 900, 0, 0.13},
		{"empty-start", 480, true, 1000, 0, 0.13},
		{"ramp", 24, true, 500, 0.8, 0.7},
		{"ramp", 120, true, 500, 0.8, 0.7},
		{"ramp", 480, false, 500, 0.8, 0.7},
		{"ramp", 480, true, 500, 0.8, 0.7},
	} {
		t.Run(fmt.Sprint(c.script, " ", c.stated, map[bool]string{true: " upgraded", false: " and a quarter"}[c.upgrade]), func(t *testing.T) {
			t.Parallel()
			s := load(t, c.script)
			from := 0.7
			if s.Fleet.Warm {
				s.Seconds, from = 10, 4.5
				s.Events = append(s.Events, scenario.Event{AtS: 3.9, Do: "hot", Share: 0.5, ForS: 10})
			} else {
				s.Seconds, s.Traffic.PerSecond = 4, 4000
			}
			beyond(s, c.stated, c.upgrade, from)
			r, run, err := Play(s, "module", Module)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("rules %v, %d in the worst second at the origin, %.2f of what fells a cold cache, benefit in time %.3f, %d probes in a second",
				r.Rules, r.Origin, run.world.Ramped, r.Gain, r.Most("probes"))
			if r.Rules != [4]uint64{} || r.Origin > c.origin || run.world.Ramped > c.ramped || r.Gain < c.gain || r.Most("probes") == 0 {
				t.Errorf("rules %v (%v), %d requests in the worst second at the origin, %.2f of what fells a cold cache, benefit in time %.3f",
					r.Rules, r.Breaches, r.Origin, run.world.Ramped, r.Gain)
			}
		})
	}
}
