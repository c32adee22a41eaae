package freshness

import "time"

// MaxDeltaSeconds is what any number of seconds that is too great counts as (1.2.2).
const MaxDeltaSeconds = (1 << 31) * time.Second

// DeltaSeconds is a number of seconds that a directive or field gives.
type DeltaSeconds struct {
	Present  bool
	Invalid  bool // what is given is no number, or two values differ
	Duration time.Duration
}

// set takes a value. A second one that differs, or one that is no number, makes the whole untrustworthy.
func (s *DeltaSeconds) set(value []byte, hasValue bool) {
	d, ok := Seconds(value)
	if !hasValue || !ok || s.Present && d != s.Duration {
		s.Invalid = true
		s.Present = true
		return
	}
	s.Present = true
	s.Duration = d
}

// allows reports whether a time is within the span.
func (s DeltaSeconds) allows(d time.Duration) bool { return s.Present && !s.Invalid && d <= s.Duration }

// Seconds reads delta-seconds: digits only; a number that is too great counts as Most.
func Seconds(digits []byte) (time.Duration, bool) {
	const most = int64(MaxDeltaSeconds / time.Second)
	if len(digits) == 0 {
		return 0, false
	}
	n := int64(0)
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = min(most, n*10+int64(c-'0'))
	}
	return time.Duration(n) * time.Second, true
}

// bounded returns a time that is neither negative nor over Most.
func bounded(d time.Duration) time.Duration { return min(max(0, d), MaxDeltaSeconds) }
