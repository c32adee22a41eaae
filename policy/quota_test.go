package policy

import (
	"testing"
	"time"
)

func TestRequestsOverQuotaHaveLowerPriority(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{QuotaPerSecond: 10}}
	settings.OverQuotaWeight = 0.05
	h := newHarness(t, settings, testFleet(12, false))
	h.now = Instant(5 * time.Second)
	withinQuota := 0
	for range 50 {
		r := &Request{Tenant: 0, Deadline: h.now.Add(time.Second)}
		h.router.initState(h.now, r)
		if r.state.priority == 1 {
			withinQuota++
		}
	}
	if withinQuota < 8 || withinQuota > 12 {
		t.Errorf("%d of 50 simultaneous requests counted as within a quota of 10 per second, want 8 to 12", withinQuota)
	}
}
