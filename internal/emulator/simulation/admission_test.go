package simulation

import (
	"fmt"
	"testing"

	"dahliapin/internal/emulator/scenario"
)

// admissionScenario has 6 nodes in front of 12 caches that store the data themselves, without an origin. A submission
// must not be repeated.
const admissionScenario = `
seconds = 30
[fleet]
nodes = 6
caches = 12
speed = [0.6, 1.5]
keys = 3000
queue = %g
connections = 600
handshake_ms = 7
cold_from = 0.5
cold_s = 4
idle_s = %g
[network]
late_share = %g
late_ms = 1500
lost_share = %g
[allowed]
mode = "through"
most_legs = 5
come_back_ms = 2500
connect_ms = 400
waste_price = 0.2
[traffic]
per_second = %g
[[grade]]
name = "read"
share = 0.86
benefit = 8
soft_ms = 450
hard_ms = 2000
work_ms = 42
tries = 2
[[grade]]
name = "submit"
share = 0.14
benefit = 20
soft_ms = 350
hard_ms = 1600
work_ms = 47
effect = "irreversible"
write = true
tries = 2
`

type admissionCase struct {
	queue      float64 // jobs that may wait at a cache
	idle       float64 // idle timeout of a cache in seconds
	late, lost float64 // shares of connections that are established late, and of answers that are lost
	rate       float64 // requests per second
	work       float64 // of a read, in ms
	short      float64 // share of clients that wait at most 120 ms
	minBenefit float64 // share of the benefit that is served in time
	maxWasted  int     // wasted attempts per second
}

func (c *admissionCase) scenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	text := fmt.Appendf(nil, admissionScenario, c.queue, c.idle, c.late, c.lost, c.rate)
	s, err := scenario.Parse("desk", text)
	if err != nil {
		t.Fatal(err)
	}
	s.Classes[0].WorkMs = c.work
	s.Traffic.Short = c.short
	s.Traffic.ShortMs = 120
	return s
}

// Admission control must react to overload only. It used to shed load in front of nearly idle caches when answers were
// lost, or when clients waited for less time than a healthy cache takes. Under real overload it must shed: few attempts
// are wasted, and the caches serve what they can.
func TestAdmissionShedsForOverloadNotForLostAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip(shortSkipReason)
	}
	for name, c := range map[string]admissionCase{
		"no fault": {
			queue: 8, idle: 15, rate: 110, work: 42, minBenefit: 0.99, maxWasted: 1,
		},
		"a third of connections late": {
			queue: 8, idle: 1, late: 0.33, rate: 110, work: 42, minBenefit: 0.94, maxWasted: 20,
		},
		"a fifth of answers lost": {
			queue: 8, idle: 15, lost: 0.2, rate: 110, work: 42, minBenefit: 0.72, maxWasted: 60,
		},
		"short client timeouts": {
			queue: 8, idle: 15, rate: 60, work: 90, short: 0.3, minBenefit: 0.8, maxWasted: 40,
		},
		"short client timeouts, a third of connections late": {
			queue: 8, idle: 1, late: 0.33, rate: 60, work: 90, short: 0.3, minBenefit: 0.72, maxWasted: 40,
		},
		"overload, short queues": {
			queue: 8, idle: 15, rate: 330, work: 42, minBenefit: 0.53, maxWasted: 400,
		},
		"overload, long queues": {
			queue: 100, idle: 15, rate: 330, work: 42, minBenefit: 0.54, maxWasted: 20,
		},
		"overload, short client timeouts": {
			queue: 100, idle: 15, rate: 330, work: 42, short: 0.5, minBenefit: 0.42, maxWasted: 260,
		},
		"overload, a tenth of answers lost": {
			queue: 8, idle: 15, lost: 0.1, rate: 300, work: 42, minBenefit: 0.5, maxWasted: 200,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := mustRun(t, c.scenario(t), "module", Module)
			wasted := r.MaxPerSecond("vain_legs")
			summary := fmt.Sprintf("breaches %v, benefit in time %.3f, at most %d wasted attempts per second",
				r.Rules, r.BenefitInTime, wasted)
			t.Log(summary)
			if r.Rules != [4]uint64{} || r.BenefitInTime < c.minBenefit || wasted > c.maxWasted {
				t.Error(summary)
			}
		})
	}
}
