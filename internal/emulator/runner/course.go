// Package course plays a script's events on a world, for whatever shell is round it.
package runner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

const (
	awayAtLeast = 400 * time.Millisecond // that a process which is started anew takes to be back
	drainsFor   = 5 * time.Second        // that a server drains before it is gone, where none is stated
)

// Rig is the shell: what an event means to connections, nodes and the list.
type Rig interface {
	Broke(server int)                                  // all connections to it are reset
	Listed(e policy.Endpoint)                          // the list has changed
	Discovery(up bool)                                 // the list is told to nodes, or not
	Registry() *world.Registry                         // what discovery can bear
	EndNode(node int, orderly bool)                    // a node is told to end, or killed
	StartNode(node int)                                // and started anew
	UpgradeNode(node int)                              // another process takes its place
	StandbyNode(node int, by bool)                     // operators have it stand by, or back
	ScrapeNode(node int, until policy.Instant)         // its figures are fetched and held against what its clients saw
	PauseNode(node int, stop bool)                     // its process stands still, or goes on
	HangNode(node int, yes bool)                       // its loop stands still, and all else in it goes on
	TwinNode(node int)                                 // another process with its name is started elsewhere
	CrowdNode(node, clients int, until policy.Instant) // so many clients connect to it, say nothing, and come again when they are closed
	StallClients(node, clients int)                    // so many clients stop in the middle of a request, and stay
	ReloadNode(node, times int)                        // it is told so many times in a row to read its configuration again
	FreezeNode(node int, long time.Duration)           // its process stands still for a moment that the rules allow for
	Between(from, to int, f func(*netfault.Way))       // what goes wrong between two nodes, one way
	Fault(server int, kind string)                     // what goes wrong on its connections; "" for nothing
	At(at policy.Instant, do func())                   // do it then
	Said(now policy.Instant, what string)              // for the log of the run
}

// Run plays one script.
type Run struct {
	script      *scenario.Scenario
	world       *world.World
	traffic     *world.Traffic
	rig         Rig
	added       int
	discoveryUp int // 0 while it is there, else less by one for each spell without it
	began       policy.Instant
	First       policy.Instant // when the first event begins
	Last        policy.Instant // when the last one's end is due
}

// Play hangs all events in. began is when the script's time is 0.
func Play(s *scenario.Scenario, w *world.World, t *world.Traffic, began policy.Instant, rig Rig) *Run {
	c := &Run{script: s, world: w, traffic: t, rig: rig, began: began}
	events := slices.Clone(s.Events)
	slices.SortStableFunc(events, func(a, b scenario.Event) int { return cmp.Compare(a.AtS, b.AtS) })
	for i := range events {
		e := &events[i]
		at := began.Add(scenario.Span(e.AtS))
		if i == 0 {
			c.First = at
		}
		c.Last = max(c.Last, at.Add(scenario.Span(e.OverS+e.ForS)))
		rig.At(at, func() { c.do(at, e) })
	}
	return c
}

func (c *Run) each(now policy.Instant, e *scenario.Event, do func(at policy.Instant, server int)) {
	ids := c.script.Chosen(e)
	for n, id := range ids {
		c.spaced(now, e, n, len(ids), func(at policy.Instant) {
			if i, ok := c.world.Find(id); ok {
				do(at, i)
			}
		})
	}
}

// spaced does the n-th of so many things at its time in the event's span, the first at once.
func (c *Run) spaced(now policy.Instant, e *scenario.Event, n, of int, do func(at policy.Instant)) {
	if n == 0 || e.OverS == 0 {
		do(now)
		return
	}
	at := now.Add(scenario.Span(e.OverS * float64(n) / float64(of)))
	c.rig.At(at, func() { do(at) })
}

