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

// shortSkipReason is why go test -short, with which the race detector runs, skips tests that run scenarios.
const shortSkipReason = "a run uses one goroutine, in which the race detector finds nothing"

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

// mustRun runs a scenario and fails the test if it cannot be run.
func mustRun(t testing.TB, s *scenario.Scenario, name string, newDecider DeciderFactory) *report.Report {
	t.Helper()
	r, _, err := Run(s, name, newDecider)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a change of the policy module with which a shipped rehearsal no longer meets its expectations.
func TestModuleMeetsTheExpectationsOfEachRehearsal(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason + ", and would take a minute")
	}
	for _, name := range rehearsals.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if loadRehearsal(t, name).NeedsSockets() {
				t.Skip("runs on sockets only")
			}
			checkExpectations(t, name)
		})
	}
}

func checkExpectations(t *testing.T, name string) {
	t.Helper()
	if r := mustRun(t, loadRehearsal(t, name), "module", Module); !r.Passed() {
		var text strings.Builder
		r.Print(&text)
		t.Error(text.String())
	}
}

// Runs of one seed would differ, and could not be compared, if the iteration order of a map had an effect. The scenario
// has polls that wait, polls that are refused, and connections that break while many attempts use them.
func TestSameSeedGivesTheSameReport(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
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
		r := mustRun(t, s, "module", Module)
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

// Only slow caches are ejected, in the same order and at about the same time with any seed. Otherwise no rehearsal
// could be compared with recorded ones.
func TestSlowCachesAreEjectedInTheSameOrderForAnySeed(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	for seed := range int64(5) {
		s := loadRehearsal(t, "slow-quarter")
		s.Seed = seed + 100
		r := mustRun(t, s, "module", Module)
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

// brokenDecider breaks one invariant by its decisions, which the dispatcher carries out.
type brokenDecider struct {
	dispatch.Decider
	violation string
	settings  policy.Settings
	caches    []policy.EndpointID
}

func (d *brokenDecider) UpdateEndpoints(now policy.Instant, kind policy.UpdateKind, entries []policy.Endpoint) {
	d.Decider.UpdateEndpoints(now, kind, entries)
	for _, e := range entries {
		if e.Kind != d.settings.OriginKind {
			d.caches = append(d.caches, e.ID)
		}
	}
}

func (d *brokenDecider) Route(now policy.Instant, r *policy.Request) policy.Decision {
	decision := d.Decider.Route(now, r)
	switch {
	case len(r.Attempts) > 0 || r.Finished:
	case d.violation == "attempt at a draining cache" && !r.Write:
		// Every attempt goes to the first cache of the first endpoint list.
		decision.SendTo = d.caches[:1]
		decision.AttemptDeadline = r.Deadline
	case d.violation == "attempts at the newest cache only" && !r.Write:
		decision.SendTo = d.caches[len(d.caches)-1:]
		decision.AttemptDeadline = r.Deadline
	case d.violation == "hedge" && !r.Write:
		decision.SendTo = d.caches[:3]
		decision.AttemptDeadline = r.Deadline
	case d.violation == "write sent twice" && r.Write:
		decision.SendTo = []policy.EndpointID{"origin", "origin"}
		decision.AttemptDeadline = r.Deadline
	case d.violation == "answer too late" && !r.Write:
		decision.Answer = policy.NoAnswer
		decision.SendTo = nil
		decision.ReviewAt = now.Add(time.Second)
	}
	return decision
}

// The checker reports a decider that breaks an invariant in virtual time, as it does on sockets.
func TestCheckerCatchesADeciderThatBreaksAnInvariant(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	for violation, rule := range map[string]int{
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
		if violation == "attempt at a draining cache" {
			s.Events[0].Caches = []string{"c1"}
		}
		r := mustRun(t, s, violation, func(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider {
			return &brokenDecider{Decider: policy.New(now, seed, settings), violation: violation, settings: settings}
		})
		if rule == 0 && r.Rules != [4]uint64{} || rule > 0 && r.Rules[rule-1] == 0 {
			t.Errorf("%q: breaches by rule %v, the first are %v",
				violation, r.Rules, r.Breaches[:min(3, len(r.Breaches))])
		}
	}
}

// Covers effects of many nodes in three cases that no rehearsal has. Sixty caches are added at once; they failed by the
// dozen when each node decided by itself how much to send to a cold cache. Nearly all nodes restart with an old
// endpoint list while discovery is down. A cache fails that each node uses less than once in ten seconds, so that each
// node had to get errors of its own before it avoided the cache; the cache must be used again afterwards.
func TestManyNodesWasteFewAttemptsAndPolls(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	sixtyAdded := loadRehearsal(t, "join")
	sixtyAdded.Fleet.FallMultiple = 1.5
	sixtyAdded.Fleet.FallS = 0.3
	sixtyAdded.Fleet.ColdFrom = 0.05
	sixtyAdded.Seconds = 16
	sixtyAdded.Traffic.PerSecond = 1500
	sixtyAdded.Origin.Cores = 60
	sixtyAdded.Origin.StallAt = 400
	sixtyAdded.Events = []scenario.Event{{AtS: 6, Do: "add", Count: 60}}
	restart := loadRehearsal(t, "herd")
	restart.Events = []scenario.Event{{AtS: 7, Do: "discovery_down", ForS: 10}, {AtS: 8, Do: "node_kill", Part: 0.99}}
	rareUse := loadRehearsal(t, "join")
	rareUse.Traffic.PerSecond = 110
	rareUse.Seconds = 60
	rareUse.Events = []scenario.Event{{AtS: 5, Do: "errors", Caches: []string{"c9"}, Share: 1, ForS: 30}}
	for name, c := range map[string]struct {
		scenario  *scenario.Scenario
		maxPolls  int // polls of the endpoint list per second
		maxWasted int // wasted attempts per second
	}{
		"sixty caches added":        {scenario: sixtyAdded, maxPolls: 300, maxWasted: 400},
		"restart without discovery": {scenario: restart, maxPolls: 200, maxWasted: 250},
		"rarely used cache fails":   {scenario: rareUse, maxPolls: 100, maxWasted: 10},
	} {
		r := mustRun(t, c.scenario, "module", Module)
		polls := r.MaxPerSecond("list_calls")
		wasted := r.MaxPerSecond("vain_legs")
		if r.Rules != [4]uint64{} || r.BenefitInTime < 0.97 || polls > c.maxPolls || wasted > c.maxWasted {
			t.Errorf("%s: breaches %v, benefit in time %.3f, at most %d polls and %d wasted attempts per second",
				name, r.Rules, r.BenefitInTime, polls, wasted)
		}
		allWasted := 0
		for _, second := range r.Timeline {
			allWasted += second.Wasted
		}
		toFailed := r.Servers[8].Attempts
		if name == "rarely used cache fails" && (allWasted > 90 || toFailed < 100) {
			t.Errorf("%d wasted attempts in all, %d attempts at the cache that failed", allWasted, toFailed)
		}
	}
}

// loopingDecider always asks to be called again at once.
type loopingDecider struct{ dispatch.Decider }

func (loopingDecider) Route(now policy.Instant, r *policy.Request) policy.Decision {
	return policy.Decision{ReviewAt: now}
}

// A decider that always asks to be called again at once must end the run with an error that states the cause.
// Otherwise the run would hang.
func TestDeciderThatLoopsEndsTheRunWithAnError(t *testing.T) {
	newDecider := func(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider {
		return loopingDecider{policy.New(now, seed, settings)}
	}
	_, _, err := Run(loadRehearsal(t, "moves"), "loops", newDecider)
	if err == nil || !strings.Contains(err.Error(), "loops") {
		t.Error(err)
	}
}

// Baselines are only comparable with the module if they keep the invariants, also through restarts, drains and faults.
// The origin has enough capacity here.
func TestBaselinesKeepTheInvariants(t *testing.T) {
	for _, name := range baselines.Names {
		newDecider, err := baselines.Make(name)
		if err != nil {
			t.Fatal(err)
		}
		s := loadRehearsal(t, "bad-wires")
		s.Traffic.PerSecond = 200
		s.Classes[2].Scope = "group"
		s.Events = append(s.Events, scenario.Event{AtS: 10, Do: "drain", Caches: []string{"c2"}, ForS: 3})
		r := mustRun(t, s, name, DeciderFactory(newDecider))
		if r.Rules != [4]uint64{} || r.BenefitInTime < 0.9 {
			t.Errorf("%s: breaches by rule %v, benefit in time %.3f, breaches %v",
				name, r.Rules, r.BenefitInTime, r.Breaches)
		}
	}
	if _, err := baselines.Make("best"); err == nil {
		t.Error("created a baseline that does not exist")
	}
}

// fleetOfSize returns a scenario with a fleet of a given size, in which a quarter of the caches are slow for a third of
// the time.
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

// BenchmarkVirtualTime measures the cost of a second of virtual time, which grows with the fleet.
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
