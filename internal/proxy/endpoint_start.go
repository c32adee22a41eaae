package proxy

import (
	"time"

	"dahliapin/policy"
)

// maxAnnouncementDelay is how long an endpoint may have been started anew before discovery's answers tell of it: they
// do within 6 s.
const maxAnnouncementDelay = 10 * time.Second

// processStart is when an endpoint's process last started: as the list states it, and by the node's clock.
type processStart struct {
	statedMs float64        // Unix time in milliseconds; 0 for long ago
	at       policy.Instant // 0 for long ago
}

// processStartOf reads an endpoint's stated start. Only the list's times are of the wall clock, which may be stepped
// while the node and the endpoints run. So a stated time is turned into the node's own once, as it is first stated,
// by what the wall clock says then. The same stated time is the same start from then on; another one is another
// start, be it earlier or later. What a step makes of a start that is stated just then is bounded: none lies in the
// future, and an endpoint that was started anew was not so before the last answer that stated its old start, but for
// maxAnnouncementDelay. Guards against an endpoint that counts as warmed up, or as warming up, for as long as the
// step.
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
