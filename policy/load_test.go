package policy

import "testing"

// Guards against a deadlock of the load estimate: after a burst, a few overloaded caches raised the mean of the
// reports, so that all caches without a recent report looked full, got no attempts, and sent no report that would have
// corrected the mean.
func TestFewOverloadedCachesDoNotSaturateTheLoadEstimate(t *testing.T) {
	settings := testSettings()
	settings.InFlightColumn = 0
	h := newHarness(t, settings, testFleet(45, false))
	h.loadReport = []float64{60}
	h.drive(100, 60*ms, distinctKey, always(Answered))
	oneInFiveOverloaded := func(i int, _ EndpointID) Result {
		h.loadReport = []float64{60}
		if i%5 > 0 {
			h.loadReport = []float64{1}
		}
		return Answered
	}
	h.drive(400, 60*ms, distinctKey, oneInFiveOverloaded)
	if _, sent := h.drive(100, 60*ms, distinctKey, oneInFiveOverloaded); sent < 40 {
		t.Errorf("%d of 100 requests were sent while four of five caches are idle", sent)
	}
}

// One overloaded cache must not raise the mean, and with it the load estimate of all caches without a report, by its
// full load.
func TestSingleLoadReportIsClampedInTheMean(t *testing.T) {
	settings := testSettings()
	settings.InFlightColumn = 0
	estimator := loadEstimator{settings: &settings}
	overloaded := &upstream{}
	estimator.recordReport(1, overloaded, false, 1, []float64{61})
	if overloaded.load.externalLoad != 60 {
		t.Errorf("external load is %v after a report of 61 with 1 own attempt, want 60", overloaded.load.externalLoad)
	}
	if estimator.meanExternalLoad > 1/reportWindow {
		t.Errorf("a single report of 61 raised the mean from 0 to %v", estimator.meanExternalLoad)
	}
}

// Guards against counting a report twice: an attempt that ended without a report, at the same instant as its endpoint's
// last report, counted that report into the mean again, so that the load estimate of all caches without a report
// followed one cache.
func TestLoadReportEntersTheMeanOnce(t *testing.T) {
	settings := testSettings()
	settings.InFlightColumn = 0
	estimator := loadEstimator{settings: &settings}
	reporting := &upstream{}
	estimator.recordReport(1, reporting, false, 1, []float64{61})
	afterFirstReport := estimator.meanExternalLoad
	estimator.recordReport(1, reporting, false, 1, nil)
	if estimator.meanExternalLoad != afterFirstReport {
		t.Errorf("an attempt without a report changed the mean from %v to %v", afterFirstReport, estimator.meanExternalLoad)
	}
}
