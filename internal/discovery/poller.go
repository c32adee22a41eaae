package discovery

import (
	"time"

	"dahliapin/policy"
)

const (
	// longPollTime is how long discovery may hold a poll that waits for an update. It is short so that a silent
	// connection is detected soon.
	longPollTime = 4 * time.Second

	// longPollSlack is the additional time that such a poll may take.
	longPollSlack = 500 * time.Millisecond

	// completeTimeout is the first timeout of a request for the complete list. It increases by completeTimeoutPerNode
	// for each node, as all nodes may ask at once after a restart.
	completeTimeout        = 500 * time.Millisecond
	completeTimeoutPerNode = 30 * time.Millisecond

	// promptTimeout is the timeout of any poll after a failure, and the maximum timeout for the complete list: a slower
	// answer counts as a failure.
	promptTimeout = 1500 * time.Millisecond

	// slowTimeout replaces promptTimeout after a poll that timed out, as discovery may be slow.
	slowTimeout = 3 * time.Second

	// minLongPollTime is the long-poll time of a poll that only asks whether there is an update.
	minLongPollTime = time.Millisecond
)

// noVersion is the version of a [Poller] that holds no list.
const noVersion = -1

// Failure is the way in which a poll failed.
type Failure int

// The failures of a poll.
const (
	ConnectionLost Failure = iota // no connection, no answer in time, or a broken connection
	Refused                       // discovery answered that it is overloaded
	Unreadable                    // the answer cannot be used: discovery may not know the version that the node holds
)

// String returns the name of the failure.
func (f Failure) String() string { return [...]string{"lost", "refused", "unreadable"}[f] }

// Poll is a request to discovery.
type Poll struct {
	Complete     bool          // request the complete list; else the changes since a version
	SinceVersion int           // version that the node holds
	LongPollTime time.Duration // how long discovery may hold the request while there are no changes
	Timeout      time.Duration // time after which the poll has failed
}

// Poller schedules the polls of one node, one at a time. It is not safe for concurrent use.
//
// Whatever has failed before, an update is requested after 4.75 s at most: a backoff of 3 s, a poll that times out
// after 1.5 s, and a backoff of 0.25 s; or a silent long poll that times out after 4.5 s, and a backoff of 0.05 s. The
// answer to the next poll comes on top of that.
type Poller struct {
	nodes          int  // number of nodes in the fleet, all of which poll
	version        int  // of the list that the node holds, or noVersion
	failures       int  // in a row
	connectionLost bool // the last poll lost its connection
	timedOut       bool // the last poll lost its connection by a timeout
	versionInDoubt bool // discovery may not know the version, so the complete list is requested once
	pollsSpread    bool // the limit of the last backoff was long enough to spread the polls of the fleet
}

// New returns the [Poller] of a node in a fleet of the given number of nodes. It holds no list.
func New(nodes int) Poller { return Poller{nodes: nodes, version: noVersion} }

// SetVersion records that the node holds a list of this version from before, so that requests for changes suffice.
func (p *Poller) SetVersion(version int) { p.version = version }

// Version returns the version of the list that the node holds. ok is false if there is none.
func (p *Poller) Version() (version int, ok bool) { return p.version, p.version != noVersion }

// RequestComplete makes the next poll request the complete list.
func (p *Poller) RequestComplete() { p.versionInDoubt = true }

// OnAddressChange records that polls go to another discovery from now on, which has versions of its own.
func (p *Poller) OnAddressChange() { *p = New(p.nodes) }

// needsComplete reports whether the next poll, or the one in progress, requests the complete list.
func (p *Poller) needsComplete() bool { return p.version == noVersion || p.versionInDoubt }

// NextPoll returns the poll to make now.
//
// Timeouts are longer if discovery is likely to be slow: it would have to repeat the work of a poll that timed out for
// the next one. A poll after a lost connection returns at once: a second silent long poll would be detected as late as
// the first, and so would the update that the first one missed. For the same reason a long poll after a refusal is
// short.
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

// Accepts reports whether an answer may be used. Changes up to a version older than the one held are outdated: they
// could put an endpoint that is draining back into service.
func (p *Poller) Accepts(version int, complete bool) bool {
	return complete || p.needsComplete() || version >= p.version
}

// OnUpdate records an answer that can be used, with its version and whether it is marked as the complete list. It
// returns how to apply the entries, and whether polls had been failing until now.
func (p *Poller) OnUpdate(version int, complete bool) (kind policy.UpdateKind, recovered bool) {
	kind = policy.DeltaUpdate
	if complete || p.needsComplete() {
		kind = policy.CompleteUpdate
	}
	recovered = p.failures > 0
	*p = Poller{nodes: p.nodes, version: version}
	return kind, recovered
}
