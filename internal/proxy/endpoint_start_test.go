package proxy

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/policy"
)

// The list states start times by the wall clock, which may be stepped by an hour while the node runs. After a step
// back, a restarted endpoint counted as warmed up for an hour, and all nodes together would have overloaded it. After a
// step forward, it counted as warming up for an hour.
func TestEndpointStartsAfterWallClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		p, err := New(Config{
			Listen:          "127.0.0.1:0",
			Discovery:       "127.0.0.1:1",
			DescriptorLimit: 64,
			MemoryLimit:     16 << 20,
			Settings:        decodeTestSettings(t),
			Log:             discardLog(),
		})
		if err != nil {
			t.Fatal(err)
		}
		offset := time.Duration(0)
		p.clock.wall = func() time.Time { return time.Now().Add(offset) }
		stated := func(ago time.Duration) int64 { return p.clock.wall().Add(-ago).UnixMilli() }
		apply := func(kind policy.UpdateKind, startedAt int64) policy.Instant {
			list, err := p.endpoints.watch.reader.Read(fmt.Appendf(nil, `{"generation":1,"instances":[
{"instanceId":"c","hostPort":"127.0.0.1:1","lifecycle":"in_service","zone":"z","startedAtMs":%d}]}`, startedAt))
			if err != nil {
				t.Fatal(err)
			}
			p.applyEndpointList(&list, kind)
			p.endpoints.watch.updatedAt = p.now()
			return p.endpoints.byID["c"].start.at
		}
		checkAge := func(what string, got policy.Instant, ago time.Duration) {
			t.Helper()
			if off := p.now().Since(got) - ago; off < -time.Millisecond || off > time.Second {
				t.Errorf("step %v: %s %v ago, want %v", step, what, p.now().Since(got), ago)
			}
		}
		first := stated(3 * time.Minute)
		firstStart := apply(policy.CompleteUpdate, first)
		checkAge("first start", firstStart, 3*time.Minute)
		offset = step
		old := p.endpoints.byID["c"]
		if again := apply(policy.CompleteUpdate, first); again != firstStart || p.endpoints.byID["c"] != old {
			t.Errorf("step %v: an unchanged start time was treated as a restart", step)
		}
		checkAge("start after the step", apply(policy.DeltaUpdate, stated(500*time.Millisecond)), 500*time.Millisecond)
		if p.endpoints.byID["c"] == old {
			t.Errorf("step %v: a restart after the step was not detected", step)
		}
		p.Shutdown()
		p.Run()
	}
}

// A start time that is stated before a step of the wall clock and read after it is off by the step. The effect on the
// start must be bounded.
func TestEndpointStartStatedAcrossWallClockStepIsBounded(t *testing.T) {
	now := clockEpoch.Add(time.Hour)
	began := time.Now().Add(-now.Since(clockEpoch))
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		r := &Proxy{clock: clock{startedAt: began, wall: func() time.Time { return time.Now().Add(step) }}}
		r.endpoints.watch.updatedAt = now
		known := &knownEndpoint{start: processStart{statedMs: 5, at: clockEpoch}}
		got := r.processStartOf(known, float64(time.Now().Add(-time.Second).UnixMilli())).at
		if late := r.now().Since(got); late < 0 || late > maxAnnouncementDelay+time.Minute {
			t.Errorf("step %v: start is %v ago", step, late)
		}
	}
}

// steppedProxy returns a proxy with only a clock and a list, whose wall clock is off by *off.
func steppedProxy(off *time.Duration) *Proxy {
	wall := func() time.Time { return time.Now().Add(*off) }
	return &Proxy{clock: clock{startedAt: time.Now().Add(-3 * time.Hour), wall: wall}}
}

var wallClockSteps = []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// A step of the wall clock while an endpoint warms up must not move its start when the same start time is stated again.
func TestEndpointStartStaysAfterWallClockStepInSlowStart(t *testing.T) {
	for _, step := range wallClockSteps {
		off := time.Duration(0)
		p := steppedProxy(&off)
		stated := float64(time.Now().Add(-time.Second).UnixMilli())
		known := &knownEndpoint{start: p.processStartOf(nil, stated)}
		off = step
		if again := p.processStartOf(known, stated); again != known.start {
			t.Errorf("step %v: the start moved by %v", step, again.at.Since(known.start.at))
		}
	}
}

// A node whose clock is off when it receives its first list takes endpoints for older or younger by as much, but never
// for started in the future. A start time in the future counts as the present time.
func TestEndpointStartInTheFirstListIsOffByNoMoreThanTheClock(t *testing.T) {
	for _, step := range wallClockSteps {
		for _, age := range []time.Duration{time.Second, time.Minute, 2 * time.Hour} {
			off := step
			p := steppedProxy(&off)
			got := p.now().Since(p.processStartOf(nil, float64(time.Now().Add(-age).UnixMilli())).at)
			want := max(0, age+step)
			if got < want-time.Second || got > want+time.Second {
				t.Errorf("step %v: an endpoint started %v ago has a start %v ago, want %v", step, age, got, want)
			}
			off = 0 // the clock is corrected
			known := &knownEndpoint{start: processStart{statedMs: 1, at: p.now().Add(-got)}}
			if again := p.processStartOf(known, 1); again != known.start {
				t.Errorf("step %v: correcting the clock moved the start", step)
			}
		}
	}
}

// The list may state a number that no start time can have, whose conversion would depend on the processor. It must not
// make an old endpoint warm up, and a number that is not equal to itself must not look like a restart at each update.
func TestEndpointStartOutOfRangeIsNotStated(t *testing.T) {
	g := newHarness(t, 200, helloValue)
	for _, stated := range []string{"1e300", "-1e300", "1e13", "-1", "nan", "inf", "-inf"} {
		update := fmt.Appendf(nil, `{"generation":9,"instances":[{"instanceId":"s%[1]s","hostPort":"127.0.0.1:1",`+
			`"lifecycle":"in_service","zone":"z","startedAtMs":%[1]s}]}`, stated)
		apply := func() *knownEndpoint {
			applied := make(chan *knownEndpoint, 1)
			g.runInLoop(func() {
				list, err := g.endpoints.watch.reader.Read(update)
				if err != nil {
					t.Errorf("%s: %v", stated, err)
				}
				g.applyEndpointList(&list, policy.DeltaUpdate)
				applied <- g.endpoints.byID[policy.EndpointID("s"+stated)]
			})
			return receive(t, applied)
		}
		first := apply()
		if first == nil || first.start != (processStart{}) {
			t.Errorf("%s: endpoint is %+v, want one without a start time", stated, first)
		}
		if apply() != first {
			t.Errorf("%s: stating the same start time again counts as a restart", stated)
		}
	}
}
