package simulation

import (
	"slices"
	"testing"
	"time"

	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
)

// soakSchedules are the schedules of the soak's test that CI runs with processes.
func soakSchedules() []*scenario.Scenario {
	const seeds, seconds = 6, 20
	return scenario.Soaks(1, seeds, seconds)
}

// inVirtualTime removes from a soak's schedule what exists on sockets only: the faults of processes and their clients.
func inVirtualTime(s *scenario.Scenario) {
	s.Traffic.UntilKill = false
	s.Events = slices.DeleteFunc(s.Events, func(e scenario.Event) bool {
		single := *s
		single.Events = []scenario.Event{e}
		return single.NeedsSockets()
	})
}

// A soak finds only what its schedules can show. Two kinds of broken nodes were never found, though the checker knows
// the rules that they break: the caches were never so busy that a cold one failed under the load of a warm one, and no
// attempt at a write ever failed after its deduplication window. Nodes with these faults must break the rule within the
// schedules that CI runs, and the module must break no rule in them.
func TestSoakSchedulesShowBrokenSettings(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	for _, test := range []struct {
		name string
		rule int // 0 for none
		do   func(*policy.Settings)
	}{
		{"module", 0, func(*policy.Settings) {}},
		{"takes cold caches for warm", 4, func(settings *policy.Settings) {
			settings.SlowStartShare = 1
			settings.OverloadFactor = 1000
		}},
		{"repeats writes after the deduplication window", 2, func(settings *policy.Settings) {
			settings.Classes = slices.Clone(settings.Classes)
			for i := range settings.Classes {
				settings.Classes[i].DedupWindow = time.Hour
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var broken [4]uint64 // breaches by rule, from 1
			for _, s := range soakSchedules() {
				r := runSoakSchedule(t, s, test.do)
				for rule, breaches := range r.Rules {
					broken[rule] += breaches
				}
				if test.rule == 0 && r.Rules != [4]uint64{} {
					t.Errorf("%s: %v", s.Name, r.Breaches)
				}
			}
			if test.rule > 0 && broken[test.rule-1] == 0 {
				t.Errorf("rule %d is not broken: %v", test.rule, broken)
			}
		})
	}
}

// runSoakSchedule runs a schedule against the module with changed settings.
func runSoakSchedule(t *testing.T, s *scenario.Scenario, change func(*policy.Settings)) *report.Report {
	t.Helper()
	inVirtualTime(s)
	return mustRun(t, s, "module", func(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider {
		change(&settings)
		return policy.New(now, seed, settings)
	})
}

// Without hedging, an attempt must not start while an earlier one of the same request may still run, beyond the slack of
// virtual time. In a long soak two drawn schedules broke this rule.
func TestModuleOverlapsNoAttemptsInDrawnSchedules(t *testing.T) {
	const seconds = 20
	seeds := []int{26, 189}
	drawn := scenario.Soaks(1, int64(slices.Max(seeds)), seconds)
	for _, seed := range seeds {
		s := drawn[seed-1]
		t.Run(s.Name, func(t *testing.T) {
			r := runSoakSchedule(t, s, func(*policy.Settings) {})
			if r.Rules != [4]uint64{} {
				t.Errorf("rules %v are broken: %v", r.Rules, r.Breaches)
			}
		})
	}
}
