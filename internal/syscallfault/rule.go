package syscallfault

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Socket is what is known of the descriptor that a call is about. Ports that it has not are 0.
type Socket struct {
	Listening bool
	LocalPort int
	PeerPort  int // of connect, the port that is called
}

// Schedule says which of the calls that a rule matches fail.
type Schedule struct {
	Every       int           // each so many matching calls; 0 and 1 are all of them
	Limit       int           // so many calls at most; 0 is no limit
	Duration    time.Duration // from the first call that fails; 0 is no limit
	MinInterval time.Duration // at least so long between two calls that fail
}

// Rule says which system calls are to fail, and how.
type Rule struct {
	Call     Call
	Errno    unix.Errno        // 0: the call is made, with a buffer of one byte
	Match    func(Socket) bool // nil for any descriptor, and for calls that have none
	Schedule Schedule
}

// Injection is a rule that is in force, and what it has done so far.
type Injection struct {
	rule     Rule
	now      func() time.Time
	matched  int
	first    time.Time // when a call failed first
	last     time.Time
	injected atomic.Int64
}

// Injected returns how many calls have failed by the injection.
func (i *Injection) Injected() int { return int(i.injected.Load()) }

// due tells whether a call that the rule matches is to fail, and counts it.
func (i *Injection) due() bool {
	s := i.rule.Schedule
	i.matched++
	if s.Every > 1 && i.matched%s.Every != 0 {
		return false
	}
	if s.Limit > 0 && i.Injected() >= s.Limit {
		return false
	}
	now := i.now()
	if i.Injected() == 0 {
		i.first = now
	} else if s.Duration > 0 && now.Sub(i.first) > s.Duration || now.Sub(i.last) < s.MinInterval {
		return false
	}
	i.last = now
	i.injected.Add(1)
	return true
}
