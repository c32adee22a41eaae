package sockets

import (
	"sync"
	"time"
)

const (
	// minFailureDelay and maxFailureDelay are the bounds of the delay between a local failure and its event.
	minFailureDelay = 5 * time.Millisecond
	maxFailureDelay = 40 * time.Millisecond

	// maxFailingAddresses is the maximum number of addresses in localFailures.
	maxFailingAddresses = 1024
)

// localFailures records since when dialing an address has failed for lack of resources on this machine. Such a failure
// says nothing about the server, so every waiting request might dial again immediately, in a busy loop. To prevent
// that, the event is delayed, the longer the failures have lasted.
type localFailures struct {
	mu    sync.Mutex
	since map[string]time.Time // by address: time of the first failure
}

// delay records a failure, and returns the delay of its event: the time since the address's first failure, within the
// bounds.
func (f *localFailures) delay(addr string, now time.Time) time.Duration {
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
	return min(max(now.Sub(first), minFailureDelay), maxFailureDelay)
}

// forget removes an address after a successful dial.
func (f *localFailures) forget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.since, addr)
}
