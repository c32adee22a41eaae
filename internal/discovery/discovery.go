// Package discovery decides how a node calls for the list of caches: what it asks next, how long it waits for that, and how
// long it rests after a call that failed. It does no I/O; the sockets and virtual time both go by it.
package discovery

import (
	"time"

	"dahliapin/policy"
)

const (
	watchFor     = 4 * time.Second         // that a watch may wait: short, so that a silent one is soon known
	watchSlack   = 500 * time.Millisecond  // that a watch may take over its wait
	wholeWithin  = 500 * time.Millisecond  // that the whole list may take at first: the agent answers at once
	wholeEach    = 30 * time.Millisecond   // more that it may take for each node, as all may ask at once after a restart
	promptWithin = 1500 * time.Millisecond // that any call may take after a failure, and the whole list at most: a slow answer is one
	slowWithin   = 3 * time.Second         // the same after a call that was not answered in time: discovery may be slow
	againWithin  = 50 * time.Millisecond   // after a call that broke, at most: far under the 200 ms of a watch's renewal
	lostEach     = 10 * time.Millisecond   // the same for each node once two calls in a row have failed: 200 a second from the whole fleet
	refusedEach  = 200 * time.Millisecond  // the same for each node after a refusal, as far as news can wait
	againDoubled = 2                       // times that the span after a refusal doubles
	refusedMost  = 3 * time.Second         // the longest span: with a call that is given up then, and the rest after it, news waits 4.75 s
	lostMost     = 2 * time.Second         // the same after calls that were lost, which cost discovery least
	doubtMost    = 1500 * time.Millisecond // the same before the whole list is asked for, as the version held may not be known
	slowMost     = 250 * time.Millisecond  // the same after a call that took until it was given up: that has spread the calls already
	evenShare    = 0.75                    // of a long span that is rested at least, once the nodes are spread over one
	longSpan     = time.Second             // that counts as one
	atOnce       = time.Millisecond        // that a call may wait which asks whether the list is there at all
	unknown      = -1                      // no version is held
)

// Failure is how a call for the list failed.
type Failure int

const (
	ConnectionLost Failure = iota // no connection, no answer in time, or a connection that broke
	Refused                       // discovery says that it has too much to do
	Unreadable                    // an answer that cannot be taken as it stands: our version may not be known there
)

func (f Failure) String() string { return [...]string{"lost", "refused", "unreadable"}[f] }

// Poll is what to ask: the whole list, or what is newer than a version, for which the answer may wait.
type Poll struct {
	Complete     bool
	SinceVersion int
	LongPoll     time.Duration
	Timeout      time.Duration // after which the call is given up
}

// Poller makes one node's calls, one at a time. Whatever has failed before, news is asked for so soon that what runs still takes
// 4.75 s at most: a rest of 3 s, a call that is given up after 1.5 s and a rest of 0.25 s, or a watch that has fallen silent, given up
// after 4.5 s, and a rest of 0.05 s. The answer to the next call comes on top of that.
type Poller struct {
	nodes  int // that call as this one does
	since  int
	fails  int  // in a row
	lost   bool // the last was lost
	late   bool // it was given up, and not broken
	doubts bool // the version held may not be known there, so the whole list is asked for once
	spread bool // the last rest was a share by chance of a long span, as those of all nodes by now
}

// New makes the caller of one of so many nodes. It holds no list.
func New(nodes int) Poller { return Poller{nodes: nodes, since: unknown} }

// SetVersion tells that a last list of a version is held: what is new since is less than the whole.
func (c *Poller) SetVersion(version int) { c.since = version }

// OnAddressChange tells that another address is called from now on, whose versions are its own.
func (c *Poller) OnAddressChange() { *c = New(c.nodes) }

// asksWhole tells whether the next call, or the one that is out, asks for the whole list.
func (c *Poller) asksWhole() bool { return c.since == unknown || c.doubts }

// NextPoll is the call to make now. One that is slow has much to do, and who stops waiting and asks again makes it do the same once more: so
// the whole list may take longer where many ask for it, and any call once another was given up. After a call that was lost it asks for
// what is new at once: a second watch that falls silent would be known as late again, and the news that the first has missed with it. For
// the same reason a watch after a refusal is a short one.
func (c *Poller) NextPoll() Poll {
	within := promptWithin
	if c.late {
		within = slowWithin
	}
	switch {
	case c.asksWhole() && c.fails == 0:
		return Poll{Complete: true, Timeout: min(within, wholeWithin+time.Duration(c.nodes)*wholeEach)}
	case c.asksWhole():
		return Poll{Complete: true, Timeout: within}
	case c.lost:
		return Poll{SinceVersion: c.since, LongPoll: atOnce, Timeout: within}
	case c.fails > 0:
		return Poll{SinceVersion: c.since, LongPoll: promptWithin - watchSlack, Timeout: promptWithin}
	}
	return Poll{SinceVersion: c.since, LongPoll: watchFor, Timeout: watchFor + watchSlack}
}

// Accepts tells whether an answer can be taken as it stands. Changes up to an older version than is held are of a past that is over: a cache
// that drains would be in service again.
func (c *Poller) Accepts(version int, whole bool) bool {
	return whole || c.asksWhole() || version >= c.since
}

// OnUpdate takes the version of an answer that can be read, and whether that says it is the whole list. It tells how the
// entries are to be taken, and whether calls had failed until now.
func (c *Poller) OnUpdate(version int, whole bool) (form policy.UpdateKind, again bool) {
	if form = policy.DeltaUpdate; whole || c.asksWhole() {
		form = policy.CompleteUpdate
	}
	again = c.fails > 0
	*c = Poller{nodes: c.nodes, since: version}
	return form, again
}

// OnFailure takes a call's failure, how long the call took from its start (that of its connection, where it needed one) and a number from 0
// up to 1 by chance. It tells how long to rest, 3 s at most, and whether this is the first failure in a row. The rest is a share by
// chance of a span that doubles each time. It is short at first after a call that was lost, so that a watch goes on; after a refusal it is
// the number of nodes that says how long. Once a span is long, their first shares have spread the nodes over it, and each rests most of
// it from then on. It guards against a discovery that has too much to do and is kept there by all nodes, each of them asking again as
// often as if it were alone.
func (c *Poller) OnFailure(how Failure, took time.Duration, chance float64) (rest time.Duration, first bool) {
	c.late = how == ConnectionLost && took >= c.NextPoll().Timeout
	c.fails++
	if c.lost = how == ConnectionLost; !c.lost { // one that was lost says nothing of the version
		c.doubts = how == Unreadable && !c.asksWhole()
	}
	span, most := againWithin<<min(c.fails-1, 10), refusedMost
	refused := max(againWithin, time.Duration(c.nodes)*refusedEach)
	switch {
	case how == Refused:
		span = max(span, refused<<min(c.fails-1, againDoubled))
	case c.fails > 1 || how == Unreadable:
		span = max(span, time.Duration(c.nodes)*lostEach)
	}
	switch {
	case how == ConnectionLost:
		most = lostMost
	case c.doubts:
		most = doubtMost
	}
	// the longer the call took, the less of the rest is left
	most = max(slowMost, most-time.Duration(float64(took)*float64(most)/float64(promptWithin)))
	span = min(span, refused<<againDoubled, most)
	if c.spread {
		chance = evenShare + (1-evenShare)*chance
	}
	c.spread = span >= longSpan
	return time.Duration(chance * float64(span)), c.fails == 1
}
