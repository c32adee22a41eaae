package runner

import (
	"time"

	"dahliapin/policy"
)

// notificationDelay is the time with discovery up after which a node counts as notified of a change.
const notificationDelay = 6 * time.Second

// Notifications tells up to when nodes count as notified of changes of the endpoint list, whether or not they have
// polled for them. The zero value is that of a discovery that is down and has never been up.
type Notifications struct {
	up      bool
	upSince policy.Instant
	upTo    policy.Instant // as of the last outage
}

// SetDiscovery records that discovery goes up or down.
func (n *Notifications) SetDiscovery(now policy.Instant, up bool) {
	if !up {
		n.upTo = n.Bound(now)
	} else if !n.up {
		n.upSince = now
	}
	n.up = up
}

// Bound returns the instant up to which nodes count as notified of changes.
func (n *Notifications) Bound(now policy.Instant) policy.Instant {
	if !n.up || now.Since(n.upSince) < notificationDelay {
		return n.upTo
	}
	return now.Add(-notificationDelay)
}
