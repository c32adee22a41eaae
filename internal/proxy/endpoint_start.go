package proxy

import (
	"time"

	"dahliapin/policy"
)

// maxAnnouncementDelay is how long ago an endpoint may have restarted before discovery's answers announce it, which
// they do within 6 s.
const maxAnnouncementDelay = 10 * time.Second

// processStart is when an endpoint's process last started, as stated by the list and by the node's own clock.
type processStart struct {
	statedMs float64        // Unix time in milliseconds; 0 for long ago
	at       policy.Instant // 0 for long ago
}

// processStartOf returns the start of an endpoint from the time that the list states, a result of endpointlist.StartMs.
// The list states start times by the wall clock, which may be set back or forward at any time; all other times are
// monotonic. A stated time is therefore converted to the node's clock once, when it is first stated, using the wall
// clock at that moment. From then on the same stated time is the same start; a different one, earlier or later, is
// another start.
//
// If the wall clock has been stepped, the converted time may be wrong. It is therefore limited: it is at most now and,
// after a restart, at least maxAnnouncementDelay before the last update of the list and later than the previous start.
// Otherwise an endpoint could count as warmed up, or as warming up, for the duration of the step.
func (p *Proxy) processStartOf(known *knownEndpoint, statedMs float64) processStart {
	if statedMs == 0 {
		return processStart{}
	}
	if known != nil && known.start.statedMs == statedMs {
		return known.start
	}
	wall := p.clock.wall()
	now := p.now()
	stated := time.Duration(statedMs * float64(time.Millisecond)) // since the Unix epoch
	at := now.Add(stated - time.Duration(wall.UnixNano()))
	if known != nil {
		at = max(at, p.endpoints.watch.updatedAt.Add(-maxAnnouncementDelay), known.start.at+1)
	}
	at = min(at, now)
	return processStart{statedMs: statedMs, at: at | 1} // never 0
}
