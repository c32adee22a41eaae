package membership

import (
	"testing"
	"time"
)

// detectorKnowing returns a detector that knows n processes, including itself.
func detectorKnowing(n int) *Detector {
	d := New(Config{MaxMembers: 1000}, 1, "n", "a", nil)
	for i := len(d.peers.byID); i < n; i++ {
		d.peers.byID[ProcessID(i+1)] = &peer{}
	}
	return d
}

// Guards against a large fleet that does not settle because gossip takes longer to reach all processes than they wait
// for it. In a fleet of 480 that waited no longer than a small one, all processes requested the full state after each
// change. Small fleets must wait no longer than before.
func TestStatementGraceGrowsWithFleetSize(t *testing.T) {
	for n, ms := range map[int]time.Duration{1: 300, 32: 300, 33: 450, 64: 450, 65: 600, 480: 900, 960: 1050} {
		if got := detectorKnowing(n).scaledDelay(statementGrace); got != ms*time.Millisecond {
			t.Errorf("%d processes: %v, want %d ms", n, got, int64(ms))
		}
	}
}

// Guards against a cost of exchanges that grows with the fleet: the more processes are known, the longer an exchange
// takes, so they must be requested less often.
func TestSyncIntervalGrowsWithFleetSize(t *testing.T) {
	for n, ms := range map[int]time.Duration{12: 560, 32: 660, 120: 1700, 480: 7700} {
		d := detectorKnowing(n)
		d.runTime = time.Hour
		d.requestSync("x")
		d.sync.takeTarget()
		d.runTime += ms*time.Millisecond - 1
		if d.requestSync("x"); d.sync.target != "" {
			t.Errorf("%d processes: requested again before %v ms", n, int64(ms))
		}
		d.runTime++
		if d.requestSync("x"); d.sync.target != "x" {
			t.Errorf("%d processes: not requested again after %v ms", n, int64(ms))
		}
	}
}
