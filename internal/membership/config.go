package membership

import "time"

// Config has the spans by which a detector decides, in time that the process has run.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to a neighbour.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which a neighbour is missed.
	HeartbeatTimeout time.Duration
	// RemovalDelay is how long enough processes must miss a member before it is removed.
	RemovalDelay time.Duration
	// RejoinDelay is how long enough processes must hear a removed one before it is a member again. It has to
	// be longer than HeartbeatTimeout: one that hears nobody would be a member before it doubts itself.
	RejoinDelay time.Duration
	// IsolationTimeout is how long a neighbour may state that it doubts itself before it is missed.
	IsolationTimeout time.Duration
	// LoopTimeout is how long the loop that serves clients may stand still before this process stops its heartbeats.
	LoopTimeout time.Duration
	// ForgetAfter is the time after which a process that was removed, or never became a member, is forgotten.
	ForgetAfter time.Duration
	// ClaimPeriod is how long a process waits for heartbeats of another one with its name before it takes the name.
	ClaimPeriod time.Duration
	// MaxMembers bounds the processes that are known.
	MaxMembers int
}

// Timings are the spans that an operator states; NewConfig derives the others from them.
type Timings struct {
	MaxPause          time.Duration // for which a process may stand still and stays a member
	HeartbeatInterval time.Duration // between two heartbeats to a neighbour
	RejoinDelay       time.Duration // Config.RejoinDelay
	LoopTimeout       time.Duration // Config.LoopTimeout
	ForgetAfter       time.Duration // Config.ForgetAfter
}

// missLeadTenths is how long before the end of the pause a neighbour that stands still is missed, in tenths of a
// heartbeat interval: a process on the wrong side of a partition has noticed well before the others remove it.
const missLeadTenths = 16

// propagationAllowance is the time that the statement of a process that is back takes to reach all others.
const propagationAllowance = 400 * time.Millisecond

// NewConfig derives a configuration from the operator's spans.
//
// A process that stands still for the whole pause, from just before a heartbeat was due, has been silent for the pause
// and one heartbeat interval. It is missed before that, so that a process on the wrong side of a partition has
// long noticed, and removed after it.
func NewConfig(s Timings, maxMembers int) Config {
	// a miss is known missLeadTenths before the pause ends, but never after a single lost heartbeat
	timeout := max(s.MaxPause-s.HeartbeatInterval*missLeadTenths/10, 2*s.HeartbeatInterval)
	return Config{
		HeartbeatInterval: s.HeartbeatInterval,
		HeartbeatTimeout:  timeout,
		RemovalDelay:      s.MaxPause + s.HeartbeatInterval - timeout + propagationAllowance,
		RejoinDelay:       s.RejoinDelay,
		IsolationTimeout:  timeout,
		LoopTimeout:       s.LoopTimeout,
		ForgetAfter:       s.ForgetAfter,
		ClaimPeriod:       timeout + 2*s.HeartbeatInterval,
		MaxMembers:        maxMembers,
	}
}