func (c *Run) do(now policy.Instant, e *scenario.Event) {
	w, long := c.world, scenario.Span(e.ForS)
	end := now.Add(long + scenario.Span(e.OverS)) // all end together
	c.rig.Said(now, describe(c.script, e))
	switch e.Do {
	case "slow":
		c.each(now, e, func(now policy.Instant, s int) {
			w.Slow(now, s, e.Factor)
			c.rig.At(end, func() { w.Slow(end, s, 1) })
		})
	case "crowd":
		c.each(now, e, func(now policy.Instant, s int) {
			w.Crowd(now, s, e.Share)
			c.rig.At(end, func() { w.Crowd(end, s, 0) })
		})
	case "pause":
		c.each(now, e, func(at policy.Instant, s int) { w.Pause(at, s, long) })
	case "kill", "restart":
		c.each(now, e, func(now policy.Instant, s int) {
			w.Kill(now, s)
			c.rig.Broke(s)
			if back := now.Add(max(awayAtLeast, long)); e.Do == "restart" || long > 0 {
				c.rig.At(back, func() { c.start(back, s) })
			}
		})
	case "silent":
		c.each(now, e, func(now policy.Instant, s int) {
			w.Mute(now, s)
			if long > 0 {
				c.rig.At(end, func() { c.start(end, s) })
			}
		})
	case "drain":
		c.each(now, e, func(at policy.Instant, s int) { c.drain(at, s, long) })
	case "shrink":
		left := max(1, e.Count)
		for s := len(w.Servers) - 1; s >= 0 && left > 0; s-- {
			if !w.IsOrigin(s) && w.Servers[s].State == policy.Ready {
				c.drain(now, s, long)
				left--
			}
		}
	case "add":
		for n := range max(1, e.Count) {
			c.spaced(now, e, n, max(1, e.Count), func(at policy.Instant) {
				c.added++
				s := w.AddCache(c.script.Cache(c.script.Fleet.Caches+c.added), at)
				c.rig.Listed(EntryOf(w, s))
			})
		}
	case "hot":
		c.traffic.Heat(world.KeyOf(e.Rank), e.Share)
		c.rig.At(end, func() { c.traffic.Heat("", 0) })
	case "burst":
		c.traffic.Burst(e.Factor)
		c.rig.At(end, func() { c.traffic.Burst(1) })
	case "origin_slow":
		if s, ok := w.Find(world.OriginID); ok {
			w.Slow(now, s, e.Factor)
			c.rig.At(end, func() { w.Slow(end, s, 1) })
		}
	case "discovery_down":
		c.discovery(-1)
		c.rig.At(end, func() { c.discovery(1) })
	case "discovery_slow":
		c.rig.Registry().Slow(e.Factor)
		c.rig.At(end, func() { c.rig.Registry().Slow(1) })
	case "node_restart", "node_kill":
		members := c.script.Members(e)
		for i, n := range members {
			c.spaced(now, e, i, len(members), func(at policy.Instant) {
				c.rig.EndNode(n-1, e.Do == "node_restart")
				c.rig.At(at.Add(max(awayAtLeast, long)), func() { c.rig.StartNode(n - 1) })
			})
		}
	case "node_scrape":
		for _, n := range c.script.Members(e) {
			c.rig.ScrapeNode(n-1, end)
		}
	case "node_upgrade", "node_standby":
		members := c.script.Members(e)
		for i, n := range members {
			c.spaced(now, e, i, len(members), func(at policy.Instant) {
				if e.Do == "node_upgrade" {
					c.rig.UpgradeNode(n - 1)
					return
				}
				c.rig.StandbyNode(n-1, true)
				c.rig.At(at.Add(long), func() { c.rig.StandbyNode(n-1, false) })
			})
		}
	case "node_twin":
		for _, n := range c.script.Members(e) {
			c.rig.TwinNode(n - 1)
		}
	case "node_crowd", "node_stall", "node_reload", "node_freeze":
		members := c.script.Members(e)
		for i, n := range members {
			c.spaced(now, e, i, len(members), func(at policy.Instant) { c.disturb(n-1, e, at) })
		}
	case "node_pause", "node_hang":
		still := c.rig.PauseNode
		if e.Do == "node_hang" {
			still = c.rig.HangNode
		}
		members := c.script.Members(e)
		for i, n := range members {
			c.spaced(now, e, i, len(members), func(at policy.Instant) {
				still(n-1, true)
				c.rig.At(at.Add(long), func() { still(n-1, false) })
			})
		}
	case "between_cut":
		c.turns(now, end, e, func(w *netfault.Way, on bool) { w.Cut = on })
	case "between_loss":
		c.turns(now, end, e, func(w *netfault.Way, on bool) { w.Loss = when(on, e.Share) })
	case "between_twice":
		c.turns(now, end, e, func(w *netfault.Way, on bool) { w.Twice = when(on, e.Share) })
	case "between_late":
		c.turns(now, end, e, func(w *netfault.Way, on bool) { w.Late = scenario.Span(when(on, e.LateMs) / 1000) })
	case "fault":
		c.each(now, e, func(now policy.Instant, s int) {
			if c.rig.Fault(s, e.Fault); e.Fault == "refuse" {
				c.rig.Broke(s)
			}
			c.rig.At(end, func() { c.rig.Fault(s, "") })
		})
	case "errors":
		c.each(now, e, func(now policy.Instant, s int) {
			w.Break(s, e.Share)
			c.rig.At(end, func() { w.Break(s, 0) })
		})
	}
}

