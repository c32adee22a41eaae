package policy

import (
	"math"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// maxPollBackoffSteps bounds the doublings of tickPeriod between polls that fail: 3.2 s on the mean.
	maxPollBackoffSteps = 5
	// minPollInterval keeps a setting that is too low from loading the discovery service.
	minPollInterval = time.Second
	// noPollDue is after any instant.
	noPollDue Instant = math.MaxInt64
)

// pollSchedule says when to request the endpoint list, where it isn't sent unasked.
type pollSchedule struct {
	settings *Settings
	rng      *keyhash.Source
	failures int     // polls without an answer in a row, up to maxPollBackoffSteps
	nextAt   Instant // when to poll next; noPollDue once the list has come
}

// failed schedules the next poll after one without an answer. The jitter keeps the nodes that a discovery outage
// has put in step from polling together when it ends.
func (s *pollSchedule) failed(now Instant) {
	s.failures = min(s.failures+1, maxPollBackoffSteps)
	backoff := (0.5 + s.rng.Float64()) * float64(tickPeriod<<s.failures)
	s.nextAt = now.Add(time.Duration(backoff))
}

// succeeded records an update, which means that the list is watched: no poll is due.
func (s *pollSchedule) succeeded() {
	s.failures = 0
	s.nextAt = noPollDue
}

// takeDue reports whether to poll now, and if so schedules the next poll.
func (s *pollSchedule) takeDue(now Instant) bool {
	if !s.settings.PollEndpoints || now < s.nextAt {
		return false
	}
	s.nextAt = now.Add(max(s.settings.PollInterval, minPollInterval))
	return true
}
