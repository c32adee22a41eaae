package report

import (
	"time"

	"dahliapin/policy"
)

const (
	// baselineSpan is the number of seconds before the first event over which the baseline share is computed.
	baselineSpan = 5
	// recoveredShare is the fraction of the baseline share from which a run counts as recovered.
	recoveredShare = 0.97
	// recoverySpan is the number of seconds over which later shares are computed, as that of one second varies too
	// much.
	recoverySpan = 3
)

// recovered returns the second of the scenario from which the share of requests satisfied in time stays at
// recoveredShare of the baseline or above. It returns -1 if the run ends below that, and 0 for a run without events.
func (l *Log) recovered(first, last policy.Instant) float64 {
	if last == 0 {
		return 0
	}
	start := int(first.Since(l.startedAt) / time.Second)
	minShare := recoveredShare * l.shareInTime(start-baselineSpan, start)
	for at := len(l.Seconds) - 1; at >= start; at-- {
		if l.shareInTime(at-recoverySpan, at) < minShare {
			if at >= len(l.Seconds)-1 {
				return -1
			}
			return float64(at)
		}
	}
	return float64(start)
}

// shareInTime returns the share of first tries in the seconds [from, until) that were satisfied in time, or 1 if there
// were none.
func (l *Log) shareInTime(from, until int) float64 {
	asked := 0
	inTime := 0
	for _, second := range l.Seconds[max(0, from):max(0, min(until, len(l.Seconds)-1))] {
		asked += second.Asked
		inTime += second.InTime
	}
	if asked == 0 {
		return 1
	}
	return float64(inTime) / float64(asked)
}
