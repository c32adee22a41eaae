package policy

const (
	// shortageWindow is the number of fetches over which the shortage is taken.
	shortageWindow = 50
	// missWindow is the number of requests over which the cost of misses is taken.
	missWindow = 50
	// missCostWeight is what a miss counts for, times the cost of a crossing.
	missCostWeight = 20.0
)

// shortage measures how far the origin falls short of what is asked of it. It decides nothing: replica selection,
// hedging and zones give up some freedom in proportion to it, so that fewer requests reach the origin.
type shortage struct {
	settings *Settings
	// share is the share of requests bound for the origin that found no capacity there. In read-through mode, where
	// the origin isn't seen, it is the share of attempts that are lost.
	share float64
	// missCost is the share of requests that miss, times what a miss costs where it crosses zones.
	missCost float64
}

// recordFetch counts a request bound for the origin.
func (s *shortage) recordFetch(foundCapacity bool) {
	s.share -= s.share / shortageWindow
	if !foundCapacity {
		s.share += 1.0 / shortageWindow
	}
}

// setLostShare sets the share in read-through mode.
func (s *shortage) setLostShare(lost float64) {
	s.share = lost
}

// recordRequest counts a request.
func (s *shortage) recordRequest() {
	s.missCost -= s.missCost / missWindow
}

// recordMiss counts a miss, which sends its request across zones to the origin.
func (s *shortage) recordMiss() {
	s.missCost += missCostWeight * s.settings.CrossZoneCost / missWindow
}

// affinity returns how far reads should stay with the earlier replicas of their key, 0 to 1: each replica that takes a
// key fetches it once from the origin.
func (s *shortage) affinity() float64 {
	return max(s.share, min(1, s.missCost))
}
