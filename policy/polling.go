package policy

import (
	"math"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// maxPollBackoffSteps limits how often the backoff between failed polls doubles: its mean is twice tickPeriod after
	// the first failure, and at most 3.2 s.
	maxPollBackoffSteps = 5
	// minPollInterval keeps a setting that is too low from overloading the discovery service.
	minPollInterval = time.Second
	// noPollDue is later than any instant.
	noPollDue Instant = math.MaxInt64
)

// pollSchedule decides when to poll the endpoint list, if Settings.PollEndpoints is set: until the first update, and
// after a failed poll.
type pollSchedule struct {
	settings *Settings
	rng      *keyhash.Source
	failures int     // consecutive failed polls, up to maxPollBackoffSteps
	nextAt   Instant // when to poll next; noPollDue once the list has been received
}

// failed schedules the next poll after a failed one. The jitter prevents nodes that were synchronized by a discovery
// outage from polling simultaneously when it ends.
func (s *pollSchedule) failed(now Instant) {
	s.failures = min(s.failures+1, maxPollBackoffSteps)
	backoff := (0.5 + s.rng.Float64()) * float64(tickPeriod<<s.failures)
	s.nextAt = now.Add(time.Duration(backoff))
}

// succeeded records an update. The list is being watched from then on, so no poll is due.
func (s *pollSchedule) succeeded() {
	s.failures = 0
	s.nextAt = noPollDue
}

// takeDue reports whether a poll is due, and if so schedules its repetition in case it gets no answer.
func (s *pollSchedule) takeDue(now Instant) bool {
	if !s.settings.PollEndpoints || now < s.nextAt {
		return false
	}
	s.nextAt = now.Add(max(s.settings.PollInterval, minPollInterval))
	return true
}
