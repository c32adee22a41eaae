package world

import (
	"time"

	"dahliapin/policy"
)

// serverQueue is a bounded queue in front of cores of equal speed. Work is measured by the time that it takes at
// speed 1.
type serverQueue[J any] struct {
	cores       int
	queue       int                                 // maximum number of waiting jobs
	speed       func() float64                      // current work done by each core in a unit of time
	isOver      func(job J, at policy.Instant) bool // whether a job that begins at an instant is dropped instead
	running     []runningJob[J]
	waiting     []waitingJob[J]
	frozenUntil policy.Instant // no job makes progress before then
}

type waitingJob[J any] struct {
	job  J
	work time.Duration
}

// runningJob is a job that has a core. It begins once the server is no longer frozen. A job that is over by then is not
// executed, and ends as it begins.
type runningJob[J any] struct {
	job      J
	beginsAt policy.Instant
	endsAt   policy.Instant
}

// offer accepts a job, or returns false if the queue is full.
func (s *serverQueue[J]) offer(now policy.Instant, job J, work time.Duration) bool {
	if len(s.running) >= s.cores {
		if len(s.waiting) >= s.queue {
			return false
		}
		s.waiting = append(s.waiting, waitingJob[J]{job: job, work: work})
		return true
	}
	s.start(now, job, work)
	return true
}

func (s *serverQueue[J]) start(now policy.Instant, job J, work time.Duration) {
	beginsAt := max(now, s.frozenUntil)
	r := runningJob[J]{job: job, beginsAt: beginsAt, endsAt: beginsAt.Add(time.Duration(float64(work) / s.speed()))}
	s.dropIfOver(&r)
	s.running = append(s.running, r)
}

func (s *serverQueue[J]) dropIfOver(r *runningJob[J]) {
	if s.isOver(r.job, r.beginsAt) {
		r.endsAt = r.beginsAt
	}
}

// next returns when the next job ends.
func (s *serverQueue[J]) next() (at policy.Instant, ok bool) {
	for i, r := range s.running {
		if i == 0 || r.endsAt < at {
			at = r.endsAt
		}
	}
	return at, len(s.running) > 0
}

// finish removes one job that has ended by now and starts the next one in its place.
func (s *serverQueue[J]) finish(now policy.Instant) (ended runningJob[J], ok bool) {
	first := -1
	for i, r := range s.running {
		if r.endsAt <= now && (first < 0 || r.endsAt < s.running[first].endsAt) {
			first = i
		}
	}
	if first < 0 {
		return ended, false
	}
	ended = s.running[first]
	s.running = append(s.running[:first], s.running[first+1:]...)
	if len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(ended.endsAt, w.job, w.work)
	}
	return ended, true
}

// withdraw removes a waiting job; a running job is not interrupted.
func (s *serverQueue[J]) withdraw(matches func(J) bool) {
	for i, w := range s.waiting {
		if matches(w.job) {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// change calls a function that may change the speed, and rescales the remaining time of running jobs accordingly.
func (s *serverQueue[J]) change(now policy.Instant, apply func()) {
	before := s.speed()
	apply()
	factor := before / s.speed()
	for i := range s.running {
		r := &s.running[i]
		from := max(now, r.beginsAt)
		if remaining := r.endsAt.Since(from); remaining > 0 {
			r.endsAt = from.Add(time.Duration(float64(remaining) * factor))
		}
	}
}

// freeze suspends all work until an instant.
func (s *serverQueue[J]) freeze(now, until policy.Instant) {
	for i := range s.running {
		r := &s.running[i]
		if r.endsAt <= now {
			continue
		}
		delay := max(0, until.Since(max(now, s.frozenUntil)))
		r.endsAt = r.endsAt.Add(delay)
		if r.beginsAt > now {
			r.beginsAt = r.beginsAt.Add(delay)
			s.dropIfOver(r)
		}
	}
	s.frozenUntil = max(s.frozenUntil, until)
}

func (s *serverQueue[J]) clear() {
	s.running = nil
	s.waiting = nil
}

// length returns the number of running and waiting jobs.
func (s *serverQueue[J]) length() int { return len(s.running) + len(s.waiting) }
