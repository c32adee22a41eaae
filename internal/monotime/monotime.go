// Package monotime defines the type of a monotonic clock reading. Code that does no I/O takes the time as an Instant
// from its caller.
package monotime

import "time"

// Instant is a reading of the caller's clock in nanoseconds. Only differences between instants are meaningful.
type Instant int64

// LongAgo is earlier than any reading.
const LongAgo Instant = -1 << 62

// Add returns the instant that is d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Since returns the time elapsed from u to t.
func (t Instant) Since(u Instant) time.Duration { return time.Duration(t - u) }
