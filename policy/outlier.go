package policy

import (
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// maxEjection is the longest ejection of an unresponsive endpoint. It bounds the delay until a recovery is noticed.
	maxEjection = 4 * time.Second
	// maxEjectionDoublings prevents an overflow of the shift in recordFailure; maxEjection is reached before.
	maxEjectionDoublings = 6
	// failuresToEject is the number of consecutive failures that eject an endpoint: a single one is often coincidence.
	failuresToEject = 2
	// errorScoreToAvoid is the error score of a class from which requests of the class avoid an endpoint.
	errorScoreToAvoid = 4
	// maxErrorScore is the highest error score of a class.
	maxErrorScore = 2 * errorScoreToAvoid
	// scorePerError is the score of an error: two errors reach errorScoreToAvoid.
	scorePerError = 2
	// scorePerBrokenConn is the score of a broken connection: four reach errorScoreToAvoid. A connection that breaks
	// during an attempt does not predict whether the next one breaks, and an endpoint that is gone refuses connections
	// anyway.
	scorePerBrokenConn = 1
	// outlierStep is the fraction of the distance to 1 by which an error raises the outlier score.
	outlierStep = 0.5
	// outlierRetention is the fraction of the outlier score that remains after a second or after an attempt. The wasted
	// share is also multiplied by it each second. Both must decay over time: an endpoint that is avoided gets no
	// attempts that could correct them.
	outlierRetention = 0.9
	// wastedWindow is the number of attempts over which the wasted share is smoothed. A larger window would not fill: a
	// node rarely sends to any one of many endpoints.
	wastedWindow = 4.0
	// zoneFailuresToUnreachable is the number of consecutive failed connects to a zone after which it counts as
	// unreachable.
	zoneFailuresToUnreachable = 3
	// unreachableZoneProbeInterval is the mean number of candidate attempts per attempt that is let through to an
	// unreachable zone, to detect a recovery.
	unreachableZoneProbeInterval = 10.0
)

// observedHealth is what the router knows about the health of one endpoint.
type observedHealth struct {
	awaitingSince   Instant // start of the first attempt in flight, or the last response if later
	respondedAt     Instant // time of the last response
	failures        int     // consecutive failures, as counted by recordFailure
	connectFailures int     // failed connects since the last response
	ejectedUntil    Instant // no attempts are sent before this time
	errorScores     []uint8 // by class, the last one for unknown classes; halved by each answer and each second
	outlierScore    float64 // 0 to 1; raised by errors on requests of any class
	wastedShare     float64 // 0 to 1; fraction of recent attempts that were rejected, answered late or lost
	// lastInTimeSentAt is the latest start of an attempt that was answered in time.
	lastInTimeSentAt Instant
}

// outlierDetector decides which endpoints to avoid because of faults: by consecutive failures (no response, no
// connection, or a health check that was sent and not successful), by errors per class, and per zone where no
// connection can be opened.
type outlierDetector struct {
	settings *Settings
	rng      *keyhash.Source
	latency  *latencyTracker // read for responseTimeout
	// zoneConnectFailures counts the failed connects to each zone since one of its endpoints last responded. A
	// partition between zones affects hundreds of endpoints that each get few attempts, so a failure at one counts for
	// the whole zone.
	zoneConnectFailures map[ZoneID]int
}

func newOutlierDetector(settings *Settings, rng *keyhash.Source, latency *latencyTracker) outlierDetector {
	return outlierDetector{
		settings:            settings,
		rng:                 rng,
		latency:             latency,
		zoneConnectFailures: map[ZoneID]int{},
	}
}

// unreachable reports whether an endpoint accepts no connections.
func (h *observedHealth) unreachable(now Instant) bool {
	return h.connectFailures >= failuresToEject && now < h.ejectedUntil
}

// unresponsive reports whether an endpoint is ejected, or has not responded to an attempt for longer than
// responseTimeout. After an ejection, a single attempt, or a health check if the settings allow these, tests whether
// the endpoint has recovered.
func (d *outlierDetector) unresponsive(now Instant, u *upstream) bool {
	if now < u.health.ejectedUntil {
		return true
	}
	hasInFlight := u.load.inFlight > 0
	if u.health.failures >= failuresToEject && (hasInFlight || d.settings.HealthChecksAllowed) {
		return true
	}
	return hasInFlight && now.Since(u.health.awaitingSince) > d.latency.responseTimeout
}

