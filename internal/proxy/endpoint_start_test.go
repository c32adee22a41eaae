package proxy

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/policy"
)

// The list states starts of endpoints by the wall clock, which may be stepped by an hour while the node runs. After a
// step back, an endpoint that was started anew counted as warmed up for an hour, and all nodes together would have
// overloaded it; after a step forward it counted as warming up for an hour.
func TestEndpointStartsAfterWallClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		r, err := New(Config{
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
		stepped := time.Duration(0)
		r.clock.wall = func() time.Time { return time.Now().Add(stepped) }
		stated := func(ago time.Duration) int64 { return r.clock.wall().Add(-ago).UnixMilli() }
		hear := func(form policy.UpdateKind, startedAt int64) policy.Instant {
			news, err := r.endpoints.watch.reader.Read(fmt.Appendf(nil, `{"generation":1,"instances":[
{"instanceId":"c","hostPort":"127.0.0.1:1","lifecycle":"in_service","zone":"z","startedAtMs":%d}]}`, startedAt))
			if err != nil {
				t.Fatal(err)
			}
			r.applyEndpointList(&news, form)
			r.endpoints.watch.updatedAt = r.now()
			return r.endpoints.byID["c"].start.at
		}
		near := func(what string, got policy.Instant, ago time.Duration) {
			t.Helper()
			if off := r.now().Since(got) - ago; off < -time.Millisecond || off > time.Second {
				t.Errorf("%v: %s %v ago, want %v", step, what, r.now().Since(got), ago)
			}
		}
		first := stated(3 * time.Minute)
		was := hear(policy.CompleteUpdate, first)
		near("first start", was, 3*time.Minute)
		stepped = step
		old := r.endpoints.byID["c"]
		if again := hear(policy.CompleteUpdate, first); again != was || r.endpoints.byID["c"] != old {
			t.Errorf("%v: the same start became another one", step)
		}
		near("a start after the step", hear(policy.DeltaUpdate, stated(500*time.Millisecond)), 500*time.Millisecond)
		if r.endpoints.byID["c"] == old {
			t.Errorf("%v: a start after the step is taken for none", step)
		}
		r.Shutdown()
		r.Run()
	}
}

// A start that is stated before a step of the wall clock and read after it is off by the step. What that makes of the
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
			t.Errorf("%v: it started %v ago", step, late)
		}
	}
}

// steppedProxy is a proxy of which only the clock and the list matter; its wall clock is off by what is pointed to.
func steppedProxy(off *time.Duration) *Proxy {
	wall := func() time.Time { return time.Now().Add(*off) }
	return &Proxy{clock: clock{startedAt: time.Now().Add(-3 * time.Hour), wall: wall}}
}

var wallClockSteps = []time.Duration{2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// A step while an endpoint warms up leaves its start where it is, whoever is told of it again.
func TestEndpointStartStaysAfterWallClockStepInSlowStart(t *testing.T) {
	for _, step := range wallClockSteps {
		off := time.Duration(0)
		p := steppedProxy(&off)
		stated := float64(time.Now().Add(-time.Second).UnixMilli())
		known := &knownEndpoint{start: p.processStartOf(nil, stated)}
		off = step
		if again := p.processStartOf(known, stated); again != known.start {
			t.Errorf("%v: the start has moved by %v", step, again.at.Since(known.start.at))
		}
	}
}

// A node whose clock is off when it has its first list takes endpoints for older or younger by as much, and never for
// started later than now: so one that warms up for long enough does so from then on.
func TestEndpointStartInTheFirstListIsOffByNoMoreThanTheClock(t *testing.T) {
	for _, step := range wallClockSteps {
		for _, age := range []time.Duration{time.Second, time.Minute, 2 * time.Hour} {
			off := step
			p := steppedProxy(&off)
			got := p.now().Since(p.processStartOf(nil, float64(time.Now().Add(-age).UnixMilli())).at)
			want := max(0, age+step)
			if got < want-time.Second || got > want+time.Second {
				t.Errorf("%v: one that started %v ago did so %v ago, want %v", step, age, got, want)
			}
			off = 0 // the clock is set right
			known := &knownEndpoint{start: processStart{statedMs: 1, at: p.now().Add(-got)}}
			if again := p.processStartOf(known, 1); again != known.start {
				t.Errorf("%v: setting the clock right has moved the start", step)
			}
		}
	}
}
