// Package script reads rehearsals: plain files that say what fleet there is, what clients ask, what goes wrong when, and
// what is expected of it all.
package scenario

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/strictconfig"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/keyhash"
	"dahliapin/policy"
)

// bounds of what one machine plays in one run
const (
	mostCaches  = 5000
	mostNodes   = 10000
	mostKeys    = 10_000_000
	mostSeconds = 3600
	mostRate    = 1_000_000
	mostEvents  = 1000
	repeatAfter = 6 // seconds without trouble between two rounds of events
)

// Scenario is one rehearsal.
type Scenario struct {
	Name      string            `toml:"name"`
	About     string            `toml:"about"`
	Seed      int64             `toml:"seed"`
	Seconds   float64           `toml:"seconds"`
	Fleet     Fleet             `toml:"fleet"`
	Origin    Origin            `toml:"origin"`
	Network   Network           `toml:"network"`
	Discovery Discovery         `toml:"discovery"`
	Allowed   Allowed           `toml:"allowed"`
	Traffic   Traffic           `toml:"traffic"`
	Classes   []Class           `toml:"grade"`
	Events    []Event           `toml:"event"`
	Expect    Expect            `toml:"expect"`
	Levels    []listeners.Level `toml:"level,omitempty"` // of all nodes
	Together  *Together         `toml:"together"`
}

// Fleet says what caches and nodes there are.
type Fleet struct {
	Nodes        int        `toml:"nodes"`
	Stated       int        `toml:"stated"` // nodes that the settings name, where others run; 0 for as many as run
	Caches       int        `toml:"caches"`
	Zones        []string   `toml:"zones"`
	Spread       bool       `toml:"spread"` // nodes stand in all zones by turns, not all in the first
	Group        int        `toml:"group"`  // caches of one group, which drop the same repeats
	Cores        int        `toml:"cores"`
	Queue        int        `toml:"queue"`
	Speed        [2]float64 `toml:"speed"`
	Keys         int        `toml:"keys"`
	Warm         bool       `toml:"warm"` // caches hold what they would after long service
	ColdFrom     float64    `toml:"cold_from"`
	ColdS        float64    `toml:"cold_s"`
	FallMultiple float64    `toml:"fall_multiple"`
	FallS        float64    `toml:"fall_s"`
	Connections  int        `toml:"connections"`
	HandshakeMs  float64    `toml:"handshake_ms"`
	IdleS        float64    `toml:"idle_s"`
	Reports      bool       `toml:"reports"`
	Protocol     string     `toml:"protocol"` // of caches: meta or http; on sockets only, as virtual time has no bytes
}

