// Package world models what a fleet of routers stands between: cache servers, the origin, the list of servers and the
// clients. It does no I/O: time and chance are arguments, so that one model serves sockets and virtual time alike.
package world

import (
	"time"

	"dahliapin/policy"
)

// station is a bounded queue before cores of one speed. Work is stated as the time it takes at speed 1.
type station[J any] struct {
	cores   int
	queue   int            // those that may wait
	rate    func() float64 // work done in a second of time, by each core, as of now
	running []begun[J]
	waiting []offered[J]
	frozen  policy.Instant // nothing goes on before then
}

type offered[J any] struct {
	job  J
	work time.Duration
}

type begun[J any] struct {
	job  J
	ends policy.Instant
}

// offer takes a job, or tells that there is no room.
func (s *station[J]) offer(now policy.Instant, job J, work time.Duration) bool {
	if len(s.running) >= s.cores {
		if len(s.waiting) >= s.queue {
			return false
		}
		s.waiting = append(s.waiting, offered[J]{job, work})
		return true
	}
	s.begin(now, job, work)
	return true
}

func (s *station[J]) begin(now policy.Instant, job J, work time.Duration) {
	from := max(now, s.frozen)
	s.running = append(s.running, begun[J]{job, from.Add(time.Duration(float64(work) / s.rate()))})
}

// next tells when the next job ends.
func (s *station[J]) next() (at policy.Instant, any bool) {
	for i, r := range s.running {
		if i == 0 || r.ends < at {
			at = r.ends
		}
	}
	return at, len(s.running) > 0
}

// finish takes out one job that has ended by now, and begins the next in its place.
func (s *station[J]) finish(now policy.Instant) (job J, ok bool) {
	first := -1
	for i, r := range s.running {
		if r.ends <= now && (first < 0 || r.ends < s.running[first].ends) {
			first = i
		}
	}
	if first < 0 {
		return job, false
	}
	ended := s.running[first]
	s.running = append(s.running[:first], s.running[first+1:]...)
	if len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(ended.ends, w.job, w.work)
	}
	return ended.job, true
}

// withdraw takes out a job that waits; what runs goes on to its end.
func (s *station[J]) withdraw(is func(J) bool) {
	for i, w := range s.waiting {
		if is(w.job) {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// change does something that changes the rate; what runs has its rest stretched or shortened accordingly.
func (s *station[J]) change(now policy.Instant, do func()) {
	before := s.rate()
	do()
	by := before / s.rate()
	for i := range s.running {
		if rest := s.running[i].ends.Since(now); rest > 0 {
			s.running[i].ends = now.Add(time.Duration(float64(rest) * by))
		}
	}
}

// freeze stops all work until an instant.
func (s *station[J]) freeze(now, until policy.Instant) {
	for i := range s.running {
		if s.running[i].ends > now {
			s.running[i].ends = s.running[i].ends.Add(max(0, until.Since(max(now, s.frozen))))
		}
	}
	s.frozen = max(s.frozen, until)
}

func (s *station[J]) clear() { s.running, s.waiting = nil, nil }

func (s *station[J]) inHand() int { return len(s.running) + len(s.waiting) }
