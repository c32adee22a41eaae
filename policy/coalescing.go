package policy

import (
	"cmp"
	"maps"
	"slices"
)

// demandCutoffWindow is the number of wake-ups over which the demand cutoff is smoothed.
const demandCutoffWindow = 50

// coalescer lets one request fetch a key from the origin while others that miss it wait: the leader of the fetch and
// its waiters. Without it, a popular key that no cache has would be fetched once for each request. Requests that find
// no capacity at the origin wait here too; the demand for their key decides who is woken first.
type coalescer struct {
	leaders map[uint64]*Request // by key hash
	waiters []*Request
	// demandCutoff is the demand, smoothed, for the most wanted key that was not served. It sheds keys that are worth
	// less.
	demandCutoff float64
}

// leads reports whether a request may go to the origin itself, since it has no other's fetch to wait for.
func (c *coalescer) mayFetch(r *Request) bool {
	leader := c.leaders[r.state.key]
	return r.Write || leader == nil || leader == r || leader.Finished
}

// lead makes a read the leader of its key.
func (c *coalescer) setLeader(r *Request) {
	c.leaders[r.state.key] = r
}

// isLeader reports whether a request is the leader of its key.
func (c *coalescer) isLeader(r *Request) bool {
	return c.leaders[r.state.key] == r
}

// waits reports whether a request waits.
func (c *coalescer) isWaiting(r *Request) bool {
	return slices.Contains(c.waiters, r)
}

// wait adds a request to the waiters.
func (c *coalescer) addWaiter(r *Request) {
	c.waiters = append(c.waiters, r)
}

// complete ends the fetch of a leader. If it was answered, waiting reads learn which cache now has the value. Writes
// don't: a write that followed them to a cache would take effect there, and again at the origin with a retry of the
// client's.
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

// takeCachedAt returns the cache where another's fetch has put the value that a request waits for, and forgets it: if
// that cache can't take the request, it goes to the origin as before.
func (c *coalescer) takeCachedAt(r *Request) EndpointID {
	cachedAt := r.state.cachedAt
	r.state.cachedAt = ""
	return cachedAt
}

// wake returns the waiters to route again: those whose value is cached by now, and as many others as the origin has
// capacity for, those with the highest demand first and among them the oldest. It runs at each outcome, so it sorts
// only if a waiter can be woken by demand.
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
		leads := c.mayFetch(waiter)
		if cached || leads && free > 0 {
			woken = append(woken, waiter.ID)
		} else if leads {
			highestUnserved = max(highestUnserved, demand.demandFor(waiter.state.key))
		}
		if leads && !cached {
			free--
		}
	}
	c.demandCutoff += (highestUnserved - c.demandCutoff) / demandCutoffWindow
	return woken
}

// forgetFinished drops leaders that are finished.
func (c *coalescer) forgetFinished() {
	maps.DeleteFunc(c.leaders, func(_ uint64, leader *Request) bool { return leader.Finished })
}
