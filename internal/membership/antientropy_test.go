package membership

import (
	"testing"
	"time"
)

// detectorKnowing makes a detector that knows so many processes, itself included.
func detectorKnowing(n int) *Detector {
	d := New(Config{MaxMembers: 1000}, 1, "n", "a", nil)
	for i := len(d.peers.byID); i < n; i++ {
		d.peers.byID[ProcessID(i+1)] = &peer{}
	}
	return d
}

// In a large fleet gossip takes longer to reach all. A fleet of 480 processes that waited no longer for statements
// than a small one had all ask for all that is known at each change, and did not come to rest. Small fleets wait as
// they did.
func TestStatementGraceGrowsWithFleetSize(t *testing.T) {
	for n, ms := range map[int]time.Duration{1: 300, 32: 300, 33: 450, 64: 450, 65: 600, 480: 900, 960: 1050} {
		if got := detectorKnowing(n).scaledDelay(statementGrace); got != ms*time.Millisecond {
			t.Errorf("%d processes: %v, want %d ms", n, got, int64(ms))
		}
	}
}

// An exchange of all that is known is the longer the more there is. It is asked for the more rarely, so that the cost
// of exchanges does not grow with the fleet.
func TestSyncIntervalGrowsWithFleetSize(t *testing.T) {
	for n, ms := range map[int]time.Duration{12: 560, 32: 660, 120: 1700, 480: 7700} {
		d := detectorKnowing(n)
		d.runTime = time.Hour
		d.requestSync("x")
		d.sync.takeTarget()
		d.runTime += ms*time.Millisecond - 1
		if d.requestSync("x"); d.sync.target != "" {
			t.Errorf("%d processes: asked again before %v ms", n, int64(ms))
		}
		d.runTime++
		if d.requestSync("x"); d.sync.target != "x" {
			t.Errorf("%d processes: not asked again after %v ms", n, int64(ms))
		}
	}
}
