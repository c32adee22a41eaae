package world

import (
	"time"

	"dahliapin/policy"
)

// refusalWork is the work of refusing a poll, as a share of the work of an update. It makes nodes that poll too often
// keep an overloaded registry overloaded.
const refusalWork = 0.3

// Registry models the capacity of discovery: one worker, and a bound on the queued work. It also processes polls
// that no node waits for any more.
type Registry struct {
	CompleteWork time.Duration // work of a poll for the complete endpoint list
	UpdateWork   time.Duration // work of a poll for changes; 0 for a registry without bounds
	Backlog      time.Duration // work that may wait; polls beyond it are refused

	slowFactor float64        // factor by which all work is larger; 0 for 1
	busyUntil  policy.Instant // when all accepted work is done
}

// Bounded reports whether the registry's capacity is bounded.
func (g *Registry) Bounded() bool { return g.UpdateWork > 0 }

// Slow makes the registry slower by a factor; 1 restores its speed.
func (g *Registry) Slow(times float64) { g.slowFactor = times }

// Poll submits a poll for the complete list or for changes. It returns when the poll is answered and whether it is
// accepted.
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
