package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/strictconfig"
)

// Limits of a scenario that one machine can run.
const (
	maxCaches  = 5000
	maxNodes   = 10_000
	maxKeys    = 10_000_000
	maxSeconds = 3600
	maxRate    = 1_000_000 // requests a second
	maxEvents  = 1000
	maxValueKB = 4096

	maxCountPerS = 1e9 // upper bound of expect.most_per_s
)

// check reports all invalid fields of a scenario, and sets defaults that depend on other fields.
func (s *Scenario) check(c *strictconfig.Checker) {
	c.InRange(s.Seconds, 1, maxSeconds, "seconds")
	s.checkFleet(c)
	s.checkOrigin(c)
	s.checkNetwork(c)
	s.checkDiscovery(c)
	s.checkAllowed(c)
	s.checkTraffic(c)
	s.checkClasses(c)
	s.checkEvents(c)
	s.checkExpect(c)
	s.checkLevels(c)
	s.checkMembership(c)
}

func (s *Scenario) checkFleet(c *strictconfig.Checker) {
	f := &s.Fleet
	c.InRange(float64(f.Nodes), 1, maxNodes, "fleet.nodes")
	c.InRange(float64(f.Stated), 0, maxNodes, "fleet.stated")
	c.InRange(float64(f.Caches), 1, maxCaches, "fleet.caches")
	c.InRange(float64(f.Cores), 1, 1024, "fleet.cores")
	c.InRange(float64(f.Queue), 0, 1e6, "fleet.queue")
	c.InRange(float64(f.Keys), 1, maxKeys, "fleet.keys")
	c.InRange(float64(f.Group), 1, maxCaches, "fleet.group")
	c.InRange(float64(f.Connections), 1, 1e6, "fleet.connections")
	c.InRange(f.Speed[0], 0.001, 1000, "fleet.speed")
	c.InRange(f.Speed[1], f.Speed[0], 1000, "fleet.speed")
	c.InRange(f.ColdFrom, 0.01, 1, "fleet.cold_from")
	c.InRange(f.ColdS, 0, maxSeconds, "fleet.cold_s")
	c.InRange(f.FallMultiple, 0, 1e6, "fleet.fall_multiple")
	c.Require(f.FallMultiple == 0 || f.FallS > 0, "fleet.fall_s", "must be over 0 if fall_multiple is")
	c.InRange(f.FallS, 0, maxSeconds, "fleet.fall_s")
	c.InRange(f.HandshakeMs, 0, 1000, "fleet.handshake_ms")
	c.InRange(f.IdleS, 0.1, maxSeconds, "fleet.idle_s")
	checkProtocol(c, f.Protocol, "fleet.protocol")
	httpClients := s.Traffic.Protocol == listeners.ProtocolHTTP
	c.Require(f.Protocol != listeners.ProtocolHTTP || httpClients && !f.Reports, "fleet.protocol",
		"caches can use http only if clients do, and cannot report their load then")
	checkProtocol(c, s.Traffic.Protocol, "traffic.protocol")
	c.Require(len(f.Zones) > 0, "fleet.zones", "must name at least one zone")
}

func checkProtocol(c *strictconfig.Checker, protocol, path string) {
	known := protocol == listeners.ProtocolMeta || protocol == listeners.ProtocolHTTP
	c.Require(known, path, "%q is neither %s nor %s", protocol, listeners.ProtocolMeta, listeners.ProtocolHTTP)
}

func (s *Scenario) checkOrigin(c *strictconfig.Checker) {
	o := &s.Origin
	c.InRange(float64(o.Cores), 1, 1024, "origin.cores")
	c.InRange(float64(o.Queue), 0, 1e6, "origin.queue")
	c.InRange(o.WorkMs, 0.01, 1e5, "origin.work_ms")
	c.InRange(float64(o.StallAt), 1, 1e6, "origin.stall_at")
	c.InRange(o.Stall, 1, 1000, "origin.stall")
	c.InRange(o.FallMultiple, 0, 1e6, "origin.fall_multiple")
	c.InRange(o.FallS, 0, maxSeconds, "origin.fall_s")
}

