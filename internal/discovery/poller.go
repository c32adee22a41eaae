package discovery

import (
	"time"

	"dahliapin/policy"
)

const (
	// longPollTime is how long discovery may hold a poll that waits for an update. It is short, so that a connection
	// that has fallen silent is soon known.
	longPollTime = 4 * time.Second

	// longPollSlack is how long such a poll may take beyond that.
	longPollSlack = 500 * time.Millisecond

	// completeTimeout is how long the complete list may take at first, beside completeTimeoutPerNode for each node, as
	// all of them may ask at once after a restart.
	completeTimeout        = 500 * time.Millisecond
	completeTimeoutPerNode = 30 * time.Millisecond

	// promptTimeout is how long any poll may take after a failure, and the complete list at most: a slow answer is one.
	promptTimeout = 1500 * time.Millisecond

	// slowTimeout is the same after a poll that timed out, as discovery may be slow.
	slowTimeout = 3 * time.Second

	// minLongPollTime is the long-poll time of a poll that only asks whether there is an update.
	minLongPollTime = time.Millisecond
)

// noVersion is the version of a Poller that holds no list.
const noVersion = -1

// Failure is how a poll failed.
type Failure int

// The failures of a poll.
const (
	ConnectionLost Failure = iota // no connection, no answer in time, or a connection that broke
	Refused                       // discovery answered that it is overloaded
	Unreadable                    // the answer cannot be used: discovery may not know the version that is held
)

// String returns the name of a failure.
func (f Failure) String() string { return [...]string{"lost", "refused", "unreadable"}[f] }

// Poll is what to ask discovery for.
type Poll struct {
	Complete     bool          // the complete list; else the changes since a version
	SinceVersion int           // the version that is held
	LongPollTime time.Duration // for how long discovery may hold the answer while there are no changes
	Timeout      time.Duration // after which the poll has failed
}

// Poller decides on the polls of one node, one at a time. It belongs to one goroutine.
//
// Whatever has failed before, an update is asked for so soon that what is under way takes 4.75 s at most: a backoff
// of 3 s, a poll that times out after 1.5 s, and a backoff of 0.25 s; or a long poll that has fallen silent, which
// times out after 4.5 s, and a backoff of 0.05 s. The answer to the next poll comes on top of that.
type Poller struct {
	nodes          int  // that poll as this one does
	version        int  // of the list that is held, or noVersion
	failures       int  // in a row
	connectionLost bool // the last poll lost its connection
	timedOut       bool // and did so by its timeout
	versionInDoubt bool // discovery may not know the version, so the complete list is asked for once
	pollsSpread    bool // the last backoff was drawn from a span so long that the fleet's polls are spread by now
}

// New returns the Poller of one of so many nodes. It holds no list.
func New(nodes int) Poller { return Poller{nodes: nodes, version: noVersion} }

// SetVersion says that a list of a version is held from before, so that its changes suffice.
func (p *Poller) SetVersion(version int) { p.version = version }

// OnAddressChange says that another discovery is polled from now on, whose versions are its own.
func (p *Poller) OnAddressChange() { *p = New(p.nodes) }

// needsComplete tells whether the next poll, or the one under way, asks for the complete list.
func (p *Poller) needsComplete() bool { return p.version == noVersion || p.versionInDoubt }

// NextPoll returns the poll to make now.
//
// Timeouts are longer where discovery is likely to be slow: it would do the work of a poll that timed out once more
// for the next one. A poll after a lost connection returns at once: a second long poll that falls silent would be
// noticed as late as the first, and the update that the first has missed with it. For the same reason a long poll
// after a refusal is a short one.
func (p *Poller) NextPoll() Poll {
	timeout := promptTimeout
	if p.timedOut {
		timeout = slowTimeout
	}
	switch {
	case p.needsComplete() && p.failures == 0:
		firstTimeout := completeTimeout + time.Duration(p.nodes)*completeTimeoutPerNode
		return Poll{Complete: true, Timeout: min(timeout, firstTimeout)}
	case p.needsComplete():
		return Poll{Complete: true, Timeout: timeout}
	case p.connectionLost:
		return Poll{SinceVersion: p.version, LongPollTime: minLongPollTime, Timeout: timeout}
	case p.failures > 0:
		return Poll{SinceVersion: p.version, LongPollTime: promptTimeout - longPollSlack, Timeout: promptTimeout}
	}
	return Poll{SinceVersion: p.version, LongPollTime: longPollTime, Timeout: longPollTime + longPollSlack}
}

// Accepts tells whether an answer may be used. Changes up to an older version than the one held are of the past: with
// them, an endpoint that drains would be in service again.
func (p *Poller) Accepts(version int, complete bool) bool {
	return complete || p.needsComplete() || version >= p.version
}

// OnUpdate records an answer that can be used, with its version and whether it says that it is the complete list. It
// returns how the entries are to be taken, and whether polls had failed until now.
func (p *Poller) OnUpdate(version int, complete bool) (kind policy.UpdateKind, recovered bool) {
	kind = policy.DeltaUpdate
	if complete || p.needsComplete() {
		kind = policy.CompleteUpdate
	}
	recovered = p.failures > 0
	*p = Poller{nodes: p.nodes, version: version}
	return kind, recovered
}