// recordFailure counts an attempt without a response, or a health check with any result but Answered and NotSent. The
// second and each further consecutive one ejects the endpoint, for twice as long each time, up to maxEjection.
func (d *outlierDetector) recordFailure(now Instant, u *upstream, result Result) {
	u.health.failures++
	if result == ConnectFailed {
		u.health.connectFailures++
		d.zoneConnectFailures[u.Zone]++
	}
	if u.health.failures < failuresToEject {
		return
	}
	doublings := min(u.health.failures-failuresToEject, maxEjectionDoublings)
	ejection := max(tickPeriod, d.latency.responseTimeout) << doublings
	u.health.ejectedUntil = now.Add(min(maxEjection, ejection))
}

// recordHealthCheck records the result of a health check. A successful one ends the ejection, but a single further
// failure renews it. One that was not sent, for a reason on the caller's machine, changes nothing: the next one is due
// once the current ejection ends.
func (d *outlierDetector) recordHealthCheck(now Instant, u *upstream, result Result) {
	if result == NotSent {
		return
	}
	if result != Answered {
		d.recordFailure(now, u, result)
		return
	}
	u.health.failures = min(u.health.failures, failuresToEject-1)
	u.health.connectFailures = 0
	u.health.ejectedUntil = 0
}

// recordStart records the start of an attempt. Call it before the attempt counts as in flight.
func (d *outlierDetector) recordStart(now Instant, u *upstream) {
	if u.load.inFlight == 0 {
		u.health.awaitingSince = now
	}
}

// recordErrors updates the error scores and the outlier score from the result of an attempt.
func (d *outlierDetector) recordErrors(u *upstream, classIndex int, result Result) {
	u.health.outlierScore *= outlierRetention
	score := &u.health.errorScores[classIndex]
	switch result {
	case Errored:
		u.health.outlierScore += (1 - u.health.outlierScore) * outlierStep
		*score = min(*score+scorePerError, maxErrorScore)
	case ConnectionBroken:
		*score = min(*score+scorePerBrokenConn, maxErrorScore)
	case Answered:
		*score /= 2
	}
}

// recordResponse updates the consecutive failures from the result of an attempt. A missing response is a failure only
// if the endpoint has not responded to anything else meanwhile, and if either the connect failed or the attempt lasted
// longer than responseTimeout: attempts that end after a few milliseconds because their requests have no time left are
// no evidence against the endpoint.
func (d *outlierDetector) recordResponse(now Instant, u *upstream, ended endedAttempt) {
	if ended.inTime {
		u.health.lastInTimeSentAt = max(u.health.lastInTimeSentAt, ended.SentAt)
	}
	switch ended.Result {
	case Answered, CacheMiss, Errored, Rejected:
		u.health.awaitingSince = now
		u.health.respondedAt = now
		u.health.failures = 0
		u.health.connectFailures = 0
		u.health.ejectedUntil = 0
		d.zoneConnectFailures[u.Zone] = 0
	case TimedOut, ConnectFailed, Cancelled:
		respondedMeanwhile := u.health.respondedAt >= ended.SentAt
		exceededTimeout := now.Since(ended.SentAt) > d.latency.responseTimeout
		if !respondedMeanwhile && (ended.Result == ConnectFailed || exceededTimeout) {
			d.recordFailure(now, u, ended.Result)
		}
	}
}

// recordUsefulness updates the wasted share with an attempt whose usefulness is given from 0 to 1.
func (d *outlierDetector) recordUsefulness(u *upstream, useful float64) {
	u.health.wastedShare += (1 - useful - u.health.wastedShare) / wastedWindow
}

// allowsZone reports whether an attempt may go to an endpoint's zone. While the zone is unreachable, this is decided at
// random. With ejections alone, each endpoint of the zone would have to fail before it is avoided.
func (d *outlierDetector) allowsZone(u *upstream) bool {
	return u.Zone == d.settings.Zone || d.zoneConnectFailures[u.Zone] < zoneFailuresToUnreachable ||
		d.rng.Float64()*unreachableZoneProbeInterval < 1
}

// decay reduces the weight of what was learned about caches, once a second.
func (d *outlierDetector) decay(caches []*upstream) {
	for _, u := range caches {
		u.health.outlierScore *= outlierRetention
		u.health.wastedShare *= outlierRetention
		for class := range u.health.errorScores {
			u.health.errorScores[class] /= 2
		}
	}
}

// dueHealthChecks returns the health checks that are due, for endpoints whose ejection time has passed. It ejects them
// again for responseTimeout, in which the check can end.
func (d *outlierDetector) dueHealthChecks(now Instant, caches []*upstream) []Action {
	if !d.settings.HealthChecksAllowed {
		return nil
	}
	var actions []Action
	for _, u := range caches {
		if u.health.failures >= failuresToEject && now >= u.health.ejectedUntil {
			actions = append(actions, Action{Kind: CheckHealth, Endpoint: u.ID})
			u.health.ejectedUntil = now.Add(d.latency.responseTimeout)
		}
	}
	return actions
}
