package world

import (
	"time"

	"dahliapin/policy"
)

// Slow makes a server so many times slower than its traits; 1 ends that.
func (w *World) Slow(now policy.Instant, server int, times float64) {
	w.change(now, server, func(s *Server) { s.slow = max(times, 1e-3) })
}

// TakeCores lets other programs on the machine take a share of its cores; 0 ends that.
func (w *World) TakeCores(now policy.Instant, server int, share float64) {
	w.change(now, server, func(s *Server) { s.coresTaken = min(max(share, 0), 0.99) })
}

// change applies a change of a server's speed, also to running jobs.
func (w *World) change(now policy.Instant, server int, do func(*Server)) {
	w.now = now
	s := w.Servers[server]
	s.queue.change(now, func() { do(s) })
	w.scheduleWake(server)
}

// Pause stops a server's work for a time; its connections stay.
func (w *World) Pause(now policy.Instant, server int, duration time.Duration) {
	w.now = now
	w.Servers[server].queue.freeze(now, now.Add(duration))
	w.scheduleWake(server)
}

// Kill ends a server's process: its jobs and its values are gone.
func (w *World) Kill(now policy.Instant, server int) {
	w.now = now
	s := w.Servers[server]
	s.Liveness = Down
	s.queue.clear()
	s.wakeGeneration++
	s.store = newStore(s.Keys)
}

// Silence ends a server's process as a cut network does: its jobs are gone, and what is sent to it is lost
// unanswered.
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

// SetErrorRate has a server fail a share of its jobs.
func (w *World) SetErrorRate(server int, share float64) { w.Servers[server].ErrorRate = share }

// RemoveKey removes a key from a cache, as a purge does, and tells whether it was there.
func (w *World) RemoveKey(server int, key string) bool {
	store := w.Servers[server].store
	existed := store.contains(key)
	store.remove(key)
	return existed
}

// RemoveAll removes all keys from a cache whose process goes on.
func (w *World) RemoveAll(server int) { w.Servers[server].store = newStore(w.Servers[server].Keys) }
