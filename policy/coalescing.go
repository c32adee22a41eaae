package policy

import (
	"cmp"
	"maps"
	"slices"
)

// demandCutoffWindow is the number of wake calls over which the demand cutoff is smoothed.
const demandCutoffWindow = 50

// coalescer lets one request, the leader, fetch a key from the origin while other requests that missed the key wait for
// it. Without it, a popular key that no cache holds would be fetched once per request. Requests that find no capacity
// at the origin wait here too; they are woken in order of the demand for their key.
type coalescer struct {
	leaders map[uint64]*Request // by key hash
	waiters []*Request
	// demandCutoff is the smoothed demand, over calls of wake, for the key with the highest demand among the waiters
	// that could fetch but found no capacity. A request for a key with less demand may be rejected instead of waiting.
	demandCutoff float64
}

// mayFetch reports whether a request may go to the origin itself: it is a write, or no other unfinished request fetches
// its key.
func (c *coalescer) mayFetch(r *Request) bool {
	leader := c.leaders[r.state.key]
	return r.Write || leader == nil || leader == r || leader.Finished
}

// setLeader makes a read the leader of its key.
func (c *coalescer) setLeader(r *Request) {
	c.leaders[r.state.key] = r
}

func (c *coalescer) isLeader(r *Request) bool {
	return c.leaders[r.state.key] == r
}

func (c *coalescer) isWaiting(r *Request) bool {
	return slices.Contains(c.waiters, r)
}

func (c *coalescer) addWaiter(r *Request) {
	c.waiters = append(c.waiters, r)
}

// complete ends the fetch of a leader. If it was answered, reads that wait for the key learn which cache now holds the
// value: the one that the leader missed. The router does not store the value there, it assumes that this has happened
// by the time of the answer; otherwise the reads miss again. Writes do not learn of the cache: a write sent to that
// cache would take effect there, and again at the origin when the client retries it.
func (c *coalescer) complete(leader *Request, result Result) {
	delete(c.leaders, leader.state.key)
	missedAt := slices.IndexFunc(leader.Attempts, isCacheMiss)
	if result != Answered || missedAt < 0 {
		return
	}
	for _, waiter := range c.waiters {
		if waiter.state.key == leader.state.key && !waiter.Write {
			waiter.state.cachedAt = leader.Attempts[missedAt].Endpoint
		}
	}
}

// takeCachedAt returns and clears the cache into which another request's fetch has put the value that a request waits
// for.
func (c *coalescer) takeCachedAt(r *Request) EndpointID {
	cachedAt := r.state.cachedAt
	r.state.cachedAt = ""
	return cachedAt
}

// wake returns the waiters to route again: those whose value has been cached, and as many others as the origin has
// capacity for, by demand for their key in descending order. It runs on each outcome, so it sorts the waiters only if
// the origin has capacity.
func (c *coalescer) wake(free int, demand *popularity) []RequestID {
	c.waiters = slices.DeleteFunc(c.waiters, func(waiter *Request) bool {
		return waiter.Finished || slices.ContainsFunc(waiter.Attempts, isInFlight)
	})
	if free > 0 {
		slices.SortStableFunc(c.waiters, func(a, b *Request) int {
			return cmp.Compare(demand.demandFor(b.state.key), demand.demandFor(a.state.key))
		})
	}
	var woken []RequestID
	highestUnserved := 0.0
	for _, waiter := range c.waiters {
		cached := waiter.state.cachedAt != ""
		mayFetch := c.mayFetch(waiter)
		if cached || mayFetch && free > 0 {
			woken = append(woken, waiter.ID)
		} else if mayFetch {
			highestUnserved = max(highestUnserved, demand.demandFor(waiter.state.key))
		}
		if mayFetch && !cached {
			free--
		}
	}
	c.demandCutoff += (highestUnserved - c.demandCutoff) / demandCutoffWindow
	return woken
}

// forgetFinished removes leaders that are finished.
func (c *coalescer) forgetFinished() {
	maps.DeleteFunc(c.leaders, func(_ uint64, leader *Request) bool { return leader.Finished })
}
