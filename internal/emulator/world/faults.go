package world

import (
	"time"

	"dahliapin/policy"
)

// Slow makes a server slower than its traits by a factor; 1 restores its speed.
func (w *World) Slow(now policy.Instant, server int, times float64) {
	w.change(now, server, func(s *Server) { s.slow = max(times, 1e-3) })
}

// TakeCores lets other programs use a share of a server's cores; 0 restores them.
func (w *World) TakeCores(now policy.Instant, server int, share float64) {
	w.change(now, server, func(s *Server) { s.coresTaken = min(max(share, 0), 0.99) })
}

// change applies a change of a server's speed, including to running jobs.
func (w *World) change(now policy.Instant, server int, do func(*Server)) {
	w.now = now
	s := w.Servers[server]
	s.queue.change(now, func() { do(s) })
	w.scheduleWake(server)
}

// Pause suspends a server's work for a time; its connections stay open.
func (w *World) Pause(now policy.Instant, server int, duration time.Duration) {
	w.now = now
	w.Servers[server].queue.freeze(now, now.Add(duration))
	w.scheduleWake(server)
}

// Kill terminates a server's process: its jobs and its values are lost.
func (w *World) Kill(now policy.Instant, server int) {
	w.now = now
	s := w.Servers[server]
	s.Liveness = Down
	s.queue.clear()
	s.wakeGeneration++
	s.store = newStore(s.Keys)
}

// Silence makes a server unreachable, as a network partition does: its jobs are lost, and requests to it get no
// answer.
func (w *World) Silence(now policy.Instant, server int) {
	w.Kill(now, server)
	w.Servers[server].Liveness = Silent
}

// Start starts a server that was down or silent, cold and empty.
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
