package policy

import (
	"math"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// initialOriginLimit is the concurrency limit over all nodes before the origin has answered. Each node gets an even
	// share of it, at least 1.
	initialOriginLimit = 16.0
	// minOriginLimit is the lowest limit over all nodes: a few attempts per core of the origin.
	minOriginLimit = 8.0
	// originLimitGrowth bounds the increase of a limit: a prompt answer raises it by at most this fraction of it, and
	// by at most 1/limit.
	originLimitGrowth = 0.1
	// originLimitDecrease is the factor that a late or lost answer applies to the limit: one such answer may be
	// coincidence, ten are evidence of overload.
	originLimitDecrease = 0.9
	// lateShareWindow is the number of answers over which the late share is smoothed.
	lateShareWindow = 10.0
	// originLatencyWindow is the number of answers over which the latency is smoothed.
	originLatencyWindow = 8
	// originBackoffGrowth multiplies the backoff with each consecutive rejection.
	originBackoffGrowth = 4.0
	// initialOriginRejections is the number of consecutive rejections assumed before the origin has answered, so that
	// nodes of a large fleet that all start at once back off on the first rejection. In fleets of less than about 2,000
	// nodes that rejection gets the longest backoff, maxProcessesPerNode times the stagger; in larger fleets it gets
	// 4^4-1 = 255 times slowThreshold. In a small fleet the stagger is 0, and so is the backoff.
	initialOriginRejections = 4
	// maxProcessesPerNode is how many processes of each configured node may run at the same time: two during an
	// upgrade. The longest backoff must be long enough that each process can make one attempt meanwhile.
	maxProcessesPerNode = 2.0
	// staggerDivisor is the divisor of the stagger that gives the period over which nodes spread their first attempts.
	staggerDivisor = 3
	// lateShareWeight is the weight of the late share in the shortage level: a quarter of the answers late is a full
	// shortage.
	lateShareWeight = 4.0
	// lostLatencyFactor is the multiple of the smoothed latency after which an attempt at the origin counts as lost, if
	// half of the latency objective has passed too.
	lostLatencyFactor = 3
)

// originLimit limits the load that this node puts on the origin. It prevents overload by misses: after many caches have
// started empty, all nodes would request every key from the origin at once, and all answers would be late. The
// concurrency limit grows with prompt answers and is cut by late or lost ones (additive increase, multiplicative
// decrease). Below 1 it becomes a minimum time between attempts. Consecutive rejections cause a backoff.
//
// For this limit an answer is prompt within half of the latency objective and late after that, whereas
// endedAttempt.inTime refers to the whole objective. Rejections and timeouts count as late.
type originLimit struct {
	settings    *Settings
	rng         *keyhash.Source
	latency     *latencyTracker // read for slowThreshold
	limit       float64         // attempts that may be in flight; may be less than 1
	decreasedAt Instant         // when the limit was last decreased
	// nextAt is when the next attempt may start while the limit is less than 1.
	nextAt          Instant
	smoothedLatency time.Duration // smoothed latency of attempts at the origin
	lateShare       float64       // fraction of recent attempts that were late, rejected or lost
	// rejections counts consecutive rejections.
	rejections   float64
	backoffUntil Instant // no attempts are sent before this time
	// stagger is Nodes/initialOriginLimit - 2, but at least 0, as a multiple of slowThreshold. The quotient is the time
	// in which every node of the fleet can make one attempt if initialOriginLimit nodes do so at a time. The two are
	// deducted so that fleets of up to twice initialOriginLimit nodes have no stagger.
	stagger float64
}

// newOriginLimit returns the limit of a node that starts now. Its random start-up delay depends on the slowThreshold of
// latency, which must have been refreshed before.
func newOriginLimit(now Instant, settings *Settings, rng *keyhash.Source, latency *latencyTracker) originLimit {
	nodes := float64(settings.Nodes)
	o := originLimit{
		settings:   settings,
		rng:        rng,
		latency:    latency,
		limit:      max(1, initialOriginLimit/nodes),
		rejections: initialOriginRejections,
		stagger:    max(0, nodes/initialOriginLimit-2),
	}
	o.backoffUntil = now.Add(time.Duration(rng.Float64() * o.stagger * float64(latency.slowThreshold) / staggerDivisor))
	return o
}

