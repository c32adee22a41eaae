package policy

import "testing"

// Reads must prefer the first replicas of their key while fetches find no capacity or misses cost a zone crossing, and
// stop preferring them once neither is the case.
func TestAffinityFollowsShortageAndMissCost(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.5
	s := shortage{settings: &settings}
	for range 500 {
		s.recordFetch(false)
	}
	if s.affinity() < 0.9 {
		t.Errorf("affinity is %.2f while no fetch finds capacity", s.affinity())
	}
	for range 500 {
		s.recordFetch(true)
	}
	if s.affinity() > 0.1 {
		t.Errorf("affinity is %.2f while all fetches find capacity", s.affinity())
	}
	for range 500 {
		s.recordRequest()
		s.recordMiss()
	}
	if s.affinity() != 1 {
		t.Errorf("affinity is %.2f while all requests miss at a cost", s.affinity())
	}
	for range 500 {
		s.recordRequest()
	}
	if s.affinity() > 0.1 {
		t.Errorf("affinity is %.2f while no request misses", s.affinity())
	}
}
