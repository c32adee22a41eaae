package purge

import (
	"time"

	"dahliapin/internal/monotime"
)

// FlushLimiter spaces the first flushes of all caches, since the load of an emptied cache goes to the origin.
type FlushLimiter struct {
	Interval time.Duration // between two flushes
	next     monotime.Instant
}

// allow reports whether a first flush may be sent now, and if so allows no other one for Interval. Otherwise it returns
// when the next one is allowed.
func (l *FlushLimiter) allow(now monotime.Instant) (allowed bool, at monotime.Instant) {
	if now < l.next {
		return false, l.next
	}
	l.next = now.Add(l.Interval)
	return true, now
}
