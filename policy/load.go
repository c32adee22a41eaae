package policy

// Constants of the load estimate.
const (
	// reportLifetime is the time in which a load report fades to the mean of all endpoints.
	reportLifetime = 5 * maxEjection
	// reportWindow is the number of reports over which the mean is taken: fewer would make it a matter of chance.
	reportWindow = 10.0
	// reportsSilent is the time without any report after which the mean is halved.
	reportTimeout = ticksPerDecay * tickPeriod
)

// observedLoad is what is known of the load of one endpoint.
type observedLoad struct {
	inFlight     int     // attempts of this router that are in flight there
	lastUsedAt   Instant // when a connection there was last in use
	externalLoad float64 // requests of others there, by its last report
	reportedAt   Instant // when it last reported; LongAgo if it did not
	answered     float64 // responses and misses, halved with each decay
}

// loadEstimator estimates how many requests an endpoint has in flight: this router's own, and those of others by its
// last report. Reports age towards the mean, as an endpoint that isn't sent to doesn't report either.
type loadEstimator struct {
	settings         *Settings
	meanExternalLoad float64 // mean of the foreign load over reports of caches
	lastReportAt     Instant // of any cache
}

// estimate returns the number of requests in flight at an endpoint.
func (e *loadEstimator) estimate(now Instant, u *upstream) float64 {
	freshness := max(0, 1-float64(now.Since(u.load.reportedAt))/float64(reportLifetime))
	return float64(u.load.inFlight) + e.meanExternalLoad + (u.load.externalLoad-e.meanExternalLoad)*freshness
}

// started records the start of an attempt.
func (e *loadEstimator) recordStart(now Instant, u *upstream) {
	u.load.inFlight++
	u.load.lastUsedAt = now
}

// ended records the end of an attempt. Misses count as answers: after a join most attempts miss, and the caches bear
// those as well.
func (e *loadEstimator) recordEnd(now Instant, u *upstream, result Result) {
	// An endpoint that restarts is forgotten while attempts are in flight; their ends must not be taken off others.
	u.load.inFlight = max(0, u.load.inFlight-1)
	u.load.lastUsedAt = now
	if result == Answered || result == CacheMiss {
		u.load.answered++
	}
}

// recordReport takes in the load report of an attempt. ownInFlight counts this router's attempts at that endpoint
// including the one that ended. A report of all requests in flight includes them, so they are subtracted; a report of
// the queue leaves out most of them, since most are being worked on.
func (e *loadEstimator) recordReport(now Instant, u *upstream, isOrigin bool, ownInFlight int, report []float64) {
	inFlight := e.settings.InFlightColumn
	queue := e.settings.QueueColumn
	switch {
	case inFlight >= 0 && inFlight < len(report):
		u.load.externalLoad = max(0, report[inFlight]-float64(ownInFlight))
		u.load.reportedAt = now
	case queue >= 0 && queue < len(report):
		u.load.externalLoad = max(0, report[queue])
		u.load.reportedAt = now
	default:
		// Guards against counting the endpoint's last report into the mean once more.
		return
	}
	if isOrigin {
		return
	}
	// One report counts for little more than twice the mean, or a few crowded caches would make all others look full.
	e.meanExternalLoad += (min(u.load.externalLoad, 2*e.meanExternalLoad+1) - e.meanExternalLoad) / reportWindow
	e.lastReportAt = now
}

// decay halves the count of answers, and the mean while no cache reports. The latter guards against a deadlock: if all
// caches look full, nothing is sent to them, so that no report would ever correct the mean.
func (e *loadEstimator) decay(now Instant, caches []*upstream) {
	if now.Since(e.lastReportAt) > reportTimeout {
		e.meanExternalLoad /= 2
	}
	for _, u := range caches {
		u.load.answered /= 2
	}
}
