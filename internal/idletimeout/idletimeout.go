// Package idletimeout decides how long a node keeps a connection to a cache that nobody uses. It does no I/O and takes
// the time as an argument: the proxy and the simulation go by it alike.
package idletimeout

import (
	"time"

	"dahliapin/internal/monotime"
)

const (
	// safeShare is the share of a cache's stated idle limit after which a connection is closed here, so that the
	// cache's close doesn't cross an attempt on its way.
	safeShare = 0.8
	// defaultTimeout holds where no limit is stated.
	defaultTimeout = 10 * time.Second
	// minTimeout holds however full caches are: with a shorter one most attempts would need a new connection.
	minTimeout = time.Second
	// shrinkFactor is how many times shorter each full cache makes the timeout.
	shrinkFactor = 2
	// regrowInterval is the time in which the timeout grows by shrinkFactor while no cache is full.
	regrowInterval = 10 * time.Second
)

// Timeout is how long idle connections are kept.
//
// Guards against nodes that keep connections from one another: a cache holds a limited number, which all nodes share
// without seeing each other. Where some keep theirs for long, for an attempt in some seconds, there are none left for
// the others, whose connects and health checks fail.
type Timeout struct {
	base       time.Duration // while no cache is full
	divisor    float64       // of base, at present; at least 1
	adjustedAt monotime.Instant
}

// New returns the timeout under a stated idle limit of caches; 0 for none.
func New(limit time.Duration) Timeout {
	t := Timeout{base: defaultTimeout, divisor: 1}
	if limit > 0 {
		t.base = time.Duration(safeShare * float64(limit))
	}
	return t
}

// OnServerFull tells that a cache had no room for a connection though it lives, as another connection to it is up; a
// cache that refuses while it is down is none. It reports whether the timeout is shorter for it.
func (t *Timeout) OnServerFull(now monotime.Instant) bool {
	t.regrow(now)
	before := t.divisor
	maxDivisor := max(1, float64(t.base)/float64(minTimeout))
	t.divisor = min(t.divisor*shrinkFactor, maxDivisor)
	t.adjustedAt = now
	return t.divisor > before
}

// Current returns the timeout at present.
func (t *Timeout) Current(now monotime.Instant) time.Duration {
	t.regrow(now)
	return time.Duration(float64(t.base) / t.divisor)
}

// regrow lets the timeout grow back in whole intervals, so that it doesn't matter how often it is asked.
func (t *Timeout) regrow(now monotime.Instant) {
	for t.divisor > 1 && now.Since(t.adjustedAt) >= regrowInterval {
		t.divisor = max(1, t.divisor/shrinkFactor)
		t.adjustedAt = t.adjustedAt.Add(regrowInterval)
	}
	if t.divisor == 1 {
		t.adjustedAt = now
	}
}
