package policy

import "testing"

// After a burst a few caches are crowded, and the mean of the reports is high. All caches without a recent report then
// looked full, so nothing was sent to them, and no report ever corrected the mean.
func TestFewCrowdedCachesDoNotMakeTheOthersLookFull(t *testing.T) {
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
