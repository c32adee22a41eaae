package eventlog

import (
	"fmt"
	"slices"
	"time"

	"dahliapin/policy"
)

const (
	// minAttempts is the average number of attempts per endpoint that an evaluation needs. With 40 attempts, the random
	// variation of an endpoint's count is about a sixth.
	minAttempts = 40.0

	// avoidThreshold is the ratio of an endpoint's share to its usual one, relative to the median endpoint's ratio,
	// below which it is avoided for its load. restoreThreshold is the ratio from which it is restored. The gap between
	// the two keeps an endpoint near a threshold from flapping.
	avoidThreshold   = 0.6
	restoreThreshold = 0.8

	// slowerFactor is the minimum ratio of an endpoint's latency to its usual one for it to be avoided for its load. An
	// endpoint that has only lost a popular key keeps its usual latency.
	slowerFactor = 1.3

	// agreeingEvaluations is the number of consecutive evaluations that must agree on a change: one evaluation in a
	// hundred is wrong by chance.
	agreeingEvaluations = 2

	// learningEvaluations is the number of evaluations after which an endpoint's usual share is considered known.
	learningEvaluations = 10

	// shareWeight is the weight of a new evaluation in the moving average of the usual share. In that of the usual
	// latency, the weight of a new evaluation is 1/latencySamples.
	shareWeight    = 0.05
	latencySamples = 8

	// maxInterval is the longest interval of an evaluation. Attempts from a longer one are too far apart in time to be
	// compared.
	maxInterval = 10 * time.Second

	// minEndpoints is the number of endpoints needed for a meaningful median.
	minEndpoints = 3

	// minMedian and minShare are lower bounds of the median ratio and of the usual share, which are used as divisors.
	minMedian = 0.1
	minShare  = 1e-9
)

// loadShare compares an endpoint's share of the attempts with its usual one.
type loadShare struct {
	avoided      bool          // the endpoint is avoided for its load
	agreeing     int           // consecutive evaluations that suggest changing avoided
	usual        float64       // usual share of the attempts, from 0 to 1
	usualLatency time.Duration // usual latency of answered attempts; not updated while avoided

	// Counts since the last evaluation.
	attempts float64
	answered int
	latency  time.Duration // sum over the answered attempts
}

// meanLatency returns the mean latency since the last evaluation, or 0 if no attempt was answered.
func (l *loadShare) meanLatency() time.Duration {
	if l.answered == 0 {
		return 0
	}
	return l.latency / time.Duration(l.answered)
}

// isSlow reports whether the latency is above the usual one, or no attempt was answered.
func (l *loadShare) isSlow() bool {
	return l.answered == 0 || float64(l.meanLatency()) > slowerFactor*float64(l.usualLatency)
}

// evaluateShares compares the shares with the usual ones once enough attempts have been sent. An endpoint whose share
// falls relative to the median while it is slow, in agreeingEvaluations consecutive evaluations, counts as avoided for
// its load. No endpoint state shows this: it results only from the selection of other endpoints.
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

// medianRatio returns the median over the endpoints of the ratio between share and usual share.
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
	isLow := ratio < avoidThreshold && load.isSlow()
	isHigh := ratio >= restoreThreshold
	if isKnown && e.lifecycle == policy.Ready && (!load.avoided && isLow || load.avoided && isHigh) {
		load.agreeing++
	} else {
		load.agreeing = 0
	}
	if load.agreeing >= agreeingEvaluations {
		r.toggleAvoided(now, id, e, ratio)
	}
	if !load.avoided && !(isKnown && isLow) {
		load.updateUsual(share/median, r.evaluations)
	}
}

// toggleAvoided starts or ends the avoidance of an endpoint for its load, and records it.
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

// updateUsual updates the moving averages of the usual share and latency with an evaluation. The usual share is the
// mean of all evaluations at first, and gives more weight to recent ones later.
func (l *loadShare) updateUsual(share float64, evaluations int) {
	l.usual += (share - l.usual) * max(shareWeight, 1/float64(evaluations))
	mean := l.meanLatency()
	if mean <= 0 {
		return
	}
	if l.usualLatency == 0 {
		l.usualLatency = mean
	}
	l.usualLatency += (mean - l.usualLatency) / latencySamples
}

// resetShares starts the interval of the next evaluation.
func (r *Recorder) resetShares(now policy.Instant) {
	r.attempts = 0
	r.evaluatedAt = now
	for _, e := range r.endpoints {
		e.load.attempts = 0
		e.load.answered = 0
		e.load.latency = 0
	}
}