// Origin says what stands behind the caches, where they only store.
type Origin struct {
	Cores        int     `toml:"cores"`
	Queue        int     `toml:"queue"`
	WorkMs       float64 `toml:"work_ms"`
	StallAt      int     `toml:"stall_at"`
	Stall        float64 `toml:"stall"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallS        float64 `toml:"fall_s"`
}

// Network is between them all.
type Network struct {
	OneWayMs    float64 `toml:"one_way_ms"`
	CrossZoneMs float64 `toml:"cross_zone_ms"`
	ClientMs    float64 `toml:"client_ms"`
	Jitter      float64 `toml:"jitter"`
	LateShare   float64 `toml:"late_share"` // of new connections to caches, which come up late; this and the next two in virtual time only
	LateMs      float64 `toml:"late_ms"`    // by so much at the most
	LostShare   float64 `toml:"lost_share"` // of the answers of caches, which never come
}

// Discovery tells changes of the list late. Where a watch costs it work, nodes call it as they do in service, and what comes
// beyond its backlog is refused; else changes reach each node by themselves.
type Discovery struct {
	NoticeS   [2]float64 `toml:"notice_s"`
	WatchMs   float64    `toml:"watch_ms"`
	WholeMs   float64    `toml:"whole_ms"`
	BacklogMs float64    `toml:"backlog_ms"`
}

// Allowed is what the deployment lets nodes do.
type Allowed struct {
	Mode         string  `toml:"mode"`
	MaxAttempts  int     `toml:"most_legs"`
	Hedging      bool    `toml:"second_copies"`
	Cancel       bool    `toml:"cancel"`
	Probes       bool    `toml:"probes"`
	RetryAfterMs float64 `toml:"come_back_ms"`
	GraceMs      float64 `toml:"grace_ms"`
	ConnectMs    float64 `toml:"connect_ms"`
	WastePrice   float64 `toml:"waste_price"`
	SlackMs      float64 `toml:"slack_ms"`       // that what crosses may take, on sockets; 0 for a usual time
	LateAnswerMs float64 `toml:"late_answer_ms"` // after its deadline that a final answer may come; 0 for slack_ms
}

// Traffic is what clients ask.
type Traffic struct {
	PerSecond float64 `toml:"per_second"`
	Swing     float64 `toml:"swing"`
	WaveS     float64 `toml:"wave_s"`
	Keys      int     `toml:"keys"`
	Zipf      float64 `toml:"zipf"`
	Jitter    float64 `toml:"jitter"`
	Skew      float64 `toml:"skew"`       // exponent of how uneven nodes' traffic is, by their numbers; in virtual time only, 0 for even
	Leaves    float64 `toml:"leaves"`     // share of tries whose clients go early
	LeaveMs   float64 `toml:"leave_ms"`   // and after how long at the latest
	Short     float64 `toml:"short"`      // share of tries whose clients wait less than the deadline
	ShortMs   float64 `toml:"short_ms"`   // and how long at the most; half of that at the least
	Protocol  string  `toml:"protocol"`   // of clients
	LongShare float64 `toml:"long_share"` // of the keys, which have a long value; on sockets only, as virtual time has no bytes
	LongKB    int     `toml:"long_kb"`
	UntilKill bool    `toml:"until_kill"` // clients use open connections until a node that was told to end is killed, at the earliest time; on sockets only
}

// Class is one service grade.
type Class struct {
	Name    string  `toml:"name"`
	Share   float64 `toml:"share"`
	Benefit float64 `toml:"benefit"`
	Effect  string  `toml:"effect"`
	Scope   string  `toml:"scope"`
	Write   bool    `toml:"write"`
	SoftMs  float64 `toml:"soft_ms"`
	HardMs  float64 `toml:"hard_ms"`
	WorkMs  float64 `toml:"work_ms"`
	WindowS float64 `toml:"window_s"`
	Tries   int     `toml:"tries"`
}

// Event is one thing that goes wrong, or is done.
type Event struct {
	AtS    float64  `toml:"at_s,omitempty"`
	Do     string   `toml:"do,omitempty"`
	Caches []string `toml:"caches,omitempty"`
	Part   float64  `toml:"part,omitempty"` // of the caches or nodes, chosen by the seed, instead of names or numbers
	Zone   string   `toml:"zone,omitempty"` // all caches there
	Nodes  []int    `toml:"nodes,omitempty"`
	OverS  float64  `toml:"over_s,omitempty"` // spread over so long, one after the other
	Factor float64  `toml:"factor,omitempty"`
	Share  float64  `toml:"share,omitempty"`
	Rank   int      `toml:"rank,omitempty"`
	Count  int      `toml:"count,omitempty"`
	ForS   float64  `toml:"for_s,omitempty"`
	Fault  string   `toml:"fault,omitempty"`
	From   []int    `toml:"from,omitempty"`    // nodes whose messages to others it concerns; none for all
	To     []int    `toml:"to,omitempty"`      // nodes to which
	Both   bool     `toml:"both,omitempty"`    // and the other way
	TurnS  float64  `toml:"turn_s,omitempty"`  // it comes and goes, each for so long
	LateMs float64  `toml:"late_ms,omitempty"` // the most that messages are late
}

// Expect says what makes a run good, beside the four rules, which always hold.
type Expect struct {
	Satisfied   map[string]float64 `toml:"satisfied"` // share of first tries of a grade that were satisfied within the soft limit
	P99Ms       map[string]float64 `toml:"p99_ms"`
	Avoided     []Avoidance        `toml:"avoided"`
	Drained     []string           `toml:"drained"`
	OriginMost  float64            `toml:"origin_most_per_s"` // legs there in any second
	RecoveredBy float64            `toml:"recovered_by_s"`    // from then on, no worse than before the first event
	MostPerS    map[string]float64 `toml:"most_per_s"`        // over the whole fleet, of what Counted names
	Excess      float64            `toml:"most_legs_per_request"`
	Views       *int               `toml:"most_view_changes"` // at any node that nothing befell, after all had all
}

// Counted are the things that all nodes do together which a script may bound in any second.
var Counted = []string{"list_calls", "dials", "full_dials", "probes", "misses", "origin_legs", "vain_legs"}

// Avoidance is that a server is avoided by a time.
type Avoidance struct {
	Server string  `toml:"server"`
	ByS    float64 `toml:"by_s"`
}

// What an event may do, and what it needs.
var kinds = map[string]struct {
	caches, factor, share, nodes, long, pairs, late, count bool
}{
	"slow": {caches: true, factor: true, long: true}, "crowd": {caches: true, share: true, long: true},
	"pause": {caches: true, long: true}, "kill": {caches: true}, "silent": {caches: true}, "restart": {caches: true},
	"drain": {caches: true}, "add": {}, "shrink": {}, "hot": {share: true, long: true}, "burst": {factor: true, long: true},
	"origin_slow": {factor: true, long: true}, "discovery_down": {long: true},
	"discovery_slow": {factor: true, long: true}, "node_restart": {nodes: true},
	cut: {pairs: true, long: true}, loss: {pairs: true, share: true, long: true}, twice: {pairs: true, share: true, long: true},
	late: {pairs: true, late: true, long: true}, pause: {nodes: true, long: true}, hang: {nodes: true, long: true}, twin: {nodes: true},
	crowd: {nodes: true, count: true, long: true}, stall: {nodes: true, count: true}, reload: {nodes: true, count: true}, freeze: {nodes: true, long: true},
	upgrade: {nodes: true}, standby: {nodes: true, long: true}, scrape: {nodes: true, long: true}, "node_kill": {nodes: true}, "fault": {caches: true, long: true}, "errors": {caches: true, share: true, long: true},
}

// What operators do to nodes: to processes, so it is played on sockets only.
const (
	upgrade = "node_upgrade"
	standby = "node_standby"
	scrape  = "node_scrape"
	pause   = "node_pause"
	hang    = "node_hang"
	twin    = "node_twin"
	crowd   = "node_crowd"  // idle clients fill its descriptors
	stall   = "node_stall"  // clients stop in the middle of a request, and stay
	reload  = "node_reload" // it is told to read its configuration again, several times in a row
	freeze  = "node_freeze" // its process stands still for a moment that rules allow for
)

const longestFreeze = 0.15 // seconds that a process may be held up, with all rules kept

// What goes wrong between nodes.
const (
	cut   = "between_cut"
	loss  = "between_loss"
	twice = "between_twice"
	late  = "between_late"
)

// mostLongKB is the longest value there may be, in KiB.
const mostLongKB = 4096

// Value is a key's value by its usual one: of a share of the keys it is long, and the same wherever it is kept.
func (s *Scenario) Value(usual string) string {
	t := &s.Traffic
	if float64(crc32.ChecksumIEEE([]byte(usual))%1000) >= 1000*t.LongShare {
		return usual
	}
	return usual + strings.Repeat(" "+usual, max(0, t.LongKB<<10/(len(usual)+1)))
}

// Operated tells whether operators call nodes.
func (s *Scenario) Operated() bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool { return e.Do == upgrade || e.Do == standby || e.Do == scrape })
}

// InVirtualTime tells whether a script has what there is in virtual time only.
func (s *Scenario) InVirtualTime() bool {
	return s.Traffic.Skew > 0 || s.Network.LateShare > 0 || s.Network.LostShare > 0
}

// OnSockets tells whether a script does something to processes or between them, which virtual time does not have: it would pass there
// whatever nodes do.
func (s *Scenario) OnSockets() bool {
	return s.Operated() || s.Together != nil || s.Traffic.UntilKill || slices.ContainsFunc(s.Events, func(e Event) bool {
		return e.Do == pause || e.Do == hang || e.Do == twin || e.Do == crowd || e.Do == stall || e.Do == reload || e.Do == freeze
	})
}

// Faults of the wire.
var faults = []string{"refuse", "reset", "silent", "half", "garbage", stale}

// stale is the fault of an HTTP cache that answers with what it may not serve any more.
const stale = "stale"

func usual() Scenario {
	return Scenario{
		Seed: 1, Seconds: 30,
		Fleet: Fleet{Protocol: listeners.Meta, Nodes: 1, Caches: 12, Zones: []string{"a"}, Group: 4, Cores: 1, Queue: 12, Speed: [2]float64{1, 1}, Keys: 2000, Warm: true,
			ColdFrom: 0.4, ColdS: 5, FallMultiple: 3, FallS: 1, Connections: 600, HandshakeMs: 1, IdleS: 15},
		Origin:    Origin{Cores: 4, Queue: 64, WorkMs: 15, StallAt: 40, Stall: 2, FallMultiple: 3, FallS: 1},
		Network:   Network{OneWayMs: 0.2, CrossZoneMs: 5, ClientMs: 0.5, Jitter: 0.2},
		Discovery: Discovery{NoticeS: [2]float64{0.3, 1}},
		Allowed: Allowed{Mode: "aside", MaxAttempts: 3, Hedging: true, Cancel: true, Probes: true, RetryAfterMs: 600, GraceMs: 400,
			ConnectMs: 100, WastePrice: 0.04},
		Traffic: Traffic{Protocol: listeners.Meta, PerSecond: 300, Keys: 5000, Zipf: 0.9, WaveS: 30, Jitter: 0.5},
	}
}

// Read reads a script from a file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the script cannot be read: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a script. What is wrong with it is told with its line.
func Parse(file string, text []byte) (*Scenario, error) {
	s := usual()
	c, err := strictconfig.Parse(file, text, &s)
	if err != nil {
		return nil, err
	}
	s.check(c)
	if err := c.Err(); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(file[strings.LastIndexByte(file, '/')+1:], ".toml")
	}
	return &s, nil
}

func (s *Scenario) check(c *strictconfig.Checker) {
	c.InRange(s.Seconds, 1, mostSeconds, "seconds")
	f := &s.Fleet
	c.InRange(float64(f.Nodes), 1, mostNodes, "fleet.nodes")
	c.InRange(float64(f.Stated), 0, mostNodes, "fleet.stated")
	c.InRange(float64(f.Caches), 1, mostCaches, "fleet.caches")
	c.InRange(float64(f.Cores), 1, 1024, "fleet.cores")
	c.InRange(float64(f.Queue), 0, 1e6, "fleet.queue")
	c.InRange(float64(f.Keys), 1, mostKeys, "fleet.keys")
	c.InRange(float64(f.Group), 1, mostCaches, "fleet.group")
	c.InRange(float64(f.Connections), 1, 1e6, "fleet.connections")
	c.InRange(f.Speed[0], 0.001, 1000, "fleet.speed")
	c.InRange(f.Speed[1], f.Speed[0], 1000, "fleet.speed")
	c.InRange(f.ColdFrom, 0.01, 1, "fleet.cold_from")
	c.InRange(f.ColdS, 0, mostSeconds, "fleet.cold_s")
	c.InRange(f.FallMultiple, 0, 1e6, "fleet.fall_multiple")
	c.Require(f.FallMultiple == 0 || f.FallS > 0, "fleet.fall_s", "a multiple that fells a cache needs a time over which it counts")
	c.InRange(f.FallS, 0, mostSeconds, "fleet.fall_s")
	c.InRange(f.HandshakeMs, 0, 1000, "fleet.handshake_ms")
	c.InRange(f.IdleS, 0.1, mostSeconds, "fleet.idle_s")
	c.Require(f.Protocol == listeners.Meta || f.Protocol == listeners.HTTP, "fleet.protocol", "%q is neither %s nor %s", f.Protocol, listeners.Meta, listeners.HTTP)
	c.Require(f.Protocol != listeners.HTTP || s.Traffic.Protocol == listeners.HTTP && !f.Reports, "fleet.protocol", "caches speak http only where clients do, and tell no load")
	c.Require(s.Traffic.Protocol == listeners.Meta || s.Traffic.Protocol == listeners.HTTP, "traffic.protocol", "%q is neither %s nor %s", s.Traffic.Protocol, listeners.Meta, listeners.HTTP)
	c.Require(len(f.Zones) > 0, "fleet.zones", "names no zone")
	o := &s.Origin
	c.InRange(float64(o.Cores), 1, 1024, "origin.cores")
	c.InRange(float64(o.Queue), 0, 1e6, "origin.queue")
	c.InRange(o.WorkMs, 0.01, 1e5, "origin.work_ms")
	c.InRange(float64(o.StallAt), 1, 1e6, "origin.stall_at")
	c.InRange(o.Stall, 1, 1000, "origin.stall")
	c.InRange(o.FallMultiple, 0, 1e6, "origin.fall_multiple")
	c.InRange(o.FallS, 0, mostSeconds, "origin.fall_s")
	for path, ms := range map[string]float64{"network.one_way_ms": s.Network.OneWayMs, "network.cross_zone_ms": s.Network.CrossZoneMs,
		"network.client_ms": s.Network.ClientMs, "network.late_ms": s.Network.LateMs, "allowed.come_back_ms": s.Allowed.RetryAfterMs, "allowed.grace_ms": s.Allowed.GraceMs,
		"allowed.connect_ms": s.Allowed.ConnectMs, "allowed.slack_ms": s.Allowed.SlackMs, "allowed.late_answer_ms": s.Allowed.LateAnswerMs} {
		c.InRange(ms, 0, 1e5, path)
	}
	c.InRange(s.Network.Jitter, 0, 1, "network.jitter")
	c.InRange(s.Network.LateShare, 0, 1, "network.late_share")
	c.InRange(s.Network.LostShare, 0, 1, "network.lost_share")
	c.InRange(s.Discovery.NoticeS[0], 0, mostSeconds, "discovery.notice_s")
	c.InRange(s.Discovery.NoticeS[1], s.Discovery.NoticeS[0], mostSeconds, "discovery.notice_s")
	for path, ms := range map[string]float64{"discovery.watch_ms": s.Discovery.WatchMs, "discovery.whole_ms": s.Discovery.WholeMs,
		"discovery.backlog_ms": s.Discovery.BacklogMs} {
		c.InRange(ms, 0, 1e5, path)
	}
	c.Require(s.Allowed.Mode == "aside" || s.Allowed.Mode == "through", "allowed.mode", "%q is neither aside nor through", s.Allowed.Mode)
	c.InRange(float64(s.Allowed.MaxAttempts), 1, 100, "allowed.most_legs")
	c.InRange(s.Allowed.WastePrice, 0, 100, "allowed.waste_price")
	t := &s.Traffic
	c.InRange(t.PerSecond, 0, mostRate, "traffic.per_second")
	c.InRange(t.Swing, 0, 1, "traffic.swing")
	c.InRange(t.WaveS, 0, mostSeconds, "traffic.wave_s")
	c.InRange(float64(t.Keys), 1, mostKeys, "traffic.keys")
	c.InRange(t.Zipf, 0, 5, "traffic.zipf")
	c.InRange(t.Jitter, 0, 10, "traffic.jitter")
	c.InRange(t.Skew, 0, 5, "traffic.skew")
	c.InRange(t.Leaves, 0, 1, "traffic.leaves")
	c.InRange(t.LeaveMs, 0, 1e5, "traffic.leave_ms")
	c.Require(t.Leaves == 0 || t.LeaveMs > 0, "traffic.leave_ms", "clients that leave do so after some time")
	c.InRange(t.Short, 0, 1, "traffic.short")
	c.InRange(t.ShortMs, 0, 1e5, "traffic.short_ms")
	c.Require(t.Short == 0 || t.ShortMs > 0, "traffic.short_ms", "clients that wait less do so for some time")
	c.InRange(t.LongShare, 0, 1, "traffic.long_share")
	c.InRange(float64(t.LongKB), 0, mostLongKB, "traffic.long_kb")
	c.Require(t.LongShare == 0 || t.Protocol == listeners.Meta, "traffic.long_share", "values are long only by %s", listeners.Meta)
	s.checkGrades(c)
	s.checkEvents(c)
	s.checkExpect(c)
	s.checkLevels(c)
	s.checkTogether(c)
}

func (s *Scenario) checkGrades(c *strictconfig.Checker) {
	c.Require(len(s.Classes) > 0, "grade", "no grade is stated, so nothing can be asked")
	names, sum := map[string]bool{}, 0.0
	for i := range s.Classes {
		g, at := &s.Classes[i], fmt.Sprintf("grade.%d.", i)
		g.Tries, g.Effect, g.Scope = cmp.Or(g.Tries, 1), cmp.Or(g.Effect, "idempotent"), cmp.Or(g.Scope, "all")
		c.Require(g.Name != "" && !strings.ContainsAny(g.Name, " ,=\r\n"), at+"name", "%q is no name", g.Name)
		c.Require(!names[g.Name], at+"name", "%q stands twice", g.Name)
		names[g.Name] = true
		_, known := effects[g.Effect]
		c.Require(known, at+"effect", "%q is none of idempotent, labelled, irreversible", g.Effect)
		_, known = scopes[g.Scope]
		c.Require(known, at+"scope", "%q is none of all, zone, group", g.Scope)
		c.InRange(g.Share, 0, 1e6, at+"share")
		c.InRange(g.Benefit, 0, 1e6, at+"benefit")
		c.InRange(g.SoftMs, 1, 1e6, at+"soft_ms")
		c.InRange(g.HardMs, g.SoftMs, 1e6, at+"hard_ms")
		c.InRange(g.WorkMs, 0.01, 1e5, at+"work_ms")
		c.InRange(g.WindowS, 0, mostSeconds, at+"window_s")
		c.InRange(float64(g.Tries), 1, 20, at+"tries")
		c.Require(g.Effect == "idempotent" || g.Write, at+"effect", "a read is idempotent")
		c.Require(g.Effect != "labelled" || !g.Write || g.WindowS > 0, at+"window_s", "a labelled grade needs a window")
		sum += g.Share
	}
	c.Require(len(s.Classes) == 0 || sum > 0, "grade.0", "all shares are 0, so nothing is asked")
}

func (s *Scenario) checkEvents(c *strictconfig.Checker) {
	c.Require(len(s.Events) <= mostEvents, "event", "more than %d events", mostEvents)
	added := 0
	for _, e := range s.Events {
		if e.Do == "add" {
			added += max(1, e.Count)
		}
	}
	for i := range s.Events {
		e, at := &s.Events[i], fmt.Sprintf("event.%d.", i)
		k, known := kinds[e.Do]
		c.Require(known, at+"do", "%q is nothing that can be done", e.Do)
		if !known {
			continue
		}
		c.InRange(e.AtS, 0, s.Seconds, at+"at_s")
		c.InRange(e.ForS, 0, mostSeconds, at+"for_s")
		c.InRange(e.Part, 0, 1, at+"part")
		c.Require(!k.long || e.ForS > 0, at+"for_s", "%s needs how long it lasts", e.Do)
		ways := 0
		for _, stated := range []bool{len(e.Caches) > 0, e.Part > 0, e.Zone != ""} {
			if stated {
				ways++
			}
		}
		c.Require(!k.caches || ways == 1, at+"caches", "%s needs either names of caches, a part of them or a zone", e.Do)
		c.Require(k.caches || len(e.Caches) == 0 && e.Zone == "" && (k.nodes || e.Part == 0), at+"caches", "%s concerns no caches", e.Do)
		c.Require(e.Zone == "" || slices.Contains(s.Fleet.Zones, e.Zone), at+"zone", "there is no zone %q", e.Zone)
		c.InRange(e.OverS, 0, mostSeconds, at+"over_s")
		c.Require(e.OverS == 0 || k.caches || k.nodes || e.Do == "add", at+"over_s", "%s happens at once", e.Do)
		c.Require(e.Do != "discovery_slow" || s.Discovery.WatchMs > 0, at+"do", "discovery has no bound, so that it can't be slow")
		for _, name := range e.Caches {
			n, err := strconv.Atoi(strings.TrimPrefix(name, "c"))
			c.Require(err == nil && strings.HasPrefix(name, "c") && n >= 1 && n <= s.Fleet.Caches+added, at+"caches", "there is no server %q", name)
		}
		c.Require(!k.count || e.Count > 0, at+"count", "%s needs how many", e.Do)
		c.Require(e.Do != freeze || e.ForS <= longestFreeze, at+"for_s", "%s lasts %g s at most", e.Do, longestFreeze)
		c.Require(!k.nodes || (len(e.Nodes) > 0) != (e.Part > 0), at+"nodes", "%s needs either numbers of nodes or a part of them", e.Do)
		for _, n := range e.Nodes {
			c.Require(n >= 1 && n <= s.Fleet.Nodes, at+"nodes", "there is no node %d", n)
		}
		if k.factor {
			c.InRange(e.Factor, 0.01, 1000, at+"factor")
		} else {
			c.Require(e.Factor == 0, at+"factor", "%s takes no factor", e.Do)
		}
		if k.share {
			c.InRange(e.Share, 0.001, 1, at+"share")
		} else {
			c.Require(e.Share == 0, at+"share", "%s takes no share", e.Do)
		}
		c.Require(e.Do != twin || s.Together != nil, at+"do", "nodes do not know one another: there is no [together]")
		c.Require(!k.pairs || s.Together != nil, at+"do", "nodes say nothing to each other: there is no [together]")
		c.Require(k.pairs || len(e.From)+len(e.To) == 0 && !e.Both && e.TurnS == 0, at+"from", "%s is not between nodes", e.Do)
		for _, n := range slices.Concat(e.From, e.To) {
			c.Require(n >= 1 && n <= s.Fleet.Nodes, at+"from", "there is no node %d", n)
		}
		c.InRange(e.TurnS, 0, mostSeconds, at+"turn_s")
		if k.late {
			c.InRange(e.LateMs, 1, 1e5, at+"late_ms")
		} else {
			c.Require(e.LateMs == 0, at+"late_ms", "%s makes nothing late", e.Do)
		}
		c.InRange(float64(e.Rank), 0, float64(s.Traffic.Keys-1), at+"rank")
		c.InRange(float64(e.Count), 0, mostCaches, at+"count")
		c.Require(e.Do != "shrink" || e.Count < s.Fleet.Caches, at+"count", "a fleet of %d can't shrink by %d", s.Fleet.Caches, e.Count)
		c.Require(e.Do != "fault" || slices.Contains(faults, e.Fault), at+"fault", "%q is none of %s", e.Fault, strings.Join(faults, ", "))
		c.Require(e.Fault != stale || s.Fleet.Protocol == listeners.HTTP, at+"fault", "only caches that speak http keep what is stale")
		c.Require(e.Do == "fault" || e.Fault == "", at+"fault", "%s takes no fault", e.Do)
		c.Require(e.Do != "origin_slow" || s.Allowed.Mode == "aside", at+"do", "there is no origin in through mode")
	}
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
	c.InRange(s.Expect.OriginMost, 0, 1e6, "expect.origin_most_per_s")
	c.InRange(s.Expect.RecoveredBy, 0, s.Seconds, "expect.recovered_by_s")
	for _, name := range sorted(s.Expect.MostPerS) {
		c.Require(slices.Contains(Counted, name), "expect.most_per_s", "%q is none of %s", name, strings.Join(Counted, ", "))
	}
	c.InRange(s.Expect.Excess, 0, 100, "expect.most_legs_per_request")
	c.Require(s.Expect.Views == nil || s.Together != nil && *s.Expect.Views >= 0, "expect.most_view_changes", "is for nodes that know one another, and not under 0")
}

func sorted(m map[string]float64) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

var (
	effects = map[string]policy.Idempotency{"idempotent": policy.Idempotent, "labelled": policy.IdempotentByKey, "irreversible": policy.NotIdempotent}
	scopes  = map[string]policy.DedupScope{"all": policy.AllCaches, "zone": policy.SameZone, "group": policy.SameGroup}
)

// Span turns seconds into whole nanoseconds.
func Span(seconds float64) time.Duration { return time.Duration(math.Round(seconds * 1e9)) }

func ms(x float64) time.Duration { return Span(x / 1000) }

// Long is how long it plays.
func (s *Scenario) Long() time.Duration { return Span(s.Seconds) }

// Terms are the grades as the world has them.
func (s *Scenario) Terms() (gs []world.Class) {
	for _, g := range s.Classes {
		gs = append(gs, world.Class{Name: g.Name, Write: g.Write, Deadline: ms(g.HardMs), Work: ms(g.WorkMs), Share: g.Share, Tries: g.Tries,
			ServiceClass: policy.ServiceClass{PriorityWeight: g.Benefit, LatencyObjective: ms(g.SoftMs), Idempotency: effects[g.Effect], DedupScope: scopes[g.Scope], DedupWindow: Span(g.WindowS)}})
	}
	return gs
}

// Cache is the n-th cache's traits, from 1, those that are added among them.
func (s *Scenario) Cache(n int) world.Traits {
	f := &s.Fleet
	chance := keyhash.Source{Seed: uint32(s.Seed) ^ uint32(n)*2654435761}
	speed := f.Speed[0] + (f.Speed[1]-f.Speed[0])*chance.Float64()
	return world.Traits{ID: policy.EndpointID(fmt.Sprintf("c%d", n)), Zone: policy.ZoneID(f.Zones[(n-1)%len(f.Zones)]),
		Group: policy.GroupID((n - 1) / f.Group), Cores: f.Cores, Queue: f.Queue, Speed: speed, Weight: speed * float64(f.Cores),
		Keys: f.Keys, ColdFrom: f.ColdFrom, ColdFor: Span(f.ColdS), FallMultiple: f.FallMultiple, FallFor: Span(f.FallS),
		Connections: f.Connections, Handshake: ms(f.HandshakeMs)}
}

// World is the world at its start.
func (s *Scenario) World(hearer world.Observer) world.Plan {
	p := world.Plan{Classes: s.Terms(), Seed: uint32(s.Seed), Hearer: hearer, Origin: world.OriginTraits{Cores: s.Origin.Cores, Queue: s.Origin.Queue,
		Work: ms(s.Origin.WorkMs), StallAt: s.Origin.StallAt, Stall: s.Origin.Stall, FallMultiple: s.Origin.FallMultiple, FallFor: Span(s.Origin.FallS)}}
	if s.Allowed.Mode == "through" {
		p.Mode = world.Through
	}
	for n := range s.Fleet.Caches {
		p.Caches = append(p.Caches, s.Cache(n+1))
	}
	return p
}

// Asks is what clients ask.
func (s *Scenario) Asks() world.TrafficPlan {
	return world.TrafficPlan{PerSecond: s.Traffic.PerSecond, Swing: s.Traffic.Swing, Wave: Span(s.Traffic.WaveS), Keys: s.Traffic.Keys,
		Zipf: s.Traffic.Zipf, Classes: s.Terms(), Seed: uint32(s.Seed) ^ 0x5eed, Jitter: s.Traffic.Jitter,
		Leaves: s.Traffic.Leaves, LeaveMost: Span(s.Traffic.LeaveMs / 1000),
		Short: s.Traffic.Short, ShortMost: Span(s.Traffic.ShortMs / 1000)}
}

// Chosen returns the caches that an event concerns, in the order of their names' hashes where it chooses by a part.
func (s *Scenario) Chosen(e *Event) (ids []policy.EndpointID) {
	for _, name := range e.Caches {
		ids = append(ids, policy.EndpointID(name))
	}
	if e.Zone == "" && (e.Part == 0 || kinds[e.Do].nodes) {
		return ids
	}
	for n := range s.Fleet.Caches {
		if c := s.Cache(n + 1); e.Zone == "" || c.Zone == policy.ZoneID(e.Zone) {
			ids = append(ids, c.ID)
		}
	}
	if e.Zone == "" {
		ids = part(ids, e.Part, int(s.Seed), func(id policy.EndpointID) string { return string(id) })
	}
	return ids
}

// Members returns the numbers of the nodes that an event concerns, from 1.
func (s *Scenario) Members(e *Event) []int {
	if !kinds[e.Do].nodes || e.Part == 0 {
		return e.Nodes
	}
	numbers := make([]int, s.Fleet.Nodes)
	for n := range numbers {
		numbers[n] = n + 1
	}
	return part(numbers, e.Part, int(s.Seed), func(n int) string { return "n" + strconv.Itoa(n) })
}

// part takes a share of some, by the hash of their names.
func part[T any](all []T, share float64, seed int, name func(T) string) []T {
	score := func(one T) uint64 { return keyhash.Salted(keyhash.String(name(one)), seed) }
	slices.SortFunc(all, func(a, b T) int { return cmp.Compare(score(a), score(b)) })
	return all[:max(1, int(math.Round(share*float64(len(all)))))]
}

// ZoneOf is where a node stands, by its number from 0.
func (s *Scenario) ZoneOf(node int) string {
	if !s.Fleet.Spread {
		return s.Fleet.Zones[0]
	}
	return s.Fleet.Zones[node%len(s.Fleet.Zones)]
}

// Registry is what discovery can bear.
func (s *Scenario) Registry() *world.Registry {
	d := &s.Discovery
	return &world.Registry{Whole: max(ms(d.WholeMs), ms(d.WatchMs)), Watch: ms(d.WatchMs), Backlog: ms(d.BacklogMs)}
}

// Repeat lets the events come round again, as often as the script's time has room for them.
func (s *Scenario) Repeat() {
	round := 0.0
	for _, e := range s.Events {
		round = max(round, e.AtS+e.ForS)
	}
	round = math.Ceil(round) + repeatAfter
	once := s.Events
	s.Events = nil
	for from := 0.0; from < s.Seconds; from += round {
		for _, e := range once {
			if e.AtS += from; e.AtS < s.Seconds && len(s.Events) < mostEvents {
				s.Events = append(s.Events, e)
			}
		}
	}
}

func (s *Scenario) checkLevels(c *strictconfig.Checker) {
	if len(s.Levels) == 0 {
		return
	}
	if terms, err := s.TermsAt(""); err == nil { // else the grades are at fault, and told
		listeners.CheckLevels(c, s.Levels, &terms)
	}
}
