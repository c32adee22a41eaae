package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/strictconfig"
)

func (s *Scenario) checkEvents(c *strictconfig.Checker) {
	c.Require(len(s.Events) <= maxEvents, "event", "more than %d events", maxEvents)
	added := 0
	for _, e := range s.Events {
		if e.Do == "add" {
			added += max(1, e.Count)
		}
	}
	for i := range s.Events {
		e := &s.Events[i]
		at := fmt.Sprintf("event.%d.", i)
		fields, known := fieldsByAction[e.Do]
		c.Require(known, at+"do", "%q is not a known action", e.Do)
		if !known {
			continue
		}
		s.checkEventTime(c, e, fields, at)
		s.checkEventCaches(c, e, fields, at, s.Fleet.Caches+added)
		s.checkEventNodes(c, e, fields, at)
		s.checkEventPairs(c, e, fields, at)
		s.checkEventValues(c, e, fields, at)
		s.checkEventFault(c, e, at)
	}
}

func (s *Scenario) checkEventTime(c *strictconfig.Checker, e *Event, fields eventFields, at string) {
	c.InRange(e.AtS, 0, s.Seconds, at+"at_s")
	c.InRange(e.ForS, 0, maxSeconds, at+"for_s")
	c.Require(!fields.duration || e.ForS > 0, at+"for_s", "%s needs a duration", e.Do)
	c.Require(e.Do != freeze || e.ForS <= maxFreezeS, at+"for_s", "%s must not last longer than %g s", e.Do, maxFreezeS)
	c.InRange(e.OverS, 0, maxSeconds, at+"over_s")
	c.Require(e.OverS == 0 || fields.caches || fields.nodes || e.Do == "add", at+"over_s",
		"%s cannot be spread over a time", e.Do)
	c.InRange(e.TurnS, 0, maxSeconds, at+"turn_s")
}

// checkEventCaches checks the caches that an event selects. caches is the number of caches, including added ones.
func (s *Scenario) checkEventCaches(c *strictconfig.Checker, e *Event, fields eventFields, at string, caches int) {
	selectors := 0
	for _, stated := range []bool{len(e.Caches) > 0, e.Part > 0, e.Zone != ""} {
		if stated {
			selectors++
		}
	}
	c.InRange(e.Part, 0, 1, at+"part")
	c.Require(!fields.caches || selectors == 1, at+"caches",
		"%s needs either names of caches, a part of them or a zone", e.Do)
	none := len(e.Caches) == 0 && e.Zone == "" && (fields.nodes || e.Part == 0)
	c.Require(fields.caches || none, at+"caches", "%s does not take caches", e.Do)
	c.Require(e.Zone == "" || slices.Contains(s.Fleet.Zones, e.Zone), at+"zone", "there is no zone %q", e.Zone)
	for _, name := range e.Caches {
		digits, named := strings.CutPrefix(name, "c")
		n, err := strconv.Atoi(digits)
		c.Require(err == nil && named && n >= 1 && n <= caches, at+"caches", "there is no server %q", name)
	}
}

func (s *Scenario) checkEventNodes(c *strictconfig.Checker, e *Event, fields eventFields, at string) {
	c.Require(!fields.nodes || (len(e.Nodes) > 0) != (e.Part > 0), at+"nodes",
		"%s needs either numbers of nodes or a part of them", e.Do)
	for _, n := range e.Nodes {
		c.Require(n >= 1 && n <= s.Fleet.Nodes, at+"nodes", "there is no node %d", n)
	}
	c.Require(e.Do != duplicateNode || s.Membership != nil, at+"do",
		"needs [together], which makes nodes members of one fleet")
}

func (s *Scenario) checkEventPairs(c *strictconfig.Checker, e *Event, fields eventFields, at string) {
	c.Require(!fields.pairs || s.Membership != nil, at+"do",
		"needs [together], without which nodes exchange no messages")
	none := len(e.From)+len(e.To) == 0 && !e.Both && e.TurnS == 0
	c.Require(fields.pairs || none, at+"from", "%s does not take from, to, both or turn_s", e.Do)
	for _, n := range slices.Concat(e.From, e.To) {
		c.Require(n >= 1 && n <= s.Fleet.Nodes, at+"from", "there is no node %d", n)
	}
}

func (s *Scenario) checkEventValues(c *strictconfig.Checker, e *Event, fields eventFields, at string) {
	if fields.factor {
		c.InRange(e.Factor, 0.01, 1000, at+"factor")
	} else {
		c.Require(e.Factor == 0, at+"factor", "%s takes no factor", e.Do)
	}
	if fields.share {
		c.InRange(e.Share, 0.001, 1, at+"share")
	} else {
		c.Require(e.Share == 0, at+"share", "%s takes no share", e.Do)
	}
	if fields.delay {
		c.InRange(e.LateMs, 1, 1e5, at+"late_ms")
	} else {
		c.Require(e.LateMs == 0, at+"late_ms", "%s takes no delay", e.Do)
	}
	c.InRange(float64(e.Rank), 0, float64(s.Traffic.Keys-1), at+"rank")
	c.Require(!fields.count || e.Count > 0, at+"count", "%s needs a count", e.Do)
	c.InRange(float64(e.Count), 0, maxCaches, at+"count")
	c.Require(e.Do != "shrink" || e.Count < s.Fleet.Caches, at+"count",
		"a fleet of %d caches cannot shrink by %d", s.Fleet.Caches, e.Count)
}

func (s *Scenario) checkEventFault(c *strictconfig.Checker, e *Event, at string) {
	c.Require(e.Do != "fault" || slices.Contains(faults, e.Fault), at+"fault",
		"%q is none of %s", e.Fault, strings.Join(faults, ", "))
	c.Require(e.Fault != stale || s.Fleet.Protocol == listeners.ProtocolHTTP, at+"fault",
		"only caches with the protocol http serve stale responses")
	c.Require(e.Do == "fault" || e.Fault == "", at+"fault", "%s takes no fault", e.Do)
	c.Require(e.Do != "origin_slow" || s.Allowed.Mode == "aside", at+"do", "there is no origin in mode through")
	c.Require(e.Do != "discovery_slow" || s.Discovery.WatchMs > 0, at+"do",
		"discovery has no capacity limit that could slow it down: set discovery.watch_ms")
}
