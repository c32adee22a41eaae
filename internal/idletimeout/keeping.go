// Package keeping decides how long a node keeps a connection to a cache that nobody uses. It does no I/O; the sockets and virtual
// time both go by it.
package idletimeout

import (
	"time"

	"dahliapin/internal/monotime"
)

const (
	share  = 0.8              // of the stated idle limit: closing there must not cross a leg on its way
	usual  = 10 * time.Second // where no limit is stated
	least  = time.Second      // however full caches are: under that most legs would need a new connection
	shrink = 2                // times shorter by each cache that was full
	regain = 10 * time.Second // in which it doubles while none is
)

// Timeout is how long idle connections are kept. A cache holds so many connections, which all nodes share without seeing each
// other: those that keep theirs for long, for a leg in some seconds, leave none to the others, which dial and probe in vain.
type Timeout struct {
	stated time.Duration
	times  float64 // shorter than stated
	at     monotime.Instant
}

// New makes the span under a stated idle limit; 0 for none.
func New(limit time.Duration) Timeout {
	s := Timeout{stated: usual, times: 1}
	if limit > 0 {
		s.stated = time.Duration(share * float64(limit))
	}
	return s
}

// OnServerFull tells that a cache had no room for a connection, though it lives: another connection to it is up. It tells nothing
// of a cache that refuses while it is down. It tells whether the span is shorter for it.
func (s *Timeout) OnServerFull(now monotime.Instant) bool {
	s.fade(now)
	before := s.times
	s.times, s.at = min(s.times*shrink, max(1, float64(s.stated)/float64(least))), now
	return s.times > before
}

// Current is the span as it is.
func (s *Timeout) Current(now monotime.Instant) time.Duration {
	s.fade(now)
	return time.Duration(float64(s.stated) / s.times)
}

// fade lets it grow back by whole steps of time, so that it does not matter how often it is asked.
func (s *Timeout) fade(now monotime.Instant) {
	for ; s.times > 1 && now.Since(s.at) >= regain; s.at = s.at.Add(regain) {
		s.times = max(1, s.times/shrink)
	}
	if s.times == 1 {
		s.at = now
	}
}