func (s *Scenario) checkNetwork(c *strictconfig.Checker) {
	n := &s.Network
	checkMilliseconds(c, n.OneWayMs, "network.one_way_ms")
	checkMilliseconds(c, n.CrossZoneMs, "network.cross_zone_ms")
	checkMilliseconds(c, n.ClientMs, "network.client_ms")
	checkMilliseconds(c, n.LateMs, "network.late_ms")
	c.InRange(n.Jitter, 0, 1, "network.jitter")
	c.InRange(n.LateShare, 0, 1, "network.late_share")
	c.InRange(n.LostShare, 0, 1, "network.lost_share")
}

func checkMilliseconds(c *strictconfig.Checker, ms float64, path string) { c.InRange(ms, 0, 1e5, path) }

func (s *Scenario) checkDiscovery(c *strictconfig.Checker) {
	d := &s.Discovery
	c.InRange(d.NoticeS[0], 0, maxSeconds, "discovery.notice_s")
	c.InRange(d.NoticeS[1], d.NoticeS[0], maxSeconds, "discovery.notice_s")
	checkMilliseconds(c, d.WatchMs, "discovery.watch_ms")
	checkMilliseconds(c, d.WholeMs, "discovery.whole_ms")
	checkMilliseconds(c, d.BacklogMs, "discovery.backlog_ms")
}

func (s *Scenario) checkAllowed(c *strictconfig.Checker) {
	a := &s.Allowed
	checkMilliseconds(c, a.RetryAfterMs, "allowed.come_back_ms")
	checkMilliseconds(c, a.GraceMs, "allowed.grace_ms")
	checkMilliseconds(c, a.ConnectMs, "allowed.connect_ms")
	checkMilliseconds(c, a.SlackMs, "allowed.slack_ms")
	checkMilliseconds(c, a.LateAnswerMs, "allowed.late_answer_ms")
	c.Require(a.Mode == "aside" || a.Mode == "through", "allowed.mode", "%q is neither aside nor through", a.Mode)
	c.InRange(float64(a.MaxAttempts), 1, 100, "allowed.most_legs")
	c.InRange(a.WastePrice, 0, 100, "allowed.waste_price")
}

func (s *Scenario) checkTraffic(c *strictconfig.Checker) {
	t := &s.Traffic
	c.InRange(t.PerSecond, 0, maxRate, "traffic.per_second")
	c.InRange(t.Swing, 0, 1, "traffic.swing")
	c.InRange(t.WaveS, 0, maxSeconds, "traffic.wave_s")
	c.InRange(float64(t.Keys), 1, maxKeys, "traffic.keys")
	c.InRange(t.Zipf, 0, 5, "traffic.zipf")
	c.InRange(t.Jitter, 0, 10, "traffic.jitter")
	c.InRange(t.Skew, 0, 5, "traffic.skew")
	c.InRange(t.Leaves, 0, 1, "traffic.leaves")
	checkMilliseconds(c, t.LeaveMs, "traffic.leave_ms")
	c.Require(t.Leaves == 0 || t.LeaveMs > 0, "traffic.leave_ms", "must be over 0 if traffic.leaves is")
	c.InRange(t.Short, 0, 1, "traffic.short")
	checkMilliseconds(c, t.ShortMs, "traffic.short_ms")
	c.Require(t.Short == 0 || t.ShortMs > 0, "traffic.short_ms", "must be over 0 if traffic.short is")
	c.InRange(t.LongShare, 0, 1, "traffic.long_share")
	c.InRange(float64(t.LongKB), 0, maxValueKB, "traffic.long_kb")
	c.Require(t.LongShare == 0 || t.Protocol == listeners.ProtocolMeta, "traffic.long_share",
		"long values need the client protocol %s", listeners.ProtocolMeta)
}

func (s *Scenario) checkClasses(c *strictconfig.Checker) {
	c.Require(len(s.Classes) > 0, "grade", "at least one grade is required")
	names := map[string]bool{}
	sum := 0.0
	for i := range s.Classes {
		class := &s.Classes[i]
		class.check(c, fmt.Sprintf("grade.%d.", i), names)
		sum += class.Share
	}
	c.Require(len(s.Classes) == 0 || sum > 0, "grade.0", "all shares are 0, so clients would send no requests")
}

