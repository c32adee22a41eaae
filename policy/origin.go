package policy

import (
	"math"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// initialOriginLimit is the concurrency limit over all nodes before the origin has answered. Each node has its
	// part of it, at least 1.
	initialOriginLimit = 16.0
	// minOriginLimit is the least limit over all nodes: a few for each core of the origin.
	minOriginLimit = 8.0
	// originLimitGrowth is the part by which an answer in time raises a limit under the root of 10: beyond it 1/limit is
	// less.
	originLimitGrowth = 0.1
	// originLimitCut is the part of the limit that a late or lost answer leaves: one is chance, ten are a sign.
	originLimitDecrease = 0.9
	// lateShareWindow is the number of answers over which the late share is taken.
	lateShareWindow = 10.0
	// originLatencyWindow is the number of answers over which the latency is smoothed.
	originLatencyWindow = 8
	// originBackoffGrowth multiplies the backoff with each rejection in a row.
	originBackoffGrowth = 4.0
	// initialOriginRejections is the number of rejections that count before the origin has answered anything, so that
	// nodes of a large fleet that all start at once back off at the first. That one is then the fifth in a row, which
	// makes 4^4-1 = 255 slow attempts with originBackoffGrowth: in practice the bound by the stagger (see backOff). In
	// a small fleet the stagger is 0, and so is the pause.
	initialOriginRejections = 4
	// maxProcessesPerNode is how many processes of each stated node may run: two, in an upgrade. The longest backoff
	// must hold for all of them.
	maxProcessesPerNode = 2.0
	// startupSpread is the part of the stagger over which nodes spread their first attempt.
	staggerDivisor = 3
	// latePressure is the multiple of the late share at which the origin counts as short: a quarter is full.
	lateShareWeight = 4.0
	// lostOriginAttempt is the multiple of the usual latency after which an attempt at the origin counts as lost,
	// if half the latency objective is over too.
	lostLatencyFactor = 3
)

// originLimit bounds what this node asks of the origin. The failure it guards against: all nodes together, after many
// caches have started empty, ask the origin for every key at once, and what it does then is late for all of them. The
// concurrency limit grows with answers in time and is cut by late or lost ones (additive increase, multiplicative
// decrease); under 1 it becomes a distance in time. Rejections in a row lead to a backoff.
type originLimit struct {
	settings    *Settings
	rng         *keyhash.Source
	latency     *latencyTracker // read for slow
	limit       float64         // attempts that may be in flight; may be under 1
	decreasedAt Instant         // when the limit was last cut
	// nextAt is when the next attempt may start while the limit is under 1.
	nextAt          Instant
	smoothedLatency time.Duration // smoothed latency of attempts
	lateShare       float64       // share of the last answers that came after half the latency objective or never
	// rejections counts those in a row.
	rejections   float64
	backoffUntil Instant // no attempts before
	// stagger is how many slow attempts the fleet needs beyond the first limit so that each node has had one; 0 for
	// fleets of up to twice initialOriginLimit nodes.
	stagger float64
}

// newOriginLimit makes the limit of a node that starts now. It draws the start-up stagger, for which latency must have
// been refreshed.
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

// free returns how many more attempts may start at the origin; 0 or less for none.
func (o *originLimit) available(now Instant, origin *upstream) int {
	backingOff := now < origin.health.ejectedUntil || now < o.backoffUntil
	spacing := o.limit < 1 && now < o.nextAt
	if backingOff || spacing {
		return 0
	}
	return int(max(1, o.limit)) - origin.load.inFlight
}

// started records the start of an attempt.
func (o *originLimit) recordStart(now Instant) {
	o.nextAt = now.Add(time.Duration(float64(o.smoothedLatency) / o.limit))
}

// record takes in the end of an attempt whose result depends on the origin's load.
func (o *originLimit) record(now Instant, ended endedAttempt) {
	latency := ended.latency
	if ended.Result == Rejected {
		// How soon it rejects doesn't show how long its work takes.
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

// raise lets the limit grow towards twice the attempts in flight at the most. A limit that isn't used would otherwise
// grow with every answer, and bound nothing once misses come in a storm. In a large fleet, from one attempt on, it grows
// by less the more of the last answers were late. Guards against a standing queue at the origin: near 1, where limits
// of a large fleet are, an answer raises the limit by as much as a late one cuts it, so that all of them would settle
// where half of the answers are late. Under one attempt answers are so rare that the late share tells of the past.
func (o *originLimit) increase(inFlight float64) {
	headroom := max(0, 2*inFlight-o.limit)
	growth := min(1/o.limit, originLimitGrowth*o.limit, headroom)
	if o.isLargeFleet() && o.limit >= 1 {
		growth *= 1 - o.lateShare
	}
	o.limit += growth
}

// isLargeFleet reports whether the nodes are over twice initialOriginLimit.
func (o *originLimit) isLargeFleet() bool { return float64(o.settings.Nodes) > 2*initialOriginLimit }

// cut lowers the limit, at most once in the time of a slow attempt: what is late together has one cause.
func (o *originLimit) decrease(now Instant) {
	if now.Since(o.decreasedAt) <= o.latency.slowThreshold {
		return
	}
	o.limit = max(minOriginLimit/float64(o.settings.Nodes), o.limit*originLimitDecrease)
	o.decreasedAt = now
}

// backOff pauses attempts after a rejection. The first one in a row says little and pauses nothing; after more of them
// all nodes may be rejected, and must not come back together.
func (o *originLimit) backOff(now Instant) {
	o.rejections++
	jitter := 0.5 + o.rng.Float64()
	slowAttempts := min(maxProcessesPerNode*o.stagger, math.Pow(originBackoffGrowth, o.rejections-1)-1)
	backoff := jitter * slowAttempts
	o.backoffUntil = now.Add(time.Duration(backoff * float64(o.latency.slowThreshold)))
}

// shortageLevel returns how short the origin is, 0 for not at all and 1 or more for fully: by the requests that found
// no capacity, and by the share of late answers.
func (o *originLimit) shortageLevel(shortageShare float64) float64 {
	return max(shortageShare, lateShareWeight*o.lateShare)
}

// lostAfter returns how long after it was sent an attempt at the origin counts as lost.
func (o *originLimit) lostAfter(objective time.Duration) time.Duration {
	return max(lostLatencyFactor*o.smoothedLatency, objective/2)
}
