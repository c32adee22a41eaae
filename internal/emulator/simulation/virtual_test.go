package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/emulator/baselines"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/policy"
	"dahliapin/rehearsals"
)

func load(t testing.TB, name string) *scenario.Scenario {
	t.Helper()
	text, ok := rehearsals.Text(name)
	if !ok {
		t.Fatalf("no rehearsal %q", name)
	}
	s, err := scenario.Parse(name, text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t testing.TB, s *scenario.Scenario, name string, m Maker) *report.Report {
	t.Helper()
	r, _, err := Play(s, name, m)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A change of the module that makes a shipped rehearsal worse than it promises shows here, in seconds and without a kit.
func TestTheModuleMeetsEachRehearsal(t *testing.T) {
	if testing.Short() {
		t.Skip("one goroutine plays it: the race detector has nothing to see, and takes a minute")
	}
	for _, name := range rehearsals.Names() {
		if name == alone {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if load(t, name).OnSockets() {
				t.Skip("plays on sockets only")
			}
			meets(t, name)
		})
	}
}

// alone has a test of its own, so that KNOWN-RED.txt can name it without the others.
const alone = "join-short"

func TestTheModuleMeetsJoinShort(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	meets(t, alone)
}

func meets(t *testing.T, name string) {
	t.Helper()
	if r := play(t, load(t, name), "module", Module); !r.Good() {
		var said strings.Builder
		r.Print(&said)
		t.Error(said.String())
	}
}

// What differs between two runs of one seed can't be compared with anything. Maps, of which there are many, have no order.
func TestTheSameSeedGivesTheSameBytes(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	text := func(seed int64) string {
		s := load(t, "moves")
		s.Seed, s.Seconds, s.Fleet.Nodes = seed, 38, 3
		s.Discovery.WatchMs, s.Discovery.WholeMs, s.Discovery.BacklogMs = 30, 60, 40                       // calls wait, and some are refused
		s.Events = append(s.Events, scenario.Event{AtS: 9, Do: "silent", Caches: []string{"c1"}, ForS: 2}, // each break sorts legs
			scenario.Event{AtS: 12, Do: "node_kill", Nodes: []int{2}, ForS: 1})
		r := play(t, s, "module", Module)
		a, err := json.Marshal(r)
		b, bad := json.Marshal(r.Records)
		if err != nil || bad != nil {
			t.Fatal(err, bad)
		}
		return string(a) + string(b)
	}
	first := text(4)
	for range 2 {
		if text(4) != first {
			t.Fatal("two runs of one seed differ")
		}
	}
	if text(5) == first {
		t.Error("another seed changes nothing")
	}
}

// A slow cache is to be found in the same order and about the same time whatever the seed: else no rehearsal could be
// compared with what was recorded.
func TestASlowQuarterIsAvoidedInTheSameOrder(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for seed := range int64(5) {
		s := load(t, "slow-quarter")
		s.Seed = seed + 100
		r := play(t, s, "module", Module)
		c2, c5, c9 := r.FirstOf("c2", eventlog.EndpointAvoided), r.FirstOf("c5", eventlog.EndpointAvoided), r.FirstOf("c9", eventlog.EndpointAvoided)
		if c2 < 15 || c2 > 20 || c5 < 15 || c5 > 25 || c9 >= 0 && c9 < min(c2, c5) {
			t.Errorf("seed %d: c2 (9 times slower) at %v, c5 (6) at %v, c9 (3) at %v", s.Seed, c2, c5, c9)
		}
		for _, e := range r.Records {
			if slow := e.Server == "c2" || e.Server == "c5" || e.Server == "c9"; e.Kind == eventlog.EndpointAvoided && e.Node == report.FleetsBook && !slow {
				t.Errorf("seed %d: %v", s.Seed, e)
			}
		}
	}
}

// wrong is a decider that breaks one rule; the host carries out what it says.
type wrong struct {
	dispatch.Decider
	how string
	r   policy.Settings
	ids []policy.EndpointID
}

func (w *wrong) UpdateEndpoints(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	w.Decider.UpdateEndpoints(now, form, entries)
	for _, e := range entries {
		if e.Kind != w.r.OriginKind {
			w.ids = append(w.ids, e.ID)
		}
	}
}

func (w *wrong) Route(now policy.Instant, r *policy.Request) policy.Decision {
	m := w.Decider.Route(now, r)
	switch by := r.Deadline; {
	case len(r.Attempts) > 0 || r.Finished:
	case w.how == "to one that drains" && !r.Write: // each starts at the first it ever heard of
		m.SendTo, m.AttemptDeadline = w.ids[:1], by
	case w.how == "to the newest only" && !r.Write:
		m.SendTo, m.AttemptDeadline = w.ids[len(w.ids)-1:], by
	case w.how == "beside" && !r.Write:
		m.SendTo, m.AttemptDeadline = w.ids[:3], by
	case w.how == "twice" && r.Write:
		m.SendTo, m.AttemptDeadline = []policy.EndpointID{"origin", "origin"}, by
	case w.how == "too late" && !r.Write:
		m.Answer, m.SendTo, m.ReviewAt = policy.NoAnswer, nil, now.Add(time.Second)
	}
	return m
}

// The judge stands behind virtual runs as behind those on sockets: a decider that breaks a rule is caught there too.
func TestADeciderThatBreaksARuleIsCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for how, rule := range map[string]int{"": 0, "to one that drains": 3, "to the newest only": 4, "beside": 2, "twice": 2, "too late": 1} {
		s := load(t, "moves")
		s.Seconds, s.Fleet.Nodes, s.Allowed.Hedging = 24, 1, false
		s.Classes[2].Effect, s.Classes[2].WindowS = "irreversible", 0
		s.Events = []scenario.Event{{AtS: 3, Do: "drain", Caches: []string{"c4"}, ForS: 9}, {AtS: 5, Do: "add", Count: 1}}
		if how == "to one that drains" {
			s.Events[0].Caches = []string{"c1"}
		}
		r := play(t, s, how, func(now policy.Instant, seed int64, rules policy.Settings) dispatch.Decider {
			return &wrong{Decider: policy.New(now, seed, rules), how: how, r: rules}
		})
		if rule == 0 && r.Rules != [4]uint64{} || rule > 0 && r.Rules[rule-1] == 0 {
			t.Errorf("%q: %v %v", how, r.Rules, r.Breaches[:min(3, len(r.Breaches))])
		}
	}
}

