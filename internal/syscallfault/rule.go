package syscallfault

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Socket describes the socket that a call operates on. Unknown ports are 0.
type Socket struct {
	Listening bool
	Datagram  bool
	Unix      bool // of the address family AF_UNIX
	LocalPort int
	PeerPort  int // for connect, the destination port
}

// Schedule selects which of the calls matched by a rule fail.
type Schedule struct {
	Every       int           // every n-th matching call fails; 0 and 1 mean all
	Limit       int           // maximum number of failed calls; 0 means no limit
	Duration    time.Duration // time from the first failed call; 0 means no limit
	MinInterval time.Duration // minimum time between two failed calls
}

// Rule specifies which system calls fail, and how.
type Rule struct {
	Call     Call
	Errno    unix.Errno        // 0 executes the call with its buffer shortened to one byte; for calls with a buffer
	Match    func(Socket) bool // nil matches any descriptor, and calls without one
	Schedule Schedule
}

// checkBuffer panics if the rule shortens the buffer of a call that has none: another argument of the call would be
// changed, such as the flags of accept4.
func (r *Rule) checkBuffer() {
	if r.Errno == 0 && r.Call.size == noBuffer {
		panic("syscallfault: " + r.Call.Name + " has no buffer to shorten")
	}
}

// Injection is an active rule with its state.
type Injection struct {
	rule     Rule
	now      func() time.Time
	matched  int
	first    time.Time // time of the first failed call
	last     time.Time // time of the most recent failed call
	injected atomic.Int64
}

// Injected returns the number of calls that the injection has made fail.
func (i *Injection) Injected() int { return int(i.injected.Load()) }

// due counts a call that matches the rule and reports whether it must fail.
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
