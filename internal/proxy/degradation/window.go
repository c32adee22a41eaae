package degradation

import (
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/policy"
)

// window holds the counts of attempts and requests between two evaluations.
type window struct {
	attempts       int // ended attempts, except cancelled and unsent ones, which say nothing about the endpoint
	late           int // answered after the latency objective
	lost           int // errors, failed connects, broken connections, timeouts
	cacheRejected  int // rejected by a cache at capacity
	originAttempts int // attempts sent to the origin
	originLate     int // attempts at the origin that were late or lost
	admitted       int // requests that the level admitted
	policyRejected int // admitted requests that the policy rejected
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

// anyReached reports whether any of the shares has reached its bound. A bound of 0 is never reached.
func anyReached(bounds, observed listeners.Shares) bool {
	return reached(bounds.Late, observed.Late) ||
		reached(bounds.Lost, observed.Lost) ||
		reached(bounds.CacheRejected, observed.CacheRejected) ||
		reached(bounds.OriginLate, observed.OriginLate) ||
		reached(bounds.Rejected, observed.Rejected)
}

func reached(bound, observed float64) bool { return bound > 0 && observed >= bound }
