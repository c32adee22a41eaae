package freshness

import "time"

// MaxDelta is the largest number of seconds; larger numbers count as MaxDelta (1.2.2).
const MaxDelta = (1 << 31) * time.Second

// DeltaSeconds is a number of seconds given by a directive or field.
type DeltaSeconds struct {
	Present  bool
	Invalid  bool // the value is not a number, or two values differ
	Duration time.Duration
}

// set parses a value. A value that is not a number, or that differs from an earlier one, makes s invalid.
func (s *DeltaSeconds) set(value []byte, hasValue bool) {
	d, ok := ParseDeltaSeconds(value)
	if !hasValue || !ok || s.Present && d != s.Duration {
		s.Invalid = true
		s.Present = true
		return
	}
	s.Present = true
	s.Duration = d
}

// allows reports whether s is valid and d does not exceed it.
func (s DeltaSeconds) allows(d time.Duration) bool { return s.Present && !s.Invalid && d <= s.Duration }

// ParseDeltaSeconds parses a delta-seconds value, which consists of digits only. Larger numbers than MaxDelta count as
// MaxDelta.
func ParseDeltaSeconds(digits []byte) (time.Duration, bool) {
	const most = int64(MaxDelta / time.Second)
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

// bounded limits d to the range from 0 to MaxDelta.
func bounded(d time.Duration) time.Duration { return min(max(0, d), MaxDelta) }
