// Package monotime has the type of a reading of a monotonic clock. Code that does no I/O takes the time as an Instant
// from its caller.
package monotime

import "time"

// Instant is a reading of the caller's clock in nanoseconds. Only differences of instants mean anything.
type Instant int64

// LongAgo is before any reading.
const LongAgo Instant = -1 << 62

// Add returns the instant that is d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Since returns the time from u until this instant.
func (t Instant) Since(u Instant) time.Duration { return time.Duration(t - u) }
