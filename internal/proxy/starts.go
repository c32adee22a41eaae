package proxy

import (
	"time"

	"dahliapin/policy"
)

// untoldMost is how long before an answer of discovery a cache may have started anew that the answer does not tell of: news is told within 6 s.
const untoldMost = 10 * time.Second

// start is when a cache's process last started: as the list states it, and by the node's clock.
type start struct {
	stated float64        // Unix milliseconds; 0 for long ago
	at     policy.Instant // 0 for long ago
}

// startOf reads a cache's stated start. Only the list's times are wall clock, which may be stepped while the node and the caches run: so a stated
// time is turned into the node's own once, as it is first told, by what the wall clock says then; the same stated time is the same start from then
// on, and another one is another start, be it earlier or later. What the step itself makes of a start told just then is bounded: none lies in
// the future, and a cache that was started anew has not been before the last answer that told of its old process, but for what may be untold.
func (r *Proxy) startOf(known *cache, stated float64) start {
	if stated == 0 {
		return start{}
	}
	if known != nil && known.start.stated == stated {
		return known.start
	}
	wall, now := r.wallClock(), r.now()
	at := now.Add(time.Duration(stated*float64(time.Millisecond)) - time.Duration(wall.UnixNano()))
	if known != nil {
		at = max(at, r.list.heardAt.Add(-untoldMost), known.start.at+1)
	}
	return start{stated: stated, at: min(at, now) | 1}
}
