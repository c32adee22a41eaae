package world

import (
	"time"

	"dahliapin/policy"
)

// loadReportInterval is the time between load reports of a server: the load on a reply is as old as that at most.
const loadReportInterval = 500 * time.Millisecond

// Liveness says whether a server's process runs.
type Liveness int

// The states of a server's process.
const (
	Up     Liveness = iota
	Down            // connections are refused, open ones are broken
	Silent          // nothing is answered, nothing refused
)

// Server is one cache or the origin. It has more fields than most types, as it stands for a whole process: its
// exported part is read by the shell, its unexported part is written by the world only.
type Server struct {
	CacheTraits
	Liveness        Liveness
	State           policy.Lifecycle // in the endpoint list; written by the runner
	StartedAt       policy.Instant   // 0 for long ago
	OpenConnections int              // written by the shell
	Hits            uint64
	Misses          uint64

	origin          *OriginTraits // nil at a cache
	queue           serverQueue[Job]
	store           *lruStore
	idempotencyKeys *idempotencyKeys // the origin's own; those of caches are the world's
	slow            float64          // times slower than its traits
	coresTaken      float64          // share of its cores that other programs take

	demand          float64 // at the origin: work a second that arrives, averaged over demandWindow
	demandAt        policy.Instant
	overloadedSince policy.Instant // at the origin: since when demand is too high; 0 for not
	arrivals        []arrival      // at a cold cache, within FallFor
	restartsAt      policy.Instant // of a cache that fell over; 0 for not

	wakeGeneration uint64 // of the latest wake; earlier ones do nothing
	load           float64
	loadAt         policy.Instant // when load was last measured
}

// SpeedShare is the share of its speed that a server has at an instant: less than 1 while it warms up.
func (s *Server) SpeedShare(now policy.Instant) float64 {
	if s.StartedAt == 0 || s.ColdFor <= 0 {
		return 1
	}
	return min(1, s.ColdFrom+(1-s.ColdFrom)*max(0, float64(now.Since(s.StartedAt)))/float64(s.ColdFor))
}

// Frozen tells whether a server is paused at an instant.
func (s *Server) Frozen(now policy.Instant) bool { return now < s.queue.frozenUntil }

// speed is the work that each core of a server does now in a unit of time.
func (w *World) speed(s *Server) float64 {
	speed := s.Speed / s.slow * (1 - s.coresTaken)
	if s.origin == nil {
		return speed * s.SpeedShare(w.now)
	}
	if s.queue.length() >= s.origin.StallAt && s.origin.Stall > 1 {
		speed /= s.origin.Stall
	}
	return speed
}

// reportedLoad is the number of jobs as of the last load report, which it renews when that is due.
func (s *Server) reportedLoad(now policy.Instant) float64 {
	if now.Since(s.loadAt) >= loadReportInterval {
		s.load = float64(s.queue.length())
		s.loadAt = now
	}
	return s.load
}
