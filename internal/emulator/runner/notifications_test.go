package runner

import (
	"testing"
	"time"

	"dahliapin/policy"
)

// A node counts as notified of a change 6 s after discovery had it and was up, even if the node has not polled for it.
func TestNotificationBound(t *testing.T) {
	var n Notifications
	for _, step := range []struct {
		at, want time.Duration
		up       bool
	}{
		{at: 0, want: 0, up: true},
		{at: 5 * time.Second, want: 0, up: true},
		{at: 8 * time.Second, want: 2 * time.Second, up: true},
		{at: 9 * time.Second, want: 3 * time.Second, up: false},
		{at: 20 * time.Second, want: 3 * time.Second, up: false},
		{at: 21 * time.Second, want: 3 * time.Second, up: true},
		{at: 26 * time.Second, want: 3 * time.Second, up: true},
		{at: 28 * time.Second, want: 22 * time.Second, up: true},
	} {
		now := policy.Instant(step.at)
		n.SetDiscovery(now, step.up)
		if got := n.Bound(now); got != policy.Instant(step.want) {
			t.Errorf("at %v: notified of changes up to %v, want %v", step.at, got, step.want)
		}
	}
}
