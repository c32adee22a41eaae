package controlserver

import (
	"slices"
	"testing"
	"time"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// trim makes a server check at once what to trim, as if it had been running for runningFor.
func trim(server *Server, runningFor time.Duration) {
	done := make(chan struct{})
	server.loop.call(func() {
		server.loop.startedAt = time.Now().Add(-runningFor)
		server.loop.lastTrim = time.Time{}
		server.loop.leaderDuties()
		close(done)
	})
	<-done
}

func (c *cluster) floors() []replicatedlog.Index {
	var floors []replicatedlog.Index
	for _, server := range c.servers {
		_, floor, _ := server.sharedLog.Position()
		floors = append(floors, floor)
	}
	return floors
}

// expectNothingTrimmed checks after some time that no server has trimmed its log.
func (c *cluster) expectNothingTrimmed(why string) {
	c.t.Helper()
	time.Sleep(300 * time.Millisecond)
	if slices.Max(c.floors()) > 0 {
		c.t.Errorf("logs are trimmed up to %v, %s", c.floors(), why)
	}
}

// Entries that all nodes have applied are trimmed, except for the newest ones. A node that is off prevents that for the
// configured retention time. A leader that has run for less than the retention time trims nothing, because it may not
// know all nodes.
func TestEntriesThatAllNodesAppliedAreTrimmed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, func(file *fleetconfig.ControlFile) {
		file.Bounds.Entries = 3000
		file.Bounds.RetentionS = 3600
	}, nil)
	on, off := c.follow("one", 1), c.follow("off", 2)
	c.publish(newPurges(0, 10))
	c.waitApplied(on, 10)
	c.waitApplied(off, 10)
	off.setCut(true)
	c.publish(newPurges(10, 2690))
	c.waitApplied(on, 2700)
	time.Sleep(2*controlwire.ProgressInterval + 2*statusInterval)

	trim(c.servers[c.leader()], 2*time.Hour)
	c.expectNothingTrimmed("although a node that reported within the retention time lacks entries")

	c.age("off", 2*time.Hour)
	trim(c.servers[c.leader()], 0)
	c.expectNothingTrimmed("by a leader that has just started and may not know all nodes")

	want := []replicatedlog.Index{1200, 1200, 1200, 1200}
	deadline := time.Now().Add(10 * time.Second)
	for ; !slices.Equal(c.floors(), want); time.Sleep(100 * time.Millisecond) {
		c.age("off", 2*time.Hour) // repeated, because a table sent earlier may still arrive
		trim(c.servers[c.leader()], 2*time.Hour)
		if time.Now().After(deadline) {
			t.Fatalf("logs are trimmed up to %v, want %v", c.floors(), want)
		}
	}
}

// age makes a node's last report older at all servers.
func (c *cluster) age(node string, by time.Duration) {
	for _, server := range c.servers {
		server.status.mu.Lock()
		if record, ok := server.status.nodes[node]; ok {
			record.seenAt -= monotime.Instant(by)
			server.status.nodes[node] = record
		}
		server.status.mu.Unlock()
	}
}
