package scenario

import (
	"fmt"
	"strings"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/config/strictconfig"
)

// Membership configures the nodes' membership. The durations are those of a node's fleet file and have the same
// defaults.
type Membership struct {
	Engine string  `toml:"engine"`
	PauseS float64 `toml:"pause_s"`
	BackS  float64 `toml:"back_s"`
	Seeds  int     `toml:"seeds"` // number of seed nodes, which are the first ones
}

const usualSeeds = 3

func (s *Scenario) checkTogether(c *strictconfig.Checker) {
	t := s.Membership
	if t == nil {
		return
	}
	usual := fleetconfig.Default()
	if t.Engine == "" {
		t.Engine = usual.Fleet.Engine
	}
	if t.PauseS == 0 {
		t.PauseS = usual.Members.PauseS
	}
	if t.BackS == 0 {
		t.BackS = usual.Members.RejoinS
	}
	if t.Seeds == 0 {
		t.Seeds = min(usualSeeds, s.Fleet.Nodes)
	}
	isEngine := t.Engine == fleetconfig.EngineTuned || t.Engine == fleetconfig.EnginePlain
	c.Require(isEngine, "together.engine", "%q is neither %s nor %s",
		t.Engine, fleetconfig.EngineTuned, fleetconfig.EnginePlain)
	c.InRange(t.PauseS, 0.2, 60, "together.pause_s")
	c.InRange(t.BackS, 0, 600, "together.back_s")
	c.InRange(float64(t.Seeds), 1, float64(min(s.Fleet.Nodes, 64)), "together.seeds")
	c.InRange(float64(s.Fleet.Nodes), 1, 64, "fleet.nodes") // a door for each ordered pair
}

// Pairs returns the ordered pairs of nodes, numbered from 0, that an event affects.
func (s *Scenario) Pairs(e *Event) (ps [][2]int) {
	all := func(some []int) []int {
		if len(some) > 0 {
			return some
		}
		for n := range s.Fleet.Nodes {
			some = append(some, n+1)
		}
		return some
	}
	for _, a := range all(e.From) {
		for _, b := range all(e.To) {
			if a == b {
				continue
			}
			ps = append(ps, [2]int{a - 1, b - 1})
			if e.Both {
				ps = append(ps, [2]int{b - 1, a - 1})
			}
		}
	}
	return ps
}

// FleetConfig returns the file with which a node joins the others: the listen address of each node, and the relay to
// it.
func (s *Scenario) FleetConfig(node int, label string, hears []string, ways map[string]string) []byte {
	var b strings.Builder
	t := s.Membership
	fmt.Fprintf(&b, "[fleet]\nlabel = %q\nlisten = %q\nengine = %q\nseeds = [", label, hears[node], t.Engine)
	for _, at := range hears[:t.Seeds] {
		fmt.Fprintf(&b, "%q, ", at)
	}
	fmt.Fprintf(&b, "]\n[members]\npause_s = %g\nback_s = %g\n", t.PauseS, t.BackS)
	for _, to := range hears {
		if through := ways[to]; through != "" {
			fmt.Fprintf(&b, "[[way]]\nto = %q\nthrough = %q\n", to, through)
		}
	}
	return []byte(b.String())
}
