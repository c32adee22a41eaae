package proxy

import (
	"time"

	"dahliapin/policy"
)

// untoldMost is how long before an answer of discovery a cache may have started anew that the answer does not tell of: news is told within 6 s.
const maxAnnouncementDelay = 10 * time.Second

// processStart is when a cache's process last started: as the list states it, and by the node's clock.
type processStart struct {
	statedMs float64        // Unix milliseconds; 0 for long ago
	at       policy.Instant // 0 for long ago
}

// processStartOf reads a cache's stated start. Only the list's times are wall clock, which may be stepped while the node and the caches run: so a stated
// time is turned into the node's own once, as it is first told, by what the wall clock says then; the same stated time is the same start from then
// on, and another one is another start, be it earlier or later. What the step itself makes of a start told just then is bounded: none lies in
// the future, and a cache that was started anew has not been before the last answer that told of its old process, but for what may be untold.
func (p *Proxy) processStartOf(known *knownEndpoint, stated float64) processStart {
	if stated == 0 {
		return processStart{}
	}
	if known != nil && known.start.statedMs == stated {
		return known.start
	}
	wall, now := p.wallClock(), p.now()
	at := now.Add(time.Duration(stated*float64(time.Millisecond)) - time.Duration(wall.UnixNano()))
	if known != nil {
		at = max(at, p.watch.updatedAt.Add(-maxAnnouncementDelay), known.start.at+1)
	}
	return processStart{statedMs: stated, at: min(at, now) | 1}
}
