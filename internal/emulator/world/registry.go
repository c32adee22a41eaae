package world

import (
	"time"

	"dahliapin/policy"
)

// refusalWork is the work of refusing a poll, as a share of the work of answering it. Because of it, nodes that poll
// too often keep an overloaded registry overloaded.
const refusalWork = 0.3

// Registry models the capacity of discovery: one worker with a bounded queue of work. It also processes polls whose
// nodes have stopped waiting.
type Registry struct {
	CompleteWork time.Duration // work of a poll for the complete endpoint list
	UpdateWork   time.Duration // work of a poll for changes; 0 for unlimited capacity
	Backlog      time.Duration // maximum queued work; polls beyond it are refused

	slowFactor float64        // factor applied to all work; 0 is the same as 1
	busyUntil  policy.Instant // when all accepted work is done
}

// Bounded reports whether the registry's capacity is limited.
func (r *Registry) Bounded() bool { return r.UpdateWork > 0 }

// Slow makes the registry slower by a factor; 1 restores its speed.
func (r *Registry) Slow(times float64) { r.slowFactor = times }

// Poll submits a poll for the complete list or for changes. It returns when the poll is answered and whether it is
// accepted.
func (r *Registry) Poll(now policy.Instant, complete bool) (answeredAt policy.Instant, accepted bool) {
	work := float64(r.UpdateWork)
	if complete {
		work = float64(r.CompleteWork)
	}
	if r.slowFactor > 0 {
		work *= r.slowFactor
	}
	r.busyUntil = max(r.busyUntil, now)
	accepted = r.busyUntil.Since(now) <= r.Backlog
	if !accepted {
		work *= refusalWork
	}
	r.busyUntil = r.busyUntil.Add(time.Duration(work))
	return r.busyUntil, accepted
}
