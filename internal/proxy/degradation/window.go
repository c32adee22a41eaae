package degradation

import (
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/policy"
)

// window counts the attempts and requests between two evaluations.
type window struct {
	attempts       int // that say something of the endpoint: cancelled and unsent ones are not counted
	late           int // answered after the latency objective
	lost           int // errors, broken connections, timeouts
	cacheRejected  int // rejected by a cache at capacity
	originAttempts int // of the attempts, those at the origin
	originLate     int // late or lost, of those
	admitted       int // requests that the level let through
	policyRejected int // requests that the policy rejected, of those
}

func (w *window) recordAttempt(result policy.Result, latency, objective time.Duration, atOrigin bool) {
	late, lost := false, false
	switch result {
	case policy.Answered, policy.CacheMiss:
		late = latency > objective
	case policy.Rejected:
		w.cacheRejected++
	case policy.Cancelled, policy.NotSent:
		return
	default:
		lost = true
	}
	w.attempts++
	if late {
		w.late++
	}
	if lost {
		w.lost++
	}
	if atOrigin {
		w.recordOriginAttempt(late || lost)
	}
}

func (w *window) recordOriginAttempt(late bool) {
	w.originAttempts++
	if late {
		w.originLate++
	}
}

func (w *window) shares() listeners.Shares {
	return listeners.Shares{
		Late:          share(w.late, w.attempts),
		Lost:          share(w.lost, w.attempts),
		CacheRejected: share(w.cacheRejected, w.attempts),
		OriginLate:    share(w.originLate, w.originAttempts),
		Rejected:      share(w.policyRejected, w.admitted),
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// anyReached tells whether one of the shares has reached its bound. A bound of 0 is none.
func anyReached(bounds, seen listeners.Shares) bool {
	return reached(bounds.Late, seen.Late) ||
		reached(bounds.Lost, seen.Lost) ||
		reached(bounds.CacheRejected, seen.CacheRejected) ||
		reached(bounds.OriginLate, seen.OriginLate) ||
		reached(bounds.Rejected, seen.Rejected)
}

func reached(bound, seen float64) bool { return bound > 0 && seen >= bound }
