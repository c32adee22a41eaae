package discovery

import "time"

// A backoff is drawn from a span that begins at 0.
const (
	// firstSpan is the span after the first lost connection: a long poll is to be renewed well within 200 ms.
	firstSpan = 50 * time.Millisecond

	// lostSpanPerNode is the least span for each node of the fleet once two polls in a row have failed: the whole
	// fleet then makes 200 polls a second at most.
	lostSpanPerNode = 10 * time.Millisecond

	// refusedSpanPerNode is the least span for each node after a refusal, as far as updates can wait.
	refusedSpanPerNode = 200 * time.Millisecond

	// maxDoublings is how often the span after a refusal doubles.
	maxDoublings = 2

	// maxLostDoublings is how often firstSpan doubles, which is beyond all the limits below.
	maxLostDoublings = 10

	// maxRefusedSpan is the longest span. With a poll that then times out, and the backoff after it, an update waits
	// 4.75 s.
	maxRefusedSpan = 3 * time.Second

	// maxLostSpan is the longest span after lost connections, which cost discovery least.
	maxLostSpan = 2 * time.Second

	// maxDoubtSpan is the longest span before the complete list is asked for, as the version held may not be known.
	maxDoubtSpan = 1500 * time.Millisecond

	// maxSlowSpan is the longest span after a poll that took until its timeout: that has spread the polls already.
	maxSlowSpan = 250 * time.Millisecond

	// spreadSpan is a span that spreads the polls of the fleet. After one, a backoff takes minSpreadShare of its span
	// at least.
	spreadSpan     = time.Second
	minSpreadShare = 0.75
)

// OnFailure records that a poll failed, and how long it took from its start, or from that of its connection where it
// needed one. It returns for how long to back off, 3 s at most, and whether this is the first failure in a row. The
// caller draws chance, from 0 up to 1.
//
// The backoff is a share by chance of a span that doubles with each failure. After a lost connection the span is short
// at first, so that the long poll goes on; after a refusal the number of nodes decides. Once a span is long, its
// backoffs have spread the nodes over it, and each node takes most of its span from then on. This guards against a
// discovery that is overloaded and kept so by all nodes, each of which polls as often as if it were alone.
func (p *Poller) OnFailure(failure Failure, took time.Duration, chance float64) (backoff time.Duration, first bool) {
	p.timedOut = failure == ConnectionLost && took >= p.NextPoll().Timeout
	p.failures++
	p.lost = failure == ConnectionLost
	if !p.lost { // a lost connection says nothing of the version
		p.versionInDoubt = failure == Unreadable && !p.needsComplete()
	}
	span := p.span(failure, took)
	if p.spread {
		chance = minSpreadShare + (1-minSpreadShare)*chance
	}
	p.spread = span >= spreadSpan
	return time.Duration(chance * float64(span)), p.failures == 1
}

// span returns the span from which the backoff is drawn.
func (p *Poller) span(failure Failure, took time.Duration) time.Duration {
	span := firstSpan << min(p.failures-1, maxLostDoublings)
	refusedSpan := max(firstSpan, time.Duration(p.nodes)*refusedSpanPerNode)
	switch {
	case failure == Refused:
		span = max(span, refusedSpan<<min(p.failures-1, maxDoublings))
	case p.failures > 1 || failure == Unreadable:
		span = max(span, time.Duration(p.nodes)*lostSpanPerNode)
	}
	return min(span, refusedSpan<<maxDoublings, p.maxSpan(failure, took))
}

// maxSpan returns the longest span that an update can wait for: the longer the poll took, the less is left.
func (p *Poller) maxSpan(failure Failure, took time.Duration) time.Duration {
	longest := maxRefusedSpan
	switch {
	case failure == ConnectionLost:
		longest = maxLostSpan
	case p.versionInDoubt:
		longest = maxDoubtSpan
	}
	taken := time.Duration(float64(took) * float64(longest) / float64(promptTimeout))
	return max(maxSlowSpan, longest-taken)
}
