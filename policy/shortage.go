package policy

const (
	// shortageWindow is the number of fetches over which the shortage is smoothed.
	shortageWindow = 50
	// missWindow is the number of requests over which the cost of misses is smoothed.
	missWindow = 50
	// missCostWeight is the weight of a miss, as a multiple of the cross-zone cost.
	missCostWeight = 20.0
)

// shortage measures how far the origin's capacity falls short of demand. It makes no decision itself: replica
// selection, hedging and zone-local placement are restricted in proportion to it, so that fewer requests reach the
// origin.
type shortage struct {
	settings *Settings
	// share is the fraction of requests bound for the origin that found no capacity there. In read-through mode, where
	// the origin is hidden behind the caches, it is the fraction of the load offered to the home zone's caches that was
	// not useful (admission.notUsefulShare).
	share float64
	// missCost is the fraction of requests that miss, times the weighted cross-zone cost of a miss.
	missCost float64
}

// recordFetch counts a request bound for the origin.
func (s *shortage) recordFetch(foundCapacity bool) {
	s.share -= s.share / shortageWindow
	if !foundCapacity {
		s.share += 1.0 / shortageWindow
	}
}

// setShare sets the share, in read-through mode.
func (s *shortage) setShare(share float64) {
	s.share = share
}

// recordRequest counts a request for the cost of misses.
func (s *shortage) recordRequest() {
	s.missCost -= s.missCost / missWindow
}

// recordMiss counts a miss. It assumes that each miss sends its request across zones to the origin; the origin's zone
// is not checked.
func (s *shortage) recordMiss() {
	s.missCost += missCostWeight * s.settings.CrossZoneCost / missWindow
}

// affinity returns how strongly reads should prefer the earlier replicas of their key, 0 to 1: each additional replica
// of a key fetches it once from the origin.
func (s *shortage) affinity() float64 {
	return max(s.share, min(1, s.missCost))
}
