package report

import (
	"time"

	"dahliapin/policy"
)

const (
	// baselineSpan is the number of seconds before the first event over which the baseline share is taken.
	baselineSpan = 5
	// recoveredShare is the fraction of the baseline share from which a run counts as recovered.
	recoveredShare = 0.97
	// recoverySpan is the number of seconds over which later shares are taken: the share of one second is too random.
	recoverySpan = 3
)

// recovered returns the second from which the share of requests satisfied in time is back at the baseline and stays
// there; -1 for never, 0 in a run without events.
func (l *Log) recovered(first, last policy.Instant) float64 {
	if last == 0 {
		return 0
	}
	start := int(first.Since(l.startedAt) / time.Second)
	enough := recoveredShare * l.shareInTime(start-baselineSpan, start)
	for at := len(l.Seconds) - 1; at >= start; at-- {
		if l.shareInTime(at-recoverySpan, at) < enough {
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
