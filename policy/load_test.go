package policy

import "testing"

// After a burst a few caches are crowded, and the mean of the reports is high. All caches without a recent report then
// looked full, so nothing was sent to them, and no report ever corrected the mean.
func TestFewOverloadedCachesDoNotSaturateTheLoadEstimate(t *testing.T) {
	settings := testSettings()
	settings.InFlightColumn = 0
	h := newHarness(t, settings, testFleet(45, false))
	h.loadReport = []float64{60}
	h.drive(100, 60*ms, distinctKey, always(Answered))
	oneInFiveCrowded := func(i int, _ EndpointID) Result {
		h.loadReport = []float64{60}
		if i%5 > 0 {
			h.loadReport = []float64{1}
		}
		return Answered
	}
	h.drive(400, 60*ms, distinctKey, oneInFiveCrowded)
	if _, sent := h.drive(100, 60*ms, distinctKey, oneInFiveCrowded); sent < 40 {
		t.Errorf("%d of 100 requests were sent though four of five caches are idle", sent)
	}
}

// One crowded cache must not raise the mean, and with it the load of all caches without a report, by all that it has.
func TestSingleLoadReportIsClampedInTheMean(t *testing.T) {
	settings := testSettings()
	settings.InFlightColumn = 0
	estimator := loadEstimator{settings: &settings}
	crowded := &upstream{}
	estimator.recordReport(1, crowded, false, 1, []float64{61})
	if crowded.load.externalLoad != 60 {
		t.Errorf("a report of 61 with 1 attempt of this router counts as %v of others", crowded.load.externalLoad)
	}
	if estimator.meanExternalLoad > 1/reportWindow {
		t.Errorf("one report of 61 raised the mean from 0 to %v", estimator.meanExternalLoad)
	}
}

// An attempt that ended without a report, at the very instant of its endpoint's last one, counted that report once
// more: the mean, and with it the load of all caches without a report, followed one cache.
func TestLoadReportEntersTheMeanOnce(t *testing.T) {
	settings := testSettings()
	settings.InFlightColumn = 0
	estimator := loadEstimator{settings: &settings}
	reporting := &upstream{}
	estimator.recordReport(1, reporting, false, 1, []float64{61})
	once := estimator.meanExternalLoad
	estimator.recordReport(1, reporting, false, 1, nil)
	if estimator.meanExternalLoad != once {
		t.Errorf("an attempt without a report moved the mean from %v to %v", once, estimator.meanExternalLoad)
	}
}