// discovery ends or begins a spell without discovery: it is there while there is none, as spells may overlap.
func (c *Run) discovery(change int) {
	was := c.discoveryUp
	c.discoveryUp += change
	if (was == 0) != (c.discoveryUp == 0) {
		c.rig.Discovery(c.discoveryUp == 0)
	}
}

// disturb does to a node what it has to bear without any excuse.
func (c *Run) disturb(node int, e *scenario.Event, at policy.Instant) {
	long := scenario.Span(e.ForS)
	switch e.Do {
	case "node_crowd":
		c.rig.CrowdNode(node, e.Count, at.Add(long))
	case "node_stall":
		c.rig.StallClients(node, e.Count)
	case "node_reload":
		c.rig.ReloadNode(node, e.Count)
	case "node_freeze":
		c.rig.FreezeNode(node, long)
	}
}

func when(on bool, x float64) float64 {
	if on {
		return x
	}
	return 0
}

// turns changes ways between nodes until an end, or by turns where the event comes and goes.
func (c *Run) turns(now, end policy.Instant, e *scenario.Event, set func(w *netfault.Way, on bool)) {
	all := func(on bool) {
		for _, p := range c.script.Pairs(e) {
			c.rig.Between(p[0], p[1], func(w *netfault.Way) { set(w, on) })
		}
	}
	all(true)
	if turn := scenario.Span(e.TurnS); turn > 0 {
		on := true
		for at := now.Add(turn); at < end; at = at.Add(turn) {
			on = !on
			is := on
			c.rig.At(at, func() { all(is) })
		}
	}
	c.rig.At(end, func() { all(false) })
}

// start starts a server's process anew. Connections that outlived the old one, as a vanished machine's do, are reset.
func (c *Run) start(now policy.Instant, s int) {
	c.world.Start(now, s)
	c.rig.Broke(s)
	c.rig.Listed(EntryOf(c.world, s))
}

func (c *Run) drain(now policy.Instant, s int, long time.Duration) {
	server := c.world.Servers[s]
	server.State = policy.Draining
	c.rig.Listed(EntryOf(c.world, s))
	gone := now.Add(cmp.Or(long, drainsFor))
	c.rig.At(gone, func() {
		server.State = policy.Removed
		c.rig.Listed(EntryOf(c.world, s))
		c.world.Kill(gone, s)
		c.rig.Broke(s)
	})
}

// EntryOf is what the list says of a server.
func EntryOf(w *world.World, server int) policy.Endpoint {
	s := w.Servers[server]
	kind := 0
	if w.IsOrigin(server) {
		kind = 1
	}
	return policy.Endpoint{ID: s.ID, Kind: kind, Lifecycle: s.State, StartedAt: s.Born, Zone: s.Zone, Group: s.Group, Weight: s.Weight}
}

// Entries is the whole list.
func Entries(w *world.World) (es []policy.Endpoint) {
	for i, s := range w.Servers {
		if s.State != policy.Removed {
			es = append(es, EntryOf(w, i))
		}
	}
	return es
}

func describe(s *scenario.Scenario, e *scenario.Event) string {
	text := e.Do
	if ids := s.Chosen(e); len(ids) > 0 {
		text += fmt.Sprint(" ", ids)
	}
	if members := s.Members(e); len(members) > 0 {
		text += fmt.Sprint(" nodes ", members)
	}
	if e.Factor > 0 {
		text += fmt.Sprintf(" by %g", e.Factor)
	}
	if e.Share > 0 {
		text += fmt.Sprintf(" share %g", e.Share)
	}
	if e.Count > 0 {
		text += fmt.Sprintf(" %d", e.Count)
	}
	if e.Fault != "" {
		text += " " + e.Fault
	}
	if len(e.From) > 0 {
		text += fmt.Sprint(" from ", e.From)
	}
	if len(e.To) > 0 {
		text += fmt.Sprint(" to ", e.To)
	}
	if e.Both {
		text += " both ways"
	}
	if e.LateMs > 0 {
		text += fmt.Sprintf(" by up to %g ms", e.LateMs)
	}
	if e.TurnS > 0 {
		text += fmt.Sprintf(" by turns of %g s", e.TurnS)
	}
	if e.OverS > 0 {
		text += fmt.Sprintf(" over %g s", e.OverS)
	}
	if e.ForS > 0 {
		text += fmt.Sprintf(" for %g s", e.ForS)
	}
	return text
}
