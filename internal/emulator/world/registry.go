package world

import (
	"time"

	"dahliapin/policy"
)

// refusalWork is the work of refusing a poll, as a share of that of an update: nodes that poll too often keep an
// overloaded registry overloaded by that alone.
const refusalWork = 0.3

// Registry models the capacity of discovery: one worker, and a bound on the work that may wait. It also works on
// polls that nobody waits for any more.
type Registry struct {
	CompleteWork time.Duration // work of a poll for the complete endpoint list
	UpdateWork   time.Duration // work of a poll for changes; 0 for a registry without bounds
	Backlog      time.Duration // work that may wait; polls beyond it are refused

	slowFactor float64        // times its usual work; 0 for 1
	busyUntil  policy.Instant // when all accepted work is done
}

// Bounded tells whether the registry has a bound at all.
func (g *Registry) Bounded() bool { return g.UpdateWork > 0 }

// Slow makes the registry so many times slower; 1 ends that.
func (g *Registry) Slow(times float64) { g.slowFactor = times }

// Poll takes a poll, for the complete list or for changes. It returns when it is answered, and whether it is
// accepted: a refusal is answered at once.
func (g *Registry) Poll(now policy.Instant, complete bool) (answeredAt policy.Instant, accepted bool) {
	work := float64(g.UpdateWork)
	if complete {
		work = float64(g.CompleteWork)
	}
	if g.slowFactor > 0 {
		work *= g.slowFactor
	}
	g.busyUntil = max(g.busyUntil, now)
	accepted = g.busyUntil.Since(now) <= g.Backlog
	if !accepted {
		work *= refusalWork
	}
	g.busyUntil = g.busyUntil.Add(time.Duration(work))
	return g.busyUntil, accepted
}
