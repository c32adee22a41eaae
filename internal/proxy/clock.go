package proxy

import (
	"time"

	"dahliapin/policy"
)

// clockEpoch is the clock's first reading, so that no instant is ever 0, which means that an instant is not set.
const clockEpoch = policy.Instant(time.Second)

// clock converts times of the process to instants of the node, which are monotonic and begin at clockEpoch.
type clock struct {
	startedAt time.Time        // includes a reading of the monotonic clock
	wall      func() time.Time // the wall clock, used only for the start times that the endpoint list states
}

func (c *clock) now() policy.Instant { return c.instantOf(time.Now()) }

func (c *clock) instantOf(t time.Time) policy.Instant { return clockEpoch.Add(t.Sub(c.startedAt)) }

func (c *clock) timeOf(at policy.Instant) time.Time { return c.startedAt.Add(at.Since(clockEpoch)) }

func (p *Proxy) now() policy.Instant { return p.clock.now() }
