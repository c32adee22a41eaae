package world

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dahliapin/policy"
)

const (
	// demandWindow is the time constant of the exponential average of the work that arrives at the origin.
	demandWindow = 500 * time.Millisecond
	// restartDelay is the time until a cache that failed from overload restarts.
	restartDelay = 3 * time.Second
)

// Overload describes the load under which a server failed.
type Overload struct {
	What string
	// InformedShare is the share of the load that came from nodes that knew that the server had started; 1 for the
	// origin.
	InformedShare float64
}

// arrival is a request that arrived at a cold cache.
type arrival struct {
	at          policy.Instant
	work        time.Duration
	knewOfStart bool // its node knew of the cache's last start
}

// checkOverload adds a request's work to the load of a server and acts on an overload. A cold cache fails at once. The
// origin is reported as overloaded after the excess has lasted for FallFor, and continues to run, at a lower speed if
// its queue is long (see OriginTraits.StallAt).
func (w *World) checkOverload(now policy.Instant, s *Server, work time.Duration, knewOfStart bool) {
	switch {
	case s.FallMultiple <= 0 || s.Liveness != Up:
	case s.origin == nil:
		w.checkColdCache(now, s, arrival{at: now, work: work, knewOfStart: knewOfStart})
	default:
		w.checkOrigin(now, s, work)
	}
}

// checkColdCache sums the work that all nodes together sent to a cold cache within FallFor, in requests of mean work.
// The limit follows from the cache's warmth now and from its mean speed within FallFor: what was sent before a fault
// made the cache slower was within the limit then. An excess over the limit N of up to 2*sqrt(N)+2 is tolerated as
// random variation.
func (w *World) checkColdCache(now policy.Instant, s *Server, latest arrival) {
	if s.SpeedShare(now) >= 1 {
		s.arrivals = nil
		return
	}
	s.arrivals = append(s.arrivals, latest)
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return now.Since(a.at) >= s.FallFor })
	received, informed := 0.0, 0.0
	for _, a := range s.arrivals {
		received += float64(a.work) / float64(w.meanWork)
		if a.knewOfStart {
			informed += float64(a.work) / float64(w.meanWork)
		}
	}
	capacity := s.SpeedShare(now) * s.meanWarmSpeed(now, s.FallFor) * float64(s.Cores)
	limit := s.FallMultiple * capacity * float64(s.FallFor) / float64(w.meanWork)
	limit += 2*math.Sqrt(limit) + 2
	w.MaxColdLoad = max(w.MaxColdLoad, received/limit)
	if received <= limit {
		return
	}
	s.arrivals = nil
	overload := Overload{
		What: fmt.Sprintf("received %.1f requests of mean work within %v while cold, limit %.1f",
			received, s.FallFor, limit),
		InformedShare: informed / received,
	}
	w.plan.Observer.ServerOverloaded(now, s.ID, overload)
	number := w.byID[s.ID]
	w.Kill(now, number)
	s.restartsAt = now.Add(restartDelay)
	w.wakes.Push(s.restartsAt, wake{server: number})
}

// checkOrigin averages the work arriving at the origin and reports a lasting excess.
func (w *World) checkOrigin(now policy.Instant, s *Server, work time.Duration) {
	s.demand *= math.Exp(-float64(now.Since(s.demandAt)) / float64(demandWindow))
	s.demandAt = now
	s.demand += float64(work) / float64(demandWindow)
	capacity := s.Speed * float64(s.Cores)
	if s.demand <= s.FallMultiple*capacity {
		s.overloadedSince = 0
		return
	}
	if s.overloadedSince == 0 {
		s.overloadedSince = now
	}
	if now.Since(s.overloadedSince) < s.FallFor {
		return
	}
	s.overloadedSince = 0
	what := fmt.Sprintf("received %.1f times its capacity for %v", s.demand/capacity, s.FallFor)
	w.plan.Observer.ServerOverloaded(now, s.ID, Overload{What: what, InformedShare: 1})
}
