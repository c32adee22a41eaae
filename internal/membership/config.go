package membership

import "time"

// Config holds the intervals and timeouts of a [Detector]. All are measured in the time that the process has run.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to a neighbour.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which a neighbour is reported as missed.
	HeartbeatTimeout time.Duration
	// RemovalDelay is how long the evidence against a member must hold before it is removed.
	RemovalDelay time.Duration
	// RejoinDelay is how long the evidence for a removed process must hold before it is a member again. It must be
	// longer than HeartbeatTimeout; otherwise a process that hears nobody would rejoin before it reports itself as
	// isolated.
	RejoinDelay time.Duration
	// IsolationTimeout is how long a neighbour may report itself as isolated before it is reported as missed.
	IsolationTimeout time.Duration
	// LoopTimeout is how long the event loop that serves clients may stall before this process stops its heartbeats.
	LoopTimeout time.Duration
	// ForgetAfter is the time after which a process that was removed, or never became a member, is forgotten.
	ForgetAfter time.Duration
	// ClaimPeriod is how long a process waits for heartbeats of another process with its name before it claims the
	// name.
	ClaimPeriod time.Duration
	// MaxMembers limits the number of known processes.
	MaxMembers int
}

// Timings are the times that an operator configures. [NewConfig] derives a [Config] from them.
type Timings struct {
	MaxPause          time.Duration // longest pause of a process that does not lead to its removal
	HeartbeatInterval time.Duration // Config.HeartbeatInterval
	RejoinDelay       time.Duration // Config.RejoinDelay
	LoopTimeout       time.Duration // Config.LoopTimeout
	ForgetAfter       time.Duration // Config.ForgetAfter
}

// missLeadTenths is the time, in tenths of a heartbeat interval, by which HeartbeatTimeout is shorter than MaxPause.
// With this lead, a process in the minority of a partition detects its isolation well before the others remove it.
const missLeadTenths = 16

// propagationAllowance is the time that the statement of a process that has resumed takes to reach all others.
const propagationAllowance = 400 * time.Millisecond

// NewConfig derives a configuration from the operator's timings.
//
// A process that pauses for MaxPause just before a heartbeat is due is silent for MaxPause and one heartbeat interval.
// Others report it as missed before that time is over, so that a process in the minority of a partition has already
// detected its isolation, and remove it only after that time.
func NewConfig(s Timings, maxMembers int) Config {
	// At least two intervals, so that a single lost heartbeat is never a miss.
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
