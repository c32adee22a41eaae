package world

import (
	"time"

	"dahliapin/policy"
)

// Slow makes a server slower by a factor, relative to its traits; 1 restores its speed.
func (w *World) Slow(now policy.Instant, server int, times float64) {
	w.change(now, server, func(s *Server) { s.slow = max(times, 1e-3) })
}

// TakeCores makes a share of a server's cores unavailable, as other programs on its host would; 0 restores them.
func (w *World) TakeCores(now policy.Instant, server int, share float64) {
	w.change(now, server, func(s *Server) { s.coresTaken = min(max(share, 0), 0.99) })
}

// change applies a change of a server's speed and adjusts the remaining time of its running jobs.
func (w *World) change(now policy.Instant, server int, apply func(*Server)) {
	w.now = now
	s := w.Servers[server]
	s.recordSpeed(now, s.FallFor)
	s.queue.change(now, func() { apply(s) })
	w.scheduleWake(server)
}

// Pause suspends a server's work for a duration; its connections stay open.
func (w *World) Pause(now policy.Instant, server int, duration time.Duration) {
	w.now = now
	w.Servers[server].queue.freeze(now, now.Add(duration))
	w.scheduleWake(server)
}

// Kill terminates a server's process: its jobs and its stored values are lost. A restart that was due after an overload
// does not take place.
func (w *World) Kill(now policy.Instant, server int) {
	w.now = now
	s := w.Servers[server]
	s.Liveness = Down
	s.restartsAt = 0
	s.queue.clear()
	s.wakeGeneration++
	s.store = newStore(s.Keys)
}

// Silence makes a server unreachable: requests to it get no answer, as in a network partition. Unlike in a partition,
// its jobs and its stored values are lost.
func (w *World) Silence(now policy.Instant, server int) {
	w.Kill(now, server)
	w.Servers[server].Liveness = Silent
}

// Start starts a server that was down or silent, with an empty store; a cache starts cold.
func (w *World) Start(now policy.Instant, server int) {
	w.now = now
	s := w.Servers[server]
	s.Liveness = Up
	s.StartedAt = now
	s.overloadedSince = 0
	s.demand = 0
	s.restartsAt = 0
	s.queue.frozenUntil = 0
}

// SetErrorRate makes a server fail a share of its jobs.
func (w *World) SetErrorRate(server int, share float64) { w.Servers[server].ErrorRate = share }

// RemoveKey removes a key from a cache, as a purge does, and reports whether it existed.
func (w *World) RemoveKey(server int, key string) bool {
	store := w.Servers[server].store
	existed := store.contains(key)
	store.remove(key)
	return existed
}

// RemoveAll removes all keys from a cache without restarting its process.
func (w *World) RemoveAll(server int) { w.Servers[server].store = newStore(w.Servers[server].Keys) }
