package policy

// Parameters of the load estimate.
const (
	// reportLifetime is the time over which the estimate moves from an endpoint's load report to the mean over all
	// caches. An ejected endpoint gets no attempts and so sends no reports; as a multiple of maxEjection, the lifetime
	// keeps most of the weight of its last report through an ejection.
	reportLifetime = 5 * maxEjection
	// reportWindow is the number of reports over which the mean is smoothed. With fewer, the mean would mostly follow
	// random variation.
	reportWindow = 10.0
	// reportTimeout is the time without any report after which the mean is halved on each decay.
	reportTimeout = ticksPerDecay * tickPeriod
)

// observedLoad is what the router knows about the load of one endpoint.
type observedLoad struct {
	inFlight     int     // attempts of this router in flight at the endpoint
	lastUsedAt   Instant // when a connection to the endpoint was last used
	externalLoad float64 // requests from others, by the endpoint's last report
	reportedAt   Instant // time of the last report; LongAgo if there was none
	answered     float64 // answers and misses, halved with each decay
}

// loadEstimator estimates how many requests an endpoint has in flight: this router's own, and those of others by the
// endpoint's last report. An aging report is gradually replaced by the mean, because an endpoint that gets no attempts
// sends no reports either.
type loadEstimator struct {
	settings         *Settings
	meanExternalLoad float64 // mean external load over reports of caches
	lastReportAt     Instant // time of the last report of any cache
}

// estimate returns the number of requests in flight at an endpoint.
func (e *loadEstimator) estimate(now Instant, u *upstream) float64 {
	freshness := max(0, 1-float64(now.Since(u.load.reportedAt))/float64(reportLifetime))
	return float64(u.load.inFlight) + e.meanExternalLoad + (u.load.externalLoad-e.meanExternalLoad)*freshness
}

func (e *loadEstimator) recordStart(now Instant, u *upstream) {
	u.load.inFlight++
	u.load.lastUsedAt = now
}

// recordEnd records the end of an attempt. Misses count as answers: after a cache joins most attempts miss, and the
// caches handle that load too.
func (e *loadEstimator) recordEnd(now Instant, u *upstream, result Result) {
	// The state of an endpoint that restarts is reset while attempts are in flight, so the end of such an attempt must
	// not make the count negative.
	u.load.inFlight = max(0, u.load.inFlight-1)
	u.load.lastUsedAt = now
	if result == Answered || result == CacheMiss {
		u.load.answered++
	}
}

// recordReport records the load report of an attempt. ownInFlight is the number of this router's attempts at the
// endpoint, including the one that ended. A report of all requests in flight includes these attempts, so they are
// subtracted. A report of the queue does not include most of them, since most are being processed.
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
		// No report: return, or the endpoint's last report would be counted into the mean again.
		return
	}
	if isOrigin {
		return
	}
	// A single report is limited to little more than twice the mean; otherwise a few overloaded caches would make all
	// others look full.
	e.meanExternalLoad += (min(u.load.externalLoad, 2*e.meanExternalLoad+1) - e.meanExternalLoad) / reportWindow
	e.lastReportAt = now
}

// decay halves the count of answers, and also the mean while no cache reports. Halving the mean prevents a deadlock: if
// all caches look full, none of them gets an attempt, so no report would ever correct the mean.
func (e *loadEstimator) decay(now Instant, caches []*upstream) {
	if now.Since(e.lastReportAt) > reportTimeout {
		e.meanExternalLoad /= 2
	}
	for _, u := range caches {
		u.load.answered /= 2
	}
}
