package policy

import "testing"

// Reads stay with the first replicas of their key as far as fetches find no capacity, or as far as misses cost a
// crossing, and let go of them once neither is so any more.
func TestAffinityFollowsShortageAndMissCost(t *testing.T) {
	settings := testSettings()
	settings.CrossZoneCost = 0.5
	s := shortage{settings: &settings}
	for range 500 {
		s.recordFetch(false)
	}
	if s.affinity() < 0.9 {
		t.Errorf("affinity %.2f though no fetch finds capacity", s.affinity())
	}
	for range 500 {
		s.recordFetch(true)
	}
	if s.affinity() > 0.1 {
		t.Errorf("affinity %.2f though all fetches find capacity", s.affinity())
	}
	for range 500 {
		s.recordRequest()
		s.recordMiss()
	}
	if s.affinity() != 1 {
		t.Errorf("affinity %.2f though all requests miss at a cost", s.affinity())
	}
	for range 500 {
		s.recordRequest()
	}
	if s.affinity() > 0.1 {
		t.Errorf("affinity %.2f though no request misses", s.affinity())
	}
}
