// Package idletimeout decides how long a node keeps idle connections to caches. It does no I/O and takes the time as an
// argument, so that the proxy and the simulation share it.
package idletimeout

import (
	"time"

	"dahliapin/internal/monotime"
)

const (
	// safetyFactor is the fraction of a cache's stated idle limit after which the node closes a connection, so that the
	// cache does not close it while an attempt is being sent.
	safetyFactor = 0.8
	// defaultTimeout applies if no limit is stated.
	defaultTimeout = 10 * time.Second
	// minTimeout applies however many caches are full. With a shorter timeout most attempts would need a new
	// connection.
	minTimeout = time.Second
	// shrinkFactor divides the timeout each time a cache is found full.
	shrinkFactor = 2
	// regrowInterval is the time after which the timeout grows by shrinkFactor if no cache was full.
	regrowInterval = 10 * time.Second
)

// Timeout is the adaptive idle timeout of connections.
//
// A cache accepts a limited number of connections, which all nodes share without knowledge of each other. If some nodes
// kept idle connections open for an attempt every few seconds, none would be left for the others, whose connection
// attempts and health checks would fail.
type Timeout struct {
	base       time.Duration // timeout while no cache is full
	divisor    float64       // current divisor of base; at least 1
	adjustedAt monotime.Instant
}

// New returns a Timeout for the stated idle limit of caches; 0 means that none is stated.
func New(limit time.Duration) Timeout {
	t := Timeout{base: defaultTimeout, divisor: 1}
	if limit > 0 {
		t.base = time.Duration(safetyFactor * float64(limit))
	}
	return t
}

// OnCacheFull records that a cache refused a connection although it is alive, as shown by another open connection to
// it; refusals by a cache that is down do not count. It reports whether the timeout became shorter.
func (t *Timeout) OnCacheFull(now monotime.Instant) bool {
	t.regrow(now)
	before := t.divisor
	maxDivisor := max(1, float64(t.base)/float64(minTimeout))
	t.divisor = min(t.divisor*shrinkFactor, maxDivisor)
	t.adjustedAt = now
	return t.divisor > before
}

// Current returns the timeout at now.
func (t *Timeout) Current(now monotime.Instant) time.Duration {
	t.regrow(now)
	return time.Duration(float64(t.base) / t.divisor)
}

// regrow lets the timeout grow back in whole intervals, so that the result does not depend on how often it is called.
func (t *Timeout) regrow(now monotime.Instant) {
	for t.divisor > 1 && now.Since(t.adjustedAt) >= regrowInterval {
		t.divisor = max(1, t.divisor/shrinkFactor)
		t.adjustedAt = t.adjustedAt.Add(regrowInterval)
	}
	if t.divisor == 1 {
		t.adjustedAt = now
	}
}
