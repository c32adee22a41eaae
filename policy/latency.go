package policy

import (
	"time"

	"dahliapin/internal/histogram"
)

// latencyTracker measures the latency of attempts at caches, and derives the thresholds after which an attempt counts
// as slow or lost. Its histograms decay with Router.Tick.
type latencyTracker struct {
	settings *Settings
	all      histogram.Histogram // latency of answered attempts
	unqueued histogram.Histogram // latency of answered attempts with less than one request ahead of them
	// perQueuedRequest is the latency in excess of an unqueued attempt's, per request that was ahead of the attempt.
	perQueuedRequest histogram.Histogram
	slowThreshold    time.Duration // 95th percentile, after which an attempt is reviewed
	responseTimeout  time.Duration // twice the 99th percentile, after which an attempt without a response is a failure
}

// observe records an answered attempt at a cache. loadAhead is the load estimate without the attempt.
func (t *latencyTracker) observe(latency time.Duration, loadAhead float64) {
	t.all.Observe(latency)
	if loadAhead < 1 {
		t.unqueued.Observe(latency)
		return
	}
	queued := float64(latency - t.unqueued.Quantile(0.5, 0))
	t.perQueuedRequest.Observe(time.Duration(queued / loadAhead))
}

// decay reduces the weight of older observations.
func (t *latencyTracker) decay() {
	t.all.Decay()
	t.unqueued.Decay()
	t.perQueuedRequest.Decay()
}

// refresh recomputes slowThreshold and responseTimeout. Until there are enough observations they follow the strictest
// latency objective. They are never shorter than the caller's timers can distinguish.
func (t *latencyTracker) refresh() {
	objective := t.settings.shortestObjective()
	t.slowThreshold = max(t.all.Quantile(0.95, objective/2), 2*t.settings.TickInterval)
	t.responseTimeout = max(2*t.all.Quantile(0.99, objective), 4*t.settings.TickInterval)
}

// lateProbability returns the probability that an attempt that has been in flight for the time elapsed will miss its
// objective.
func (t *latencyTracker) lateProbability(elapsed, objective time.Duration) float64 {
	return t.all.CountAbove(objective) / max(1, t.all.CountAbove(elapsed))
}

// queueDelay holds the median delay per queued request and the median latency without a queue.
type queueDelay struct {
	perRequest  float64       // nanoseconds per request ahead in the queue
	serviceTime time.Duration // latency of an attempt with no request ahead of it
}

func (t *latencyTracker) queueDelay() queueDelay {
	return queueDelay{
		perRequest:  float64(t.perQueuedRequest.Quantile(0.5, 0)),
		serviceTime: t.unqueued.Quantile(0.5, 0),
	}
}

// maxQueueingTime returns how much of the time left an attempt may spend in a queue: the time left minus the attempt's
// own service time, but at least a quarter of the time left. Without that minimum, idle caches whose service time takes
// up most of the objective would look full.
func (q queueDelay) maxQueueingTime(left time.Duration) time.Duration {
	return max(left-q.serviceTime, left/4)
}

// longestObjective returns the longest latency objective over all classes.
func (s *Settings) longestObjective() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.LatencyObjective)
	}
	return longest
}

// shortestObjective returns the shortest latency objective over all classes, at most a second.
func (s *Settings) shortestObjective() time.Duration {
	shortest := time.Second
	for _, class := range s.Classes {
		shortest = min(shortest, class.LatencyObjective)
	}
	return shortest
}
