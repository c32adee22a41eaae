package world

import (
	"slices"
	"time"

	"dahliapin/policy"
)

// loadReportInterval is the time between a server's load reports, and so the maximum age of the load in a reply.
const loadReportInterval = 500 * time.Millisecond

// Liveness is the state of a server's process.
type Liveness int

// The states of a server's process.
const (
	Up     Liveness = iota
	Down            // connections are refused and open ones broken
	Silent          // connections are neither answered nor refused
)

// Server is one cache or the origin. Its fields are the state of a whole process. The exported ones are read by the
// rig; the unexported ones are written only by the world.
type Server struct {
	CacheTraits
	Liveness        Liveness
	State           policy.Lifecycle // in the endpoint list; written by the runner
	StartedAt       policy.Instant   // 0 for long ago
	OpenConnections int              // written by the rig
	Hits            uint64
	Misses          uint64

	origin          *OriginTraits // nil at a cache
	queue           serverQueue[Job]
	store           *lruStore
	idempotencyKeys *idempotencyKeys // of the origin; those of caches are in World.sharedKeys
	slow            float64          // factor by which it is slower than its traits
	coresTaken      float64          // share of its cores that other programs use
	earlierSpeeds   []earlierSpeed   // warm speeds before recent changes, the oldest first

	demand          float64 // at the origin: work arriving per unit of time, averaged with demandWindow
	demandAt        policy.Instant
	overloadedSince policy.Instant // at the origin: since when demand is above the limit; 0 if it is not
	arrivals        []arrival      // at a cold cache, within FallFor
	restartsAt      policy.Instant // restart time of a cache that failed from overload; 0 for none

	wakeGeneration uint64 // of the latest wake; earlier wakes are ignored
	load           float64
	loadAt         policy.Instant // when load was last measured
}

// earlierSpeed is the warm speed that a server had until a fault changed it.
type earlierSpeed struct {
	until policy.Instant
	speed float64
}

// warmSpeed returns the speed that a server has, or would have once it is warm.
func (s *Server) warmSpeed() float64 { return s.Speed / s.slow * (1 - s.coresTaken) }

// recordSpeed records the warm speed before a change, and forgets those before a span of time.
func (s *Server) recordSpeed(now policy.Instant, span time.Duration) {
	s.earlierSpeeds = append(s.earlierSpeeds, earlierSpeed{until: now, speed: s.warmSpeed()})
	s.earlierSpeeds = slices.DeleteFunc(s.earlierSpeeds, func(e earlierSpeed) bool { return now.Since(e.until) > span })
}

// meanWarmSpeed returns the mean of the warm speed within a span of time that ends now; for no span, the speed now.
func (s *Server) meanWarmSpeed(now policy.Instant, span time.Duration) float64 {
	if span <= 0 {
		return s.warmSpeed()
	}
	from := now.Add(-span)
	sum := 0.0
	for _, earlier := range s.earlierSpeeds {
		if earlier.until > from {
			sum += earlier.speed * float64(earlier.until.Since(from))
			from = earlier.until
		}
	}
	sum += s.warmSpeed() * float64(now.Since(from))
	return sum / float64(span)
}

// SpeedShare returns a server's speed at an instant as a share of its full speed: less than 1 while it warms up.
func (s *Server) SpeedShare(now policy.Instant) float64 {
	if s.StartedAt == 0 || s.ColdFor <= 0 {
		return 1
	}
	return min(1, s.ColdFrom+(1-s.ColdFrom)*max(0, float64(now.Since(s.StartedAt)))/float64(s.ColdFor))
}

// Frozen reports whether a server is paused at an instant.
func (s *Server) Frozen(now policy.Instant) bool { return now < s.queue.frozenUntil }

// speed returns the work that each core of a server currently does in a unit of time.
func (w *World) speed(s *Server) float64 {
	speed := s.warmSpeed()
	if s.origin == nil {
		return speed * s.SpeedShare(w.now)
	}
	if s.queue.length() >= s.origin.StallAt && s.origin.Stall > 1 {
		speed /= s.origin.Stall
	}
	return speed
}

// reportedLoad returns the number of jobs as of the last load report, and makes a new report if one is due.
func (s *Server) reportedLoad(now policy.Instant) float64 {
	if now.Since(s.loadAt) >= loadReportInterval {
		s.load = float64(s.queue.length())
		s.loadAt = now
	}
	return s.load
}