// check reports the errors of a class and sets its defaults. names holds the names of the preceding classes.
func (class *Class) check(c *strictconfig.Checker, at string, names map[string]bool) {
	class.Tries = cmp.Or(class.Tries, 1)
	class.Effect = cmp.Or(class.Effect, "idempotent")
	class.Scope = cmp.Or(class.Scope, "all")
	c.Require(class.Name != "" && !strings.ContainsAny(class.Name, " ,=\r\n"), at+"name",
		"%q is not a valid name: it is empty or contains a space, a comma, an equals sign or a line break", class.Name)
	c.Require(!names[class.Name], at+"name", "%q is already the name of another grade", class.Name)
	names[class.Name] = true
	_, known := effects[class.Effect]
	c.Require(known, at+"effect", "%q is none of idempotent, labelled, irreversible", class.Effect)
	_, known = scopes[class.Scope]
	c.Require(known, at+"scope", "%q is none of all, zone, group", class.Scope)
	c.InRange(class.Share, 0, 1e6, at+"share")
	c.InRange(class.Benefit, 0, 1e6, at+"benefit")
	c.InRange(class.SoftMs, 1, 1e6, at+"soft_ms")
	c.InRange(class.HardMs, class.SoftMs, 1e6, at+"hard_ms")
	c.InRange(class.WorkMs, 0.01, 1e5, at+"work_ms")
	c.InRange(class.WindowS, 0, maxSeconds, at+"window_s")
	c.InRange(float64(class.Tries), 1, 20, at+"tries")
	c.Require(class.Effect == "idempotent" || class.Write, at+"effect", "a read is idempotent")
	c.Require(class.Effect != "labelled" || !class.Write || class.WindowS > 0, at+"window_s",
		"must be over 0 for labelled writes")
}

func (s *Scenario) checkExpect(c *strictconfig.Checker) {
	known := func(grade string) bool {
		return slices.ContainsFunc(s.Classes, func(g Class) bool { return g.Name == grade })
	}
	for _, name := range sorted(s.Expect.Satisfied) {
		c.Require(known(name), "expect.satisfied", "there is no grade %q", name)
		c.InRange(s.Expect.Satisfied[name], 0, 1, "expect.satisfied")
	}
	for _, name := range sorted(s.Expect.P99Ms) {
		c.Require(known(name), "expect.p99_ms", "there is no grade %q", name)
		c.InRange(s.Expect.P99Ms[name], 0, 1e6, "expect.p99_ms")
	}
	for i, a := range s.Expect.Avoided {
		at := fmt.Sprintf("expect.avoided.%d.", i)
		c.Require(strings.HasPrefix(a.Server, "c"), at+"server", "there is no server %q", a.Server)
		c.InRange(a.ByS, 0, s.Seconds, at+"by_s")
	}
	c.InRange(s.Expect.MaxOriginPerS, 0, 1e6, "expect.origin_most_per_s")
	c.InRange(s.Expect.RecoveredBy, 0, s.Seconds, "expect.recovered_by_s")
	for _, name := range sorted(s.Expect.MaxPerS) {
		c.Require(slices.Contains(CountNames, name), "expect.most_per_s",
			"%q is none of %s", name, strings.Join(CountNames, ", "))
		c.InRange(s.Expect.MaxPerS[name], 0, maxCountPerS, "expect.most_per_s")
	}
	c.InRange(s.Expect.MaxAttemptsPerRequest, 0, 100, "expect.most_legs_per_request")
	views := s.Expect.Views
	c.Require(views == nil || s.Membership != nil && *views >= 0, "expect.most_view_changes",
		"needs [together] and must not be negative")
}

// sorted returns the keys of a map in ascending order.
func sorted(m map[string]float64) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (s *Scenario) checkLevels(c *strictconfig.Checker) {
	if len(s.Levels) == 0 {
		return
	}
	if decoded, err := s.DecodedSettings(""); err == nil { // otherwise an error in the classes is already reported
		listeners.CheckLevels(c, s.Levels, &decoded)
	}
}
