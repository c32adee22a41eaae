package simulation

import (
	"fmt"
	"testing"

	"dahliapin/internal/emulator/scenario"
)

// desk is a fleet of 12 caches that are the store themselves, under 6 nodes, before which a submission may not be repeated.
const desk = `
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

// The door is to guard against overload. Answers that never come, and clients that wait less than a good cache takes, shut it before
// caches that had next to nothing to do. Where there is too much, it shuts as ever: few legs are in vain, and what caches can do is done.
func TestTheDoorShutsForLoadAndNotForLosses(t *testing.T) {
	if testing.Short() {
		t.Skip("as above")
	}
	for name, c := range map[string]struct {
		queue, idle, late, lost, rate float64
		work, short                   float64 // of a read in ms; share of clients that wait 120 ms at the most
		gain                          float64 // benefit in time
		inVain                        int     // legs in a second
	}{
		"nothing wrong":                    {8, 15, 0, 0, 110, 42, 0, 0.99, 1},
		"a third come up late":             {8, 1, 0.33, 0, 110, 42, 0, 0.94, 20},
		"a fifth of answers lost":          {8, 15, 0, 0.2, 110, 42, 0, 0.72, 60},
		"clients in haste":                 {8, 15, 0, 0, 60, 90, 0.3, 0.8, 40},
		"in haste, a third come up late":   {8, 1, 0.33, 0, 60, 90, 0.3, 0.72, 40},
		"too much, short queues":           {8, 15, 0, 0, 330, 42, 0, 0.53, 400},
		"too much, long queues":            {100, 15, 0, 0, 330, 42, 0, 0.54, 20},
		"too much, clients in haste":       {100, 15, 0, 0, 330, 42, 0.5, 0.42, 260},
		"too much, and a tenth of answers": {8, 15, 0, 0.1, 300, 42, 0, 0.5, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Parse("desk", fmt.Appendf(nil, desk, c.queue, c.idle, c.late, c.lost, c.rate))
			if err != nil {
				t.Fatal(err)
			}
			s.Classes[0].WorkMs, s.Traffic.Short, s.Traffic.ShortMs = c.work, c.short, 120
			r := play(t, s, "module", Module)
			t.Logf("%s: rules %v, benefit in time %.3f, legs in vain in a second %d", name, r.Rules, r.Gain, r.Most("vain_legs"))
			if r.Rules != [4]uint64{} || r.Gain < c.gain || r.Most("vain_legs") > c.inVain {
				t.Errorf("rules %v, benefit in time %.3f, legs in vain in a second %d", r.Rules, r.Gain, r.Most("vain_legs"))
			}
		})
	}
}
