package policy

import (
	"time"

	"dahliapin/internal/histogram"
)

// latencyTracker measures how long attempts at caches take, and derives the times after which an attempt is slow or
// lost. The histograms decay with Router.Tick.
type latencyTracker struct {
	settings *Settings
	all      histogram.Histogram // latency of attempts that were answered
	unqueued histogram.Histogram // the same, of those with less than one request before them
	// perQueued is the latency beyond an unqueued attempt's, for each request that was there before.
	perQueuedRequest histogram.Histogram
	slowThreshold    time.Duration // the 95th percentile: when an attempt is reviewed
	responseTimeout  time.Duration // twice the 99th percentile: an attempt without a response for longer is a failure
}

// observe records an attempt at a cache that was answered. before is the load estimate without the attempt.
func (t *latencyTracker) observe(latency time.Duration, before float64) {
	t.all.Observe(latency)
	if before < 1 {
		t.unqueued.Observe(latency)
		return
	}
	queued := float64(latency - t.unqueued.Quantile(0.5, 0))
	t.perQueuedRequest.Observe(time.Duration(queued / before))
}

// decay lets older observations count for less.
func (t *latencyTracker) decay() {
	t.all.Decay()
	t.unqueued.Decay()
	t.perQueuedRequest.Decay()
}

// refresh derives slow and patience. Before anything is observed they follow the strictest latency objective; they are
// never so short that the caller's timers couldn't distinguish them.
func (t *latencyTracker) refresh() {
	objective := t.settings.shortestObjective()
	t.slowThreshold = max(t.all.Quantile(0.95, objective/2), 2*t.settings.TickInterval)
	t.responseTimeout = max(2*t.all.Quantile(0.99, objective), 4*t.settings.TickInterval)
}

// lateProbability returns the chance that an attempt that has been in flight for elapsed misses its objective.
func (t *latencyTracker) lateProbability(elapsed, objective time.Duration) float64 {
	return t.all.CountAbove(objective) / max(1, t.all.CountAbove(elapsed))
}

// queueing says what a queue costs, at the median.
type queueCost struct {
	perRequest  float64       // nanoseconds for each request in front
	serviceTime time.Duration // of an attempt with none in front
}

func (t *latencyTracker) queueCost() queueCost {
	return queueCost{
		perRequest:  float64(t.perQueuedRequest.Quantile(0.5, 0)),
		serviceTime: t.unqueued.Quantile(0.5, 0),
	}
}

// timeForQueue returns how much of the time left may go by in a queue: all but the attempt's own work, yet a quarter
// at least. Without that quarter, idle caches whose own work takes most of the objective looked full.
func (q queueCost) maxQueueingTime(left time.Duration) time.Duration {
	return max(left-q.serviceTime, left/4)
}

// longestObjective returns the longest latency objective of all classes.
func (s *Settings) longestObjective() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Classes {
		longest = max(longest, class.LatencyObjective)
	}
	return longest
}

// shortestObjective returns the shortest latency objective of all classes, a second at most.
func (s *Settings) shortestObjective() time.Duration {
	shortest := time.Second
	for _, class := range s.Classes {
		shortest = min(shortest, class.LatencyObjective)
	}
	return shortest
}
