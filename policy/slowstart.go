package policy

import (
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// usableOverloadShare is the fraction of Settings.OverloadFactor that slow start uses. The rest is a margin for
	// random variation.
	usableOverloadShare = 0.67
	// gapScalingNodes is the number of nodes up to which the longest gap between attempts is SlowStartDuration. It
	// corresponds to an endpoint that gets about 160 attempts per SlowStartDuration from all nodes together. With more
	// nodes, each node's share of these is less than one attempt, so the limit on the gap grows with the number of
	// nodes.
	gapScalingNodes = 160.0
	// rateWindow is the time, in nanoseconds, that the answers in observedLoad.answered cover: halved on each decay,
	// they add up to two decay periods.
	rateWindow = 2 * ticksPerDecay * float64(tickPeriod)
)

// slowStart limits the load on an endpoint that is warming up. It prevents a crash loop: a cache that has just started
// fails under a load that it handles when warm, restarts, and fails again. Two limits apply at once: a share of the
// keys that grows with the endpoint's progress, so that all nodes send it the same keys; and a gap between attempts, so
// that a popular key or a retry storm cannot overload it.
type slowStart struct {
	settings       *Settings
	rng            *keyhash.Source
	keyShareFactor float64 // share of the keys sent to the endpoint, as a multiple of its progress; at least 1
	maxGap         float64 // longest gap between attempts, in nanoseconds
	// steadyRate is the number of attempts that a warm cache of weight 1 answered during rateWindow.
	steadyRate float64
}

func newSlowStart(settings *Settings, rng *keyhash.Source) slowStart {
	return slowStart{
		settings:       settings,
		rng:            rng,
		keyShareFactor: max(1, usableOverloadShare*settings.OverloadFactor),
		maxGap:         float64(settings.SlowStartDuration) * max(1, float64(settings.Nodes)/gapScalingNodes),
	}
}

// progress returns the fraction of its capacity that an endpoint is assumed to have now; 1 once it is warm.
func (s *slowStart) progress(now Instant, u *upstream) float64 {
	age := max(0, float64(now.Since(u.StartedAt))) / max(1, float64(s.settings.SlowStartDuration))
	return min(1, s.settings.SlowStartShare+(1-s.settings.SlowStartShare)*age)
}

// admits reports whether an endpoint may get an attempt for a key now. The first attempt is delayed by a random part of
// the gap; otherwise all nodes would send theirs as soon as the endpoint is listed.
func (s *slowStart) admits(now Instant, u *upstream, key uint64) bool {
	progress := s.progress(now, u)
	if progress >= 1 {
		return true
	}
	if u.nextAttemptAt == 0 {
		s.scheduleNext(now, u, s.rng.Float64())
	}
	keyAdmitted := float64(keyhash.Mix(key^u.hash)) <= s.keyShareFactor*progress*(1<<64)
	return keyAdmitted && now >= u.nextAttemptAt
}

// scheduleNext sets when the next attempt may start: after the given fraction of the gap, from 0 to 1.
func (s *slowStart) scheduleNext(now Instant, u *upstream, fraction float64) {
	gap := rateWindow / (s.keyShareFactor * s.progress(now, u) * s.steadyRate * u.Weight)
	u.nextAttemptAt = now.Add(time.Duration(fraction * min(s.maxGap, gap)))
}

// refreshRate recomputes the steady rate over all caches.
func (s *slowStart) refreshRate(now Instant, caches []*upstream) {
	answered := 0.0
	capacity := 0.0
	for _, u := range caches {
		answered += u.load.answered
		capacity += u.Weight * s.progress(now, u)
	}
	s.steadyRate = answered / max(capacity, 1e-9)
}
