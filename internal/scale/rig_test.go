package scale

import (
	"testing"
	"time"
)

// A window in which some nodes have begun one exchange more than others says nothing of what is usual.
func TestWindowsAreWholeExchanges(t *testing.T) {
	p := Plan{Window: time.Minute}
	for nodes, want := range map[int]time.Duration{30: time.Minute, 60: time.Minute, 120: 90 * time.Second, 480: 75 * time.Second, 960: 90 * time.Second} {
		if got := p.window(nodes); got != want {
			t.Errorf("%d nodes: %v", nodes, got)
		}
	}
	if p.Window = 2 * time.Second; p.window(480) != p.Window {
		t.Errorf("a short look is %v", p.window(480))
	}
}
