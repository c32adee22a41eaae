package purge

import (
	"time"

	"dahliapin/internal/monotime"
)

// FlushLimiter spaces the first flushes of all caches, since each empties a cache whose load goes to the origin then.
type FlushLimiter struct {
	Interval time.Duration // between two flushes
	next     monotime.Instant
}

// allow takes the next slot and returns true, or returns when there is one.
func (l *FlushLimiter) allow(now monotime.Instant) (allowed bool, at monotime.Instant) {
	if now < l.next {
		return false, l.next
	}
	l.next = now.Add(l.Interval)
	return true, now
}