// What 80 nodes do together in cases that no script of its own plays: sixty cold caches at once, which fell by the dozen when each
// node sent them what it thought fit; nearly all nodes back with an old list while discovery says nothing; and a cache that
// errs while a node meets it less than once in ten seconds, which cost each of them its own lesson, and is to be used again.
func TestHardCasesOfManyNodes(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	sixty, silent, rare := load(t, "join"), load(t, "herd"), load(t, "join")
	sixty.Fleet.FallMultiple, sixty.Fleet.FallS, sixty.Seconds = 1.5, 0.3, 16
	sixty.Traffic.PerSecond, sixty.Origin.Cores, sixty.Origin.StallAt, sixty.Fleet.ColdFrom = 1500, 60, 400, 0.05
	sixty.Events = []scenario.Event{{AtS: 6, Do: "add", Count: 60}}
	silent.Events = []scenario.Event{{AtS: 7, Do: "discovery_down", ForS: 10}, {AtS: 8, Do: "node_kill", Part: 0.99}}
	rare.Traffic.PerSecond, rare.Seconds = 110, 60
	rare.Events = []scenario.Event{{AtS: 5, Do: "errors", Caches: []string{"c9"}, Share: 1, ForS: 30}}
	for name, c := range map[string]struct {
		s             *scenario.Scenario
		calls, inVain int
	}{"sixty": {sixty, 300, 400}, "silent": {silent, 200, 250}, "rare": {rare, 100, 10}} {
		r := play(t, c.s, "module", Module)
		if r.Rules != [4]uint64{} || r.Gain < 0.97 || r.Most("list_calls") > c.calls || r.Most("vain_legs") > c.inVain {
			t.Errorf("%s: rules %v, benefit in time %.3f, list calls %d and legs in vain %d in a second", name, r.Rules, r.Gain,
				r.Most("list_calls"), r.Most("vain_legs"))
		}
		all := 0
		for _, sec := range r.Course {
			all += sec.Vain
		}
		if name == "rare" && (all > 90 || r.Servers[8].Legs < 100) {
			t.Errorf("%d legs in vain in all, %d to the cache that erred", all, r.Servers[8].Legs)
		}
	}
}

