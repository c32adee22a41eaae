package controlserver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/emulator/cachestub"
)

// openCaches starts stub caches and returns settings that list them.
func openCaches(t *testing.T, count int) ([]*cachestub.Cache, *fleetconfig.Purges) {
	t.Helper()
	settings := fleetconfig.DefaultPurges()
	settings.MaxFillS = 0.3
	var caches []*cachestub.Cache
	for i := range count {
		cache, err := cachestub.Open(fmt.Sprint("cache-", i), bootTime, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cache.Close)
		caches = append(caches, cache)
		settings.Caches = append(settings.Caches, fleetconfig.Cache{ID: cache.Name(), Addr: cache.Addr()})
	}
	return caches, settings
}

// unreachable returns a copy of the settings with unreachable caches.
func unreachable(settings *fleetconfig.Purges) *fleetconfig.Purges {
	changed := *settings
	changed.Caches = slices.Clone(settings.Caches)
	for i := range changed.Caches {
		changed.Caches[i].Addr = "127.0.0.1:1"
	}
	return &changed
}

// overviewWhen waits for an overview that meets a condition, and returns it.
func (c *cluster) overviewWhen(what string, holds func(controlclient.Overview) bool) controlclient.Overview {
	c.t.Helper()
	var overview controlclient.Overview
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var err error
		overview, err = c.client().Overview()
		if err == nil && holds(overview) {
			return overview
		}
	}
	c.t.Fatalf("condition not met: %s: %+v", what, overview)
	return overview
}

// Four control servers run purges at three caches. The learner reaches no cache, and must adopt the progress of the
// others. One cache refuses all connections for a while: the overview must show what it lacks, the log must keep those
// entries, and the cache must get them once it accepts connections again. A server that was stopped meanwhile must
// adopt the others' progress.
func TestPurgesReachAllCaches(t *testing.T) {
	t.Parallel()
	caches, settings := openCaches(t, 3)
	withoutCaches := unreachable(settings)
	c := newCluster(t, func(file *fleetconfig.ControlFile) {
		file.Bounds.Entries = 3000
		file.Purges = settings
		if file.Control.ID == testServers {
			file.Purges = withoutCaches
		}
	}, nil)
	complete := func(o controlclient.Overview) bool { return o.CaughtUp() && len(o.Caches) == 3 }

	caches[0].Fill("key-1", 1)
	c.publish(newPurges(0, 10))
	c.overviewWhen("all is done", func(o controlclient.Overview) bool {
		if !complete(o) || o.Last != 10 || len(o.Caches[0].Servers) != testServers {
			return false
		}
		learner := o.Caches[0].Servers[testServers-1]
		return learner.Done == 10 && learner.Reason != ""
	})
	if at, ok := c.servers[0].sharedLog.RequestedAt(10); !ok || at <= 0 || at >= bootTime() {
		t.Errorf("the server that was asked has no request time: %v, %t", at, ok)
	}
	if _, ok := caches[0].Serve("key-1"); ok {
		t.Error("a purged value is served")
	}

	caches[1].SetFault(cachestub.Refuse, 0)
	indexes := c.publish(newPurges(10, 2500))
	o := c.overviewWhen("two of three are done", func(o controlclient.Overview) bool {
		return len(o.Caches) == 3 && o.Caches[0].Missing == 0 && o.Caches[2].Missing == 0 &&
			o.Caches[1].Overdue > 0 && len(o.Caches[1].Servers) == testServers
	})
	refusing := o.Caches[1]
	if o.CaughtUp() || refusing.Done != 10 || refusing.Missing != 2500 {
		t.Errorf("progress of the refusing cache: %+v", refusing)
	}
	if refusing.Servers[0].Reason == "" || refusing.Flushing {
		t.Errorf("state of the refusing cache: %+v", refusing)
	}
	leader := c.servers[c.leader()]
	last := uint64(indexes[len(indexes)-1])
	leader.status.recordNode(controlwire.NodeReport{Node: "n", Applied: last}, bootTime()) // no node lacks entries
	trim(leader, 24*time.Hour)
	time.Sleep(200 * time.Millisecond)
	if _, floor, _ := leader.sharedLog.Position(); floor > 10 {
		t.Errorf("trimmed up to %d, although a cache lacks entries", floor)
	}

	c.stop(testServers - 1)
	caches[1].SetFault(cachestub.None, 0)
	c.start(testServers-1, false)
	c.overviewWhen("all three are done", func(o controlclient.Overview) bool {
		return complete(o) && len(o.Caches[1].Servers) == testServers
	})
}
