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

// Four control machines carry out at three caches, and any of them says which cache lacks what: one that refuses all, until it doesn't. One
// that is stopped and comes back has what the others have done.
func TestPurgesAreDoneAtCaches(t *testing.T) {
	t.Parallel()
	terms := fleetconfig.DefaultPurges()
	terms.FillsS = 0.3
	var caches []*cachestub.Cache
	for i := range 3 {
		c, err := cachestub.Open(fmt.Sprint("cache-", i), boottime, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		caches, terms.Caches = append(caches, c), append(terms.Caches, fleetconfig.Cache{ID: c.Name(), Addr: c.Addr()})
	}
	lame := *terms // the learner reaches no cache, and takes over what others have done
	lame.Caches = slices.Clone(terms.Caches)
	for i := range lame.Caches {
		lame.Caches[i].Addr = "127.0.0.1:1"
	}
	f := newFleet(t, func(c *fleetconfig.ControlFile) {
		if c.Purges, c.Bounds.Entries = terms, 3000; c.Control.ID == 4 {
			c.Purges = &lame
		}
	}, nil)
	until := func(what string, is func(controlclient.Overview) bool) (o controlclient.Overview) {
		t.Helper()
		for by := time.Now().Add(15 * time.Second); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
			var err error
			if o, err = (controlclient.Client{Servers: f.all(), Label: "l", Dial: f.dial}).Overview(); err == nil && is(o) {
				return o
			}
		}
		t.Fatalf("never: %s: %+v", what, o)
		return o
	}
	whole := func(o controlclient.Overview) bool { return o.CaughtUp() && len(o.Caches) == 3 }
	caches[0].Fill("key-1", 1)
	f.publish(purges(0, 10))
	until("all is done", func(o controlclient.Overview) bool {
		return whole(o) && o.Last == 10 && len(o.Caches[0].Servers) == 4 && o.Caches[0].Servers[3].Done == 10 && o.Caches[0].Servers[3].Reason != ""
	})
	if at, is := f.ms[0].log.RequestedAt(10); !is || at <= 0 || at >= boottime() {
		t.Errorf("the machine that was asked does not know since when: %v, %t", at, is)
	}
	if _, is := caches[0].Serve("key-1"); is {
		t.Error("a purged value is served")
	}
	caches[1].Break(cachestub.Refuse, 0)
	at := f.publish(purges(10, 2500))
	o := until("two of three", func(o controlclient.Overview) bool {
		return len(o.Caches) == 3 && o.Caches[0].Missing == 0 && o.Caches[2].Missing == 0 && o.Caches[1].Overdue > 0 && len(o.Caches[1].Servers) == 4
	})
	if c := o.Caches[1]; o.CaughtUp() || c.Done != 10 || c.Missing != 2500 || c.Servers[0].Reason == "" || c.Flushing {
		t.Errorf("%+v", c)
	}
	m := f.ms[f.leader()]
	done := make(chan bool)
	m.loop.call(func() { // of what all nodes have
		m.status.noteNode(controlwire.NodeReport{Node: "n", Applied: uint64(at[len(at)-1])}, boottime())
		m.loop.startedAt, m.loop.lastTrim = time.Now().Add(-24*time.Hour), time.Time{}
		m.loop.trim()
		close(done)
	})
	<-done
	time.Sleep(200 * time.Millisecond)
	if _, floor, _ := m.log.Position(); floor > 10 {
		t.Errorf("kept after %d, although a cache lacks it", floor)
	}
	f.stop(3)
	caches[1].Break(cachestub.None, 0)
	f.start(3, false)
	until("all three", func(o controlclient.Overview) bool { return whole(o) && len(o.Caches[1].Servers) == 4 })
}
