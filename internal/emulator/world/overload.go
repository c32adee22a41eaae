package world

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dahliapin/policy"
)

const (
	// demandWindow is the time constant of the average of the work arriving at the origin.
	demandWindow = 500 * time.Millisecond
	// restartDelay is how long a cache is down after it failed from overload.
	restartDelay = 3 * time.Second
)

// arrival is a request that arrived at a cold cache.
type arrival struct {
	at   policy.Instant
	work time.Duration
}

// checkOverload checks whether a server receives too much work. A cold cache fails at once; the origin counts as
// overloaded once the excess has lasted for FallFor, and continues to run at its reduced speed.
func (w *World) checkOverload(now policy.Instant, s *Server, work time.Duration) {
	switch {
	case s.FallMultiple <= 0 || s.Liveness != Up:
	case s.origin == nil:
		w.checkColdCache(now, s, work)
	default:
		w.checkOrigin(now, s, work)
	}
}

// checkColdCache sums the work that arrived at a cold cache within FallFor, from all nodes together, in requests of
// mean work. An excess over the limit N of up to 2*sqrt(N)+2 is tolerated as random variation.
func (w *World) checkColdCache(now policy.Instant, s *Server, work time.Duration) {
	if s.SpeedShare(now) >= 1 {
		s.arrivals = nil
		return
	}
	s.arrivals = append(s.arrivals, arrival{at: now, work: work})
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return now.Since(a.at) >= s.FallFor })
	requested := 0.0
	for _, a := range s.arrivals {
		requested += float64(a.work) / float64(w.meanWork)
	}
	most := s.FallMultiple * w.speed(s) * float64(s.Cores) * float64(s.FallFor) / float64(w.meanWork)
	most += 2*math.Sqrt(most) + 2
	w.MaxColdLoad = max(w.MaxColdLoad, requested/most)
	if requested <= most {
		return
	}
	s.arrivals = nil
	why := fmt.Sprintf("%.1f requests of mean work within %v, where %.1f is the most", requested, s.FallFor, most)
	w.plan.Observer.ServerOverloaded(now, s.ID, why)
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
	why := fmt.Sprintf("asked for %.1f times what it can do, for %v", s.demand/capacity, s.FallFor)
	w.plan.Observer.ServerOverloaded(now, s.ID, why)
}
