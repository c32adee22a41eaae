package world

import (
	"time"

	"dahliapin/policy"
)

const refusalWork = 0.3 // of a watch's work that turning a call away costs: who asks too often keeps it down by that alone

// Registry models what discovery can bear: one worker, and a bound on the work that may wait. A call that nobody waits for any
// more is worked on all the same.
type Registry struct {
	Whole, Watch time.Duration // work of a call for the whole list, and of a watch's answer
	Backlog      time.Duration // work that may wait; what comes beyond is refused
	slow         float64       // times its usual work
	free         policy.Instant
}

// Bounded tells whether there is a bound at all.
func (g *Registry) Bounded() bool { return g.Watch > 0 }

// Slow makes it so many times slower; 1 ends that.
func (g *Registry) Slow(times float64) { g.slow = times }

// Call takes a call and tells when it is answered, or that it is refused at once.
func (g *Registry) Call(now policy.Instant, whole bool) (at policy.Instant, taken bool) {
	work := float64(g.Watch)
	if whole {
		work = float64(g.Whole)
	}
	if g.slow > 0 {
		work *= g.slow
	}
	g.free = max(g.free, now)
	if taken = g.free.Since(now) <= g.Backlog; !taken {
		work *= refusalWork
	}
	g.free = g.free.Add(time.Duration(work))
	return g.free, taken
}
