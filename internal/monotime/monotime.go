// Package monotime has the type of a reading of a monotonic clock, which callers hand to code that does no I/O.
package monotime

import "time"

// Instant is a reading of the caller's clock in whole nanoseconds. Only differences mean anything.
type Instant int64

// Never is an Instant longer ago than any.
const Never Instant = -1 << 62

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Since returns how long after u this instant is.
func (t Instant) Since(u Instant) time.Duration { return time.Duration(t - u) }
