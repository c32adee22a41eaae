package sockets

import (
	"sync"
	"time"
)

const (
	// minLocalPause and maxLocalPause are the bounds of the time from a failure on this machine to its event.
	minLocalPause = 5 * time.Millisecond
	maxLocalPause = 40 * time.Millisecond

	// maxFailingAddresses is how many addresses are remembered.
	maxFailingAddresses = 1024
)

// localFailures remembers since when dialing an address has failed for want of something on this machine. Guards
// against a spin: such a failure says nothing of the server, so that each request that waits may well dial again at
// once. The longer it has lasted, the later the loop is told.
type localFailures struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// pause counts a failure, and returns how long to wait before the loop is told of it: as long as there have been
// failures, within the bounds.
func (f *localFailures) pause(addr string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, failing := f.since[addr]
	if !failing {
		if f.since == nil || len(f.since) >= maxFailingAddresses {
			f.since = map[string]time.Time{}
		}
		first = now
		f.since[addr] = now
	}
	return min(max(now.Sub(first), minLocalPause), maxLocalPause)
}

// forget ends an address's failures.
func (f *localFailures) forget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.since, addr)
}
