package discovery

import "time"

// A backoff is drawn from a span that begins at 0.
const (
	// initialLimit is the span after the first lost connection: a long poll is to be renewed well within 200 ms.
	initialLimit = 50 * time.Millisecond

	// lostLimitPerNode is the least span for each node of the fleet once two polls in a row have failed: the whole
	// fleet then makes 200 polls a second at most.
	lostLimitPerNode = 10 * time.Millisecond

	// refusedLimitPerNode is the least span for each node after a refusal, as far as updates can wait.
	refusedLimitPerNode = 200 * time.Millisecond

	// maxRefusedDoublings is how often the span after a refusal doubles.
	maxRefusedDoublings = 2

	// maxInitialDoublings is how often firstSpan doubles, which is beyond all the limits below.
	maxInitialDoublings = 10

	// maxRefusedLimit is the longest span. With a poll that then times out, and the backoff after it, an update waits
	// 4.75 s.
	maxRefusedLimit = 3 * time.Second

	// maxLostLimit is the longest span after lost connections, which cost discovery least.
	maxLostLimit = 2 * time.Second

	// maxCompleteLimit is the longest span before the complete list is asked for, as the version held may not be known.
	maxCompleteLimit = 1500 * time.Millisecond

	// maxTimedOutLimit is the longest span after a poll that took until its timeout: that has spread the polls already.
	maxTimedOutLimit = 250 * time.Millisecond

	// spreadLimit is a span that spreads the polls of the fleet. After one, a backoff takes minSpreadShare of its span
	// at least.
	spreadLimit       = time.Second
	minSpreadFraction = 0.75
)

// OnFailure records that a poll failed, and how long it took from its start, or from that of its connection where it
// needed one. It returns for how long to back off, 3 s at most, and whether this is the first failure in a row. The
// caller draws chance, from 0 up to 1.
//
// The backoff is a share by chance of a span that doubles with each failure. After a lost connection the span is short
// at first, so that the long poll goes on; after a refusal the number of nodes decides. Once a span is long, its
// backoffs have spread the nodes over it, and each node takes most of its span from then on. This guards against a
// discovery that is overloaded and kept so by all nodes, each of which polls as often as if it were alone.
func (p *Poller) OnFailure(failure Failure, took time.Duration, jitter float64) (backoff time.Duration, first bool) {
	p.timedOut = failure == ConnectionLost && took >= p.NextPoll().Timeout
	p.failures++
	p.connectionLost = failure == ConnectionLost
	if !p.connectionLost { // a lost connection says nothing of the version
		p.versionInDoubt = failure == Unreadable && !p.needsComplete()
	}
	limit := p.backoffLimit(failure, took)
	if p.pollsSpread {
		jitter = minSpreadFraction + (1-minSpreadFraction)*jitter
	}
	p.pollsSpread = limit >= spreadLimit
	return time.Duration(jitter * float64(limit)), p.failures == 1
}

// backoffLimit returns the backoffLimit from which the backoff is drawn.
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

// maxBackoffLimit returns the longest span that an update can wait for: the longer the poll took, the less is left.
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