// available returns how many more attempts may start at the origin; 0 or less for none.
func (o *originLimit) available(now Instant, origin *upstream) int {
	backingOff := now < origin.health.ejectedUntil || now < o.backoffUntil
	spacing := o.limit < 1 && now < o.nextAt
	if backingOff || spacing {
		return 0
	}
	return int(max(1, o.limit)) - origin.load.inFlight
}

func (o *originLimit) recordStart(now Instant) {
	o.nextAt = now.Add(time.Duration(float64(o.smoothedLatency) / o.limit))
}

// recordEnd records the end of an attempt whose result depends on the origin's load.
func (o *originLimit) recordEnd(now Instant, ended endedAttempt) {
	latency := ended.latency
	if ended.Result == Rejected {
		// A fast rejection does not show how long the origin takes to serve a request.
		latency = max(latency, o.smoothedLatency)
		o.backOff(now)
	} else {
		o.rejections = 0
	}
	o.smoothedLatency += (latency - o.smoothedLatency) / originLatencyWindow
	if ended.inTime && latency <= ended.objective/2 {
		o.lateShare -= o.lateShare / lateShareWindow
		o.increase(float64(ended.inFlight))
		return
	}
	o.lateShare += (1 - o.lateShare) / lateShareWindow
	o.decrease(now)
}

// increase raises the limit, up to twice the attempts in flight. Otherwise an unused limit would grow with every answer
// and would not limit a burst of misses. In a large fleet, a limit of 1 or more grows less the more of the recent
// answers were late. This prevents a standing queue at the origin: near 1, where the limits of a large fleet are, a
// prompt answer would otherwise raise the limit by as much as a late one lowers it, and all limits would settle where
// half of the answers are late. The rule does not apply below 1, where answers are so rare that the late share is
// outdated.
func (o *originLimit) increase(inFlight float64) {
	headroom := max(0, 2*inFlight-o.limit)
	growth := min(1/o.limit, originLimitGrowth*o.limit, headroom)
	if o.isLargeFleet() && o.limit >= 1 {
		growth *= 1 - o.lateShare
	}
	o.limit += growth
}

// isLargeFleet reports whether there are more than twice initialOriginLimit nodes.
func (o *originLimit) isLargeFleet() bool { return float64(o.settings.Nodes) > 2*initialOriginLimit }

// decrease lowers the limit, at most once per slowThreshold: answers that are late at the same time have one cause.
func (o *originLimit) decrease(now Instant) {
	if now.Since(o.decreasedAt) <= o.latency.slowThreshold {
		return
	}
	o.limit = max(minOriginLimit/float64(o.settings.Nodes), o.limit*originLimitDecrease)
	o.decreasedAt = now
}

// backOff delays further attempts after a rejection. The first rejection after another result is weak evidence and
// causes no delay, since 4^0-1 = 0. Before the first other result, rejections starts at initialOriginRejections, so
// even the first rejection may cause one. After several rejections, all nodes may be backing off, and the jitter
// prevents them from returning at the same time.
func (o *originLimit) backOff(now Instant) {
	o.rejections++
	jitter := 0.5 + o.rng.Float64()
	slowAttempts := min(maxProcessesPerNode*o.stagger, math.Pow(originBackoffGrowth, o.rejections-1)-1)
	backoff := jitter * slowAttempts
	o.backoffUntil = now.Add(time.Duration(backoff * float64(o.latency.slowThreshold)))
}

// shortageLevel returns how short of capacity the origin is, from 0 for none to 1 or more for a full shortage: by the
// fraction of requests that found no capacity, and by the fraction of late answers.
func (o *originLimit) shortageLevel(shortageShare float64) float64 {
	return max(shortageShare, lateShareWeight*o.lateShare)
}

// lostAfter returns the time after which an attempt at the origin counts as lost.
func (o *originLimit) lostAfter(objective time.Duration) time.Duration {
	return max(lostLatencyFactor*o.smoothedLatency, objective/2)
}
