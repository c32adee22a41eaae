package scenario

import (
	"fmt"
	"strings"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/config/strictconfig"
)

// Membership configures the membership of nodes. Its durations have the same meanings and defaults as in a node's fleet
// file.
type Membership struct {
	Engine string  `toml:"engine"`
	PauseS float64 `toml:"pause_s"`
	BackS  float64 `toml:"back_s"`
	Seeds  int     `toml:"seeds"` // number of seed nodes, which are the first ones
}

const defaultSeeds = 3

// checkMembership checks the membership of a scenario, if it has one, and sets its defaults.
func (s *Scenario) checkMembership(c *strictconfig.Checker) {
	t := s.Membership
	if t == nil {
		return
	}
	fleetDefaults := fleetconfig.Default()
	if t.Engine == "" {
		t.Engine = fleetDefaults.Fleet.Engine
	}
	if t.PauseS == 0 {
		t.PauseS = fleetDefaults.Members.PauseS
	}
	if t.BackS == 0 {
		t.BackS = fleetDefaults.Members.RejoinS
	}
	if t.Seeds == 0 {
		t.Seeds = min(defaultSeeds, s.Fleet.Nodes)
	}
	isEngine := t.Engine == fleetconfig.EngineTuned || t.Engine == fleetconfig.EnginePlain
	c.Require(isEngine, "together.engine", "%q is neither %s nor %s",
		t.Engine, fleetconfig.EngineTuned, fleetconfig.EnginePlain)
	c.InRange(t.PauseS, 0.2, 60, "together.pause_s")
	c.InRange(t.BackS, 0, 600, "together.back_s")
	c.InRange(float64(t.Seeds), 1, float64(min(s.Fleet.Nodes, 64)), "together.seeds")
	c.InRange(float64(s.Fleet.Nodes), 1, 64, "fleet.nodes") // each ordered pair of nodes has its own relay
}

// Pairs returns the ordered pairs of nodes, numbered from 0, that an event affects.
func (s *Scenario) Pairs(e *Event) (pairs [][2]int) {
	orAll := func(numbers []int) []int {
		if len(numbers) > 0 {
			return numbers
		}
		for n := range s.Fleet.Nodes {
			numbers = append(numbers, n+1)
		}
		return numbers
	}
	for _, a := range orAll(e.From) {
		for _, b := range orAll(e.To) {
			if a == b {
				continue
			}
			pairs = append(pairs, [2]int{a - 1, b - 1})
			if e.Both {
				pairs = append(pairs, [2]int{b - 1, a - 1})
			}
		}
	}
	return pairs
}

// FleetConfig returns the fleet file of a node, whose number counts from 0. listenAddrs are the listen addresses of all
// nodes. relays maps the addresses that the node reaches through a relay to the addresses of the relays.
func (s *Scenario) FleetConfig(node int, label string, listenAddrs []string, relays map[string]string) []byte {
	var b strings.Builder
	t := s.Membership
	fmt.Fprintf(&b, "[fleet]\nlabel = %q\nlisten = %q\nengine = %q\nseeds = [", label, listenAddrs[node], t.Engine)
	for _, addr := range listenAddrs[:t.Seeds] {
		fmt.Fprintf(&b, "%q, ", addr)
	}
	fmt.Fprintf(&b, "]\n[members]\npause_s = %g\nback_s = %g\n", t.PauseS, t.BackS)
	for _, to := range listenAddrs {
		if relay := relays[to]; relay != "" {
			fmt.Fprintf(&b, "[[way]]\nto = %q\nthrough = %q\n", to, relay)
		}
	}
	return []byte(b.String())
}
