package eventlog

import (
	"fmt"
	"slices"
	"time"

	"dahliapin/policy"
)

const (
	// minAttempts is how many attempts an endpoint is expected to get in an evaluation, before its share says anything:
	// chance is a sixth of that.
	minAttempts = 40.0

	// avoidedBelow is the part of its usual share, relative to that of the median endpoint, below which an endpoint is
	// avoided for its load, and restoredFrom the one from which it is restored: one that hovers between stays as it is.
	avoidedBelow = 0.6
	restoredFrom = 0.8

	// slowerFactor is how much longer than usual the attempts of an endpoint take that is avoided for its load. One
	// that only lost a popular key takes as long as ever.
	slowerFactor = 1.3

	// agreeingEvaluations is how many evaluations in a row must agree: one in a hundred is chance.
	agreeingEvaluations = 2

	// learningEvaluations is how many evaluations are made before a usual share is known.
	learningEvaluations = 10

	// shareWeight is the weight of an evaluation in the usual share, and 1/latencyMean that in the usual latency.
	shareWeight = 0.05
	latencyMean = 8

	// maxInterval is the longest interval of an evaluation: attempts from a longer one are not of one time.
	maxInterval = 10 * time.Second

	// minEndpoints is how many endpoints a median needs.
	minEndpoints = 3

	// minMedian bounds the median ratio from below, and minShare the usual share, as both are divided by.
	minMedian = 0.1
	minShare  = 1e-9
)

// loadShare is how an endpoint's share of the attempts compares with its usual one.
type loadShare struct {
	avoided      bool          // the endpoint is avoided for its load
	agreeing     int           // evaluations in a row that ask for a change of avoided
	usual        float64       // usual share of the attempts, from 0 to 1
	usualLatency time.Duration // of answered attempts, before it was avoided

	// Since the last evaluation.
	attempts float64
	answered int
	latency  time.Duration // of those answered, in all
}

// meanLatency returns the mean since the last evaluation, or 0 without an answered attempt.
func (l *loadShare) meanLatency() time.Duration {
	if l.answered == 0 {
		return 0
	}
	return l.latency / time.Duration(l.answered)
}

// isSlow tells whether answers take longer than usual, or there are none.
func (l *loadShare) isSlow() bool {
	return l.answered == 0 || float64(l.meanLatency()) > slowerFactor*float64(l.usualLatency)
}

// evaluateShares compares the shares once enough attempts were sent. An endpoint whose share falls while the median's
// does not is avoided for its load. No state tells of that: nothing decides it but that others are selected.
func (r *Recorder) evaluateShares(now policy.Instant) {
	if r.evaluatedAt == 0 {
		r.evaluatedAt = now
	}
	if r.ready < minEndpoints || r.attempts < minAttempts*float64(r.ready) {
		if now.Since(r.evaluatedAt) > maxInterval {
			r.resetShares(now)
		}
		return
	}
	r.evaluations++
	median := r.medianRatio()
	for _, id := range r.order {
		r.evaluateShare(now, id, r.endpoints[id], median)
	}
	r.resetShares(now)
}

// medianRatio returns the median, over the endpoints, of the share to the usual one.
func (r *Recorder) medianRatio() float64 {
	var ratios []float64
	for _, id := range r.order {
		e := r.endpoints[id]
		if e.lifecycle == policy.Ready && e.load.usual > 0 {
			ratios = append(ratios, e.load.attempts/r.attempts/e.load.usual)
		}
	}
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	return max(minMedian, ratios[len(ratios)/2])
}

// evaluateShare compares one endpoint's share with its usual one.
func (r *Recorder) evaluateShare(now policy.Instant, id policy.EndpointID, e *endpoint, median float64) {
	load := &e.load
	share := load.attempts / r.attempts
	if load.usual == 0 {
		load.usual = share
	}
	ratio := share / max(load.usual, minShare) / median
	isKnown := r.evaluations > learningEvaluations && load.usual*r.attempts >= minAttempts/4
	isLow := ratio < avoidedBelow && load.isSlow()
	isHigh := ratio >= restoredFrom
	if isKnown && e.lifecycle == policy.Ready && (!load.avoided && isLow || load.avoided && isHigh) {
		load.agreeing++
	} else {
		load.agreeing = 0
	}
	if load.agreeing >= agreeingEvaluations {
		r.toggleAvoided(now, id, e, ratio)
	}
	if !load.avoided && !(isKnown && isLow) {
		load.learn(share/median, r.evaluations)
	}
}

func (r *Recorder) toggleAvoided(now policy.Instant, id policy.EndpointID, e *endpoint, ratio float64) {
	e.load.agreeing = 0
	e.load.avoided = !e.load.avoided
	if e.load.avoided {
		reason := fmt.Sprintf("load: %.0f%% of its usual share, legs take %.1f ms after %.1f ms",
			100*ratio, milliseconds(e.load.meanLatency()), milliseconds(e.load.usualLatency))
		r.avoid(now, id, e, reason)
		return
	}
	if !e.isFaulty() {
		r.restore(now, id, e)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }

// learn adds an evaluation to the usual share and latency: at first they are the mean of all, then of the latest.
func (l *loadShare) learn(share float64, evaluations int) {
	l.usual += (share - l.usual) * max(shareWeight, 1/float64(evaluations))
	mean := l.meanLatency()
	if mean <= 0 {
		return
	}
	if l.usualLatency == 0 {
		l.usualLatency = mean
	}
	l.usualLatency += (mean - l.usualLatency) / latencyMean
}

func (r *Recorder) resetShares(now policy.Instant) {
	r.attempts = 0
	r.evaluatedAt = now
	for _, e := range r.endpoints {
		e.load.attempts = 0
		e.load.answered = 0
		e.load.latency = 0
	}
}
