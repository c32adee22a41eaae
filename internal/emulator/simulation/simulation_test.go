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

func loadRehearsal(t testing.TB, name string) *scenario.Scenario {
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

func play(t testing.TB, s *scenario.Scenario, name string, m DeciderFactory) *report.Report {
	t.Helper()
	r, _, err := Run(s, name, m)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a change of the policy module with which a shipped rehearsal no longer meets its expectations.
func TestModuleMeetsTheExpectationsOfEachRehearsal(t *testing.T) {
	if testing.Short() {
		t.Skip("one goroutine plays it: the race detector has nothing to see, and takes a minute")
	}
	for _, name := range rehearsals.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if loadRehearsal(t, name).NeedsSockets() {
				t.Skip("plays on sockets only")
			}
			checkExpectations(t, name)
		})
	}
}

func checkExpectations(t *testing.T, name string) {
	t.Helper()
	if r := play(t, loadRehearsal(t, name), "module", Module); !r.Passed() {
		var said strings.Builder
		r.Print(&said)
		t.Error(said.String())
	}
}

// Runs of one seed would differ if the order of a map had an effect, and could not be compared. The scenario has
// polls that wait, polls that are refused, and connections that break under many attempts.
func TestSameSeedGivesTheSameReport(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	text := func(seed int64) string {
		s := loadRehearsal(t, "moves")
		s.Seed = seed
		s.Seconds = 38
		s.Fleet.Nodes = 3
		s.Discovery.WatchMs = 30
		s.Discovery.WholeMs = 60
		s.Discovery.BacklogMs = 40
		s.Events = append(s.Events,
			scenario.Event{AtS: 9, Do: "silent", Caches: []string{"c1"}, ForS: 2},
			scenario.Event{AtS: 12, Do: "node_kill", Nodes: []int{2}, ForS: 1})
		r := play(t, s, "module", Module)
		summary, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		records, err := json.Marshal(r.Records)
		if err != nil {
			t.Fatal(err)
		}
		return string(summary) + string(records)
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

// Slow caches are ejected in the same order and at about the same time whatever the seed, and no cache that is not
// slow: else no rehearsal could be compared with recorded ones.
func TestSlowCachesAreEjectedInTheSameOrderForAnySeed(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for seed := range int64(5) {
		s := loadRehearsal(t, "slow-quarter")
		s.Seed = seed + 100
		r := play(t, s, "module", Module)
		c2 := r.FirstRecordAt("c2", eventlog.EndpointAvoided)
		c5 := r.FirstRecordAt("c5", eventlog.EndpointAvoided)
		c9 := r.FirstRecordAt("c9", eventlog.EndpointAvoided)
		if c2 < 15 || c2 > 20 || c5 < 15 || c5 > 25 || c9 >= 0 && c9 < min(c2, c5) {
			t.Errorf("seed %d: c2 (9 times slower) at %v, c5 (6) at %v, c9 (3) at %v", s.Seed, c2, c5, c9)
		}
		for _, e := range r.Records {
			isSlow := e.Server == "c2" || e.Server == "c5" || e.Server == "c9"
			if e.Kind == eventlog.EndpointAvoided && e.Node == report.FleetName && !isSlow {
				t.Errorf("seed %d: %v", s.Seed, e)
			}
		}
	}
}

// brokenDecider breaks one invariant; the dispatcher carries out what it decides.
type brokenDecider struct {
	dispatch.Decider
	fault    string
	settings policy.Settings
	caches   []policy.EndpointID
}

func (w *brokenDecider) UpdateEndpoints(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	w.Decider.UpdateEndpoints(now, form, entries)
	for _, e := range entries {
		if e.Kind != w.settings.OriginKind {
			w.caches = append(w.caches, e.ID)
		}
	}
}

func (w *brokenDecider) Route(now policy.Instant, r *policy.Request) policy.Decision {
	decision := w.Decider.Route(now, r)
	switch {
	case len(r.Attempts) > 0 || r.Finished:
	case w.fault == "attempt at a draining cache" && !r.Write: // each starts at the first cache of the first list
		decision.SendTo = w.caches[:1]
		decision.AttemptDeadline = r.Deadline
	case w.fault == "attempts at the newest cache only" && !r.Write:
		decision.SendTo = w.caches[len(w.caches)-1:]
		decision.AttemptDeadline = r.Deadline
	case w.fault == "hedge" && !r.Write:
		decision.SendTo = w.caches[:3]
		decision.AttemptDeadline = r.Deadline
	case w.fault == "write sent twice" && r.Write:
		decision.SendTo = []policy.EndpointID{"origin", "origin"}
		decision.AttemptDeadline = r.Deadline
	case w.fault == "answer too late" && !r.Write:
		decision.Answer = policy.NoAnswer
		decision.SendTo = nil
		decision.ReviewAt = now.Add(time.Second)
	}
	return decision
}

// The checker reports a decider that breaks an invariant in virtual time, as it does on sockets.
func TestCheckerCatchesADeciderThatBreaksAnInvariant(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for fault, rule := range map[string]int{
		"":                                  0,
		"attempt at a draining cache":       3,
		"attempts at the newest cache only": 4,
		"hedge":                             2,
		"write sent twice":                  2,
		"answer too late":                   1,
	} {
		s := loadRehearsal(t, "moves")
		s.Seconds = 24
		s.Fleet.Nodes = 1
		s.Allowed.Hedging = false
		s.Classes[2].Effect = "irreversible"
		s.Classes[2].WindowS = 0
		s.Events = []scenario.Event{
			{AtS: 3, Do: "drain", Caches: []string{"c4"}, ForS: 9},
			{AtS: 5, Do: "add", Count: 1},
		}
		if fault == "attempt at a draining cache" {
			s.Events[0].Caches = []string{"c1"}
		}
		r := play(t, s, fault, func(now policy.Instant, seed int64, rules policy.Settings) dispatch.Decider {
			return &brokenDecider{Decider: policy.New(now, seed, rules), fault: fault, settings: rules}
		})
		if rule == 0 && r.Rules != [4]uint64{} || rule > 0 && r.Rules[rule-1] == 0 {
			t.Errorf("%q: %v %v", fault, r.Rules, r.Breaches[:min(3, len(r.Breaches))])
		}
	}
}

// What many nodes do together in cases that no rehearsal plays: sixty cold caches at once, which fell over by the
// dozen when each node sent them what it thought fit; nearly all nodes back with an old endpoint list while discovery
// is down; and a cache that fails while a node uses it less than once in ten seconds, which once cost each node
// errors of its own, and is to be used again afterwards.
func TestManyNodesInHardCases(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	sixty := loadRehearsal(t, "join")
	sixty.Fleet.FallMultiple = 1.5
	sixty.Fleet.FallS = 0.3
	sixty.Fleet.ColdFrom = 0.05
	sixty.Seconds = 16
	sixty.Traffic.PerSecond = 1500
	sixty.Origin.Cores = 60
	sixty.Origin.StallAt = 400
	sixty.Events = []scenario.Event{{AtS: 6, Do: "add", Count: 60}}
	silent := loadRehearsal(t, "herd")
	silent.Events = []scenario.Event{{AtS: 7, Do: "discovery_down", ForS: 10}, {AtS: 8, Do: "node_kill", Part: 0.99}}
	rare := loadRehearsal(t, "join")
	rare.Traffic.PerSecond = 110
	rare.Seconds = 60
	rare.Events = []scenario.Event{{AtS: 5, Do: "errors", Caches: []string{"c9"}, Share: 1, ForS: 30}}
	for name, c := range map[string]struct {
		scenario  *scenario.Scenario
		maxPolls  int // of the endpoint list, in a second
		maxWasted int // attempts in vain in a second
	}{
		"sixty":  {scenario: sixty, maxPolls: 300, maxWasted: 400},
		"silent": {scenario: silent, maxPolls: 200, maxWasted: 250},
		"rare":   {scenario: rare, maxPolls: 100, maxWasted: 10},
	} {
		r := play(t, c.scenario, "module", Module)
		polls := r.MaxPerSecond("list_calls")
		wasted := r.MaxPerSecond("vain_legs")
		if r.Rules != [4]uint64{} || r.BenefitInTime < 0.97 || polls > c.maxPolls || wasted > c.maxWasted {
			t.Errorf("%s: breaches %v, benefit in time %.3f, polls %d and attempts in vain %d in a second",
				name, r.Rules, r.BenefitInTime, polls, wasted)
		}
		allWasted := 0
		for _, second := range r.Timeline {
			allWasted += second.Wasted
		}
		toFailed := r.Servers[8].Attempts
		if name == "rare" && (allWasted > 90 || toFailed < 100) {
			t.Errorf("%d attempts in vain in all, %d to the cache that failed", allWasted, toFailed)
		}
	}
}

// loopingDecider asks to be called again at once, for ever.
type loopingDecider struct{ dispatch.Decider }

func (loopingDecider) Route(now policy.Instant, r *policy.Request) policy.Decision {
	return policy.Decision{ReviewAt: now}
}

// A decider that asks to be called again at once would make the run hang, which says nothing of the cause.
func TestDeciderThatLoopsEndsTheRunWithAnError(t *testing.T) {
	newDecider := func(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider {
		return loopingDecider{policy.New(now, seed, settings)}
	}
	_, _, err := Run(loadRehearsal(t, "moves"), "loops", newDecider)
	if err == nil || !strings.Contains(err.Error(), "loops") {
		t.Error(err)
	}
}

// Baselines must keep the invariants to be a measure: they do so through restarts and faults, where the origin has
// capacity.
func TestBaselinesKeepTheInvariants(t *testing.T) {
	for _, name := range baselines.Names {
		m, err := baselines.Make(name)
		if err != nil {
			t.Fatal(err)
		}
		s := loadRehearsal(t, "bad-wires")
		s.Traffic.PerSecond = 200
		s.Classes[2].Scope = "group"
		s.Events = append(s.Events, scenario.Event{AtS: 10, Do: "drain", Caches: []string{"c2"}, ForS: 3})
		r := play(t, s, name, DeciderFactory(m))
		if r.Rules != [4]uint64{} || r.BenefitInTime < 0.9 {
			t.Errorf("%s: %v %v %v", name, r.Rules, r.BenefitInTime, r.Breaches)
		}
	}
	if _, err := baselines.Make("best"); err == nil {
		t.Error("made a baseline that does not exist")
	}
}

// fleetOfSize is a large fleet: few requests a second at each of many nodes.
func fleetOfSize(nodes, caches int, perSecond, seconds float64) *scenario.Scenario {
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

// What a second of virtual time costs, and how that grows with the fleet.
func BenchmarkVirtualTime(b *testing.B) {
	for _, c := range []struct {
		nodes, caches int
		rate          float64
	}{{1, 12, 300}, {100, 50, 1000}, {400, 190, 3400}} {
		b.Run(fmt.Sprintf("%dx%d", c.nodes, c.caches), func(b *testing.B) {
			for b.Loop() {
				began := time.Now()
				r, run, err := Run(fleetOfSize(c.nodes, c.caches, c.rate, 6), "module", Module)
				if err != nil || r.Rules != [4]uint64{} {
					b.Fatal(err, r.Rules, r.Breaches)
				}
				b.ReportMetric(float64(run.Decided)/time.Since(began).Seconds(), "decisions/s")
				b.ReportMetric(time.Since(began).Seconds()/6, "wall-s/s")
			}
		})
	}
}