// loops asks again at once, for ever.
type loops struct{ dispatch.Decider }

func (loops) Route(now policy.Instant, r *policy.Request) policy.Decision {
	return policy.Decision{ReviewAt: now}
}

// A decider that never comes to an end is told as such; a run that hung would tell nothing.
func TestADeciderThatLoopsIsTold(t *testing.T) {
	_, _, err := Play(load(t, "moves"), "loops", func(now policy.Instant, seed int64, rules policy.Settings) dispatch.Decider {
		return loops{policy.New(now, seed, rules)}
	})
	if err == nil || !strings.Contains(err.Error(), "loops") {
		t.Error(err)
	}
}

// Baselines that broke rules would be no measure: where the origin has room they keep them, through restarts and faults.
func TestBaselinesKeepTheRules(t *testing.T) {
	for _, name := range baselines.Names {
		m, err := baselines.Make(name)
		if err != nil {
			t.Fatal(err)
		}
		s := load(t, "bad-wires")
		s.Traffic.PerSecond = 200
		s.Classes[2].Scope = "group"
		s.Events = append(s.Events, scenario.Event{AtS: 10, Do: "drain", Caches: []string{"c2"}, ForS: 3})
		r := play(t, s, name, Maker(m))
		if r.Rules != [4]uint64{} || r.Gain < 0.9 {
			t.Errorf("%s: %v %v %v", name, r.Rules, r.Gain, r.Breaches)
		}
	}
	if _, err := baselines.Make("best"); err == nil {
		t.Error("made what there is not")
	}
}

// Size is a fleet as grown: few requests a second at each of many nodes.
func size(nodes, caches int, perSecond, seconds float64) *scenario.Scenario {
	s, err := scenario.Parse("size", fmt.Appendf(nil, `
seconds = %g
[fleet]
nodes = %d
caches = %d
speed = [0.9, 1.3]
keys = 1000
[origin]
cores = %d
stall_at = %d
queue = %d
[traffic]
per_second = %g
keys = 50000
[[grade]]
name = "read"
share = 1
benefit = 1
soft_ms = 80
hard_ms = 400
work_ms = 20
tries = 2
[[event]]
at_s = %g
do = "slow"
part = 0.25
factor = 5
for_s = %g
`, seconds, nodes, caches, caches/2, 4*caches, 8*caches, perSecond, seconds/3, seconds/3))
	if err != nil {
		panic(err)
	}
	return s
}

// Virtual time at size: what a second of it costs, and how that grows.
func BenchmarkVirtualTime(b *testing.B) {
	for _, c := range []struct {
		nodes, caches int
		rate          float64
	}{{1, 12, 300}, {100, 50, 1000}, {400, 190, 3400}} {
		b.Run(fmt.Sprintf("%dx%d", c.nodes, c.caches), func(b *testing.B) {
			for b.Loop() {
				began := time.Now()
				r, run, err := Play(size(c.nodes, c.caches, c.rate, 6), "module", Module)
				if err != nil || r.Rules != [4]uint64{} {
					b.Fatal(err, r.Rules, r.Breaches)
				}
				b.ReportMetric(float64(run.Decided)/time.Since(began).Seconds(), "decisions/s")
				b.ReportMetric(time.Since(began).Seconds()/6, "wall-s/s")
			}
		})
	}
}
