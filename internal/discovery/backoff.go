package discovery

import "time"

// A backoff is drawn at random between 0 and a limit, which depends on the kind and number of failures.
const (
	// initialLimit is the limit after the first lost connection: a long poll is to be renewed well within 200 ms.
	initialLimit = 50 * time.Millisecond

	// lostLimitPerNode is the minimum limit for each node of the fleet once two polls in a row have failed. It bounds
	// the rate of the whole fleet to 200 polls a second.
	lostLimitPerNode = 10 * time.Millisecond

	// refusedLimitPerNode is the minimum limit for each node of the fleet after a refusal. The maximum limits below
	// take precedence over it.
	refusedLimitPerNode = 200 * time.Millisecond

	// maxRefusedDoublings is how often the limit after a refusal doubles.
	maxRefusedDoublings = 2

	// maxInitialDoublings is how often initialLimit doubles; the result exceeds all maximum limits below.
	maxInitialDoublings = 10

	// maxRefusedLimit is the maximum of all limits. If the poll after such a backoff times out, an update waits 4.75 s,
	// including the backoff after the timeout.
	maxRefusedLimit = 3 * time.Second

	// maxLostLimit is the maximum limit after lost connections, which cost discovery least.
	maxLostLimit = 2 * time.Second

	// maxCompleteLimit is the maximum limit before the complete list is requested because discovery may not know the
	// version that the node holds.
	maxCompleteLimit = 1500 * time.Millisecond

	// maxTimedOutLimit is the maximum limit after a poll that took until its timeout, which has already spread the
	// polls.
	maxTimedOutLimit = 250 * time.Millisecond

	// spreadLimit is the limit from which a backoff counts as having spread the polls of the fleet. The next backoffs
	// then take at least minSpreadFraction of their limits.
	spreadLimit       = time.Second
	minSpreadFraction = 0.75
)

// OnFailure records that a poll failed after took, the time since its start, or since the start of its connection if it
// needed a new one. It returns the backoff, at most 3 s, and whether this is the first failure in a row. The caller
// draws jitter uniformly from [0, 1).
//
// The backoff is a random fraction of a limit that doubles with each failure. After a lost connection the limit is
// small at first, so that the long poll continues; after a refusal it depends on the number of nodes. A backoff with a
// large limit spreads the nodes over that time, and from then on each node takes most of its limit. Otherwise nodes
// that each poll as often as a single node may would keep an overloaded discovery overloaded.
func (p *Poller) OnFailure(failure Failure, took time.Duration, jitter float64) (backoff time.Duration, first bool) {
	p.timedOut = failure == ConnectionLost && took >= p.NextPoll().Timeout
	p.failures++
	p.connectionLost = failure == ConnectionLost
	if !p.connectionLost { // a lost connection says nothing about the version
		p.versionInDoubt = failure == Unreadable && !p.needsComplete()
	}
	limit := p.backoffLimit(failure, took)
	if p.pollsSpread {
		jitter = minSpreadFraction + (1-minSpreadFraction)*jitter
	}
	p.pollsSpread = limit >= spreadLimit
	return time.Duration(jitter * float64(limit)), p.failures == 1
}

// backoffLimit returns the limit of the backoff.
func (p *Poller) backoffLimit(failure Failure, took time.Duration) time.Duration {
	limit := initialLimit << min(p.failures-1, maxInitialDoublings)
	refusedLimit := max(initialLimit, time.Duration(p.nodes)*refusedLimitPerNode)
	switch {
	case failure == Refused:
		limit = max(limit, refusedLimit<<min(p.failures-1, maxRefusedDoublings))
	case p.failures > 1 || failure == Unreadable:
		limit = max(limit, time.Duration(p.nodes)*lostLimitPerNode)
	}
	return min(limit, refusedLimit<<maxRefusedDoublings, p.maxBackoffLimit(failure, took))
}

// maxBackoffLimit returns the maximum limit with which an update still arrives in time. It decreases with the time that
// the failed poll took.
func (p *Poller) maxBackoffLimit(failure Failure, took time.Duration) time.Duration {
	limit := maxRefusedLimit
	switch {
	case failure == ConnectionLost:
		limit = maxLostLimit
	case p.versionInDoubt:
		limit = maxCompleteLimit
	}
	reduction := time.Duration(float64(took) * float64(limit) / float64(promptTimeout))
	return max(maxTimedOutLimit, limit-reduction)
}
