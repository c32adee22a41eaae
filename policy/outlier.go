package policy

import (
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// maxEjection is the longest ejection of an unresponsive endpoint: it bounds how late a recovery is noticed.
	maxEjection = 4 * time.Second
	// maxEjectionDoublings keeps the shift below from overflowing; maxEjection is reached before.
	maxEjectionDoublings = 6
	// failuresToEject is the number of failures in a row that eject an endpoint: a single one is often chance.
	failuresToEject = 2
	// maxErrorScore is the error score of a class from which its requests avoid an endpoint.
	maxErrorScore = 4
	// scorePerError makes two errors reach maxErrorScore.
	scorePerError = 2
	// scorePerBrokenConn makes four broken connections reach maxErrorScore: a connection broken under its attempt says
	// nothing of the next one, and an endpoint that has gone refuses that anyway.
	scorePerBrokenConn = 1
	// outlierStep is the part of the remaining way to 1 by which an error raises the outlier score.
	outlierStep = 0.5
	// outlierRetention is what a second, or an attempt that doesn't err, leaves of the outlier score; a second does
	// the same to the wasted share. Neither may stay: an endpoint that is avoided has no attempts to disprove them.
	outlierRetention = 0.9
	// wastedWindow is the number of attempts over which the wasted share is taken: a node meets one of many
	// endpoints too seldom for more.
	wastedWindow = 4.0
	// zoneFailuresToCut is the number of failed connects in a row to a zone after which it counts as cut off.
	zoneFailuresToUnreachable = 3
	// cutZoneTrialEvery makes one in so many attempts go to a zone that is cut off, to see whether it is back.
	unreachableZoneProbeInterval = 10.0
)

// observedHealth is what is known of the health of one endpoint.
type observedHealth struct {
	awaitingSince   Instant // start of the first attempt in flight, or the last response if that was later
	respondedAt     Instant // when it last responded
	failures        int     // attempts and health checks in a row without a response
	connectFailures int     // failed connects since it last responded
	ejectedUntil    Instant // it gets no attempts before
	errorScores     []uint8 // by class, the last one for unknown classes; halved by answers and by each second
	outlierScore    float64 // 0 to 1: how far it is believed to err, by requests of any class
	wastedShare     float64 // 0 to 1: share of the last few attempts that it rejected, answered late or lost
	// lastInTimeSentAt is when the latest attempt started that was answered in time.
	lastInTimeSentAt Instant
}

// outlierDetector decides which endpoints to avoid for their faults: by failures in a row (no response, or no
// connection), by errors of a class, and zone by zone where no connection can be opened.
type outlierDetector struct {
	settings *Settings
	rng      *keyhash.Source
	latency  *latencyTracker // read for patience
	// zoneConnectFailures counts the failed connects to each zone since one of its endpoints last responded. A cut
	// between zones shows at hundreds of endpoints that each are met seldom, so what one shows counts for all.
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

// unreachable reports whether an endpoint takes no connections.
func (h *observedHealth) unreachable(now Instant) bool {
	return h.connectFailures >= failuresToEject && now < h.ejectedUntil
}

// unresponsive reports whether an endpoint is ejected, or an attempt there has had no response for longer than
// patience. After an ejection a single attempt may show that it is back, or a health check if there are any.
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

// recordFailure counts an attempt or health check without a response, and ejects the endpoint after the second. Each
// further failure doubles the ejection.
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

// recordHealthCheck takes in the result of a health check. A good one ends the ejection, but one more failure renews
// it.
func (d *outlierDetector) recordHealthCheck(now Instant, u *upstream, result Result) {
	if result != Answered {
		d.recordFailure(now, u, result)
		return
	}
	u.health.failures = min(u.health.failures, failuresToEject-1)
	u.health.connectFailures = 0
	u.health.ejectedUntil = 0
}

// started records the start of an attempt; called before it counts as in flight.
func (d *outlierDetector) recordStart(now Instant, u *upstream) {
	if u.load.inFlight == 0 {
		u.health.awaitingSince = now
	}
}

// recordErrors updates the scores of errors by the result of an attempt.
func (d *outlierDetector) recordErrors(u *upstream, classIndex int, result Result) {
	u.health.outlierScore *= outlierRetention
	score := &u.health.errorScores[classIndex]
	switch result {
	case Errored:
		u.health.outlierScore += (1 - u.health.outlierScore) * outlierStep
		*score = min(*score+scorePerError, 2*maxErrorScore)
	case ConnectionBroken:
		*score = min(*score+scorePerBrokenConn, 2*maxErrorScore)
	case Answered:
		*score /= 2
	}
}

// recordResponse updates the failures in a row by the result of an attempt. Silence is a failure only if it outlasted
// patience, and if the endpoint hasn't responded to anything else meanwhile: attempts that end after a few milliseconds
// since their requests have no more time left say nothing of the endpoint.
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
		outlastedPatience := now.Since(ended.SentAt) > d.latency.responseTimeout
		if !respondedMeanwhile && (ended.Result == ConnectFailed || outlastedPatience) {
			d.recordFailure(now, u, ended.Result)
		}
	}
}

// recordUsefulness moves the wasted share towards that of one more attempt, which was useful by a share of 0 to 1.
func (d *outlierDetector) recordUsefulness(u *upstream, useful float64) {
	u.health.wastedShare += (1 - useful - u.health.wastedShare) / wastedWindow
}

// reachesZone reports whether an attempt may go to an endpoint's zone: while that is cut off, by chance only. By
// ejections alone, each endpoint of the zone would have to fail before it is avoided.
func (d *outlierDetector) allowsZone(u *upstream) bool {
	return u.Zone == d.settings.Zone || d.zoneConnectFailures[u.Zone] < zoneFailuresToUnreachable ||
		d.rng.Float64()*unreachableZoneProbeInterval < 1
}

// decay fades what was learned of caches, once a second.
func (d *outlierDetector) decay(caches []*upstream) {
	for _, u := range caches {
		u.health.outlierScore *= outlierRetention
		u.health.wastedShare *= outlierRetention
		for class := range u.health.errorScores {
			u.health.errorScores[class] /= 2
		}
	}
}

// dueHealthChecks returns the health checks that are due: of endpoints whose ejection is over. The next one of the same
// endpoint follows after patience: ejectedUntil is moved on by that, so the endpoint stays ejected meanwhile.
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
