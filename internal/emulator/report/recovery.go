package report

import (
	"time"

	"dahliapin/policy"
)

const (
	// baselineSpan is the number of seconds before the first event whose share is the measure of recovery.
	baselineSpan = 5
	// recoveredShare is the part of that share from which a run counts as recovered.
	recoveredShare = 0.97
	// recoverySpan is the number of seconds over which a share is taken afterwards: one second's is chance.
	recoverySpan = 3
)

// recovered is the second from which on the share of requests in time is as good as before the first event, and
// stays so; -1 for never, 0 in a run without events.
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

// shareInTime is the share of first tries, from one second until before another, that were satisfied in time; 1
// without any.
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
