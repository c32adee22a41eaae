package controlserver

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"dahliapin/internal/config/fleetconfig"
	purger "dahliapin/internal/control/purger"
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
	until := func(what string, is func(Overview) bool) (o Overview) {
		t.Helper()
		for by := time.Now().Add(15 * time.Second); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
			var err error
			if o, err = (Client{At: f.all(), Label: "l", Dial: f.dial}).Overview(); err == nil && is(o) {
				return o
			}
		}
		t.Fatalf("never: %s: %+v", what, o)
		return o
	}
	whole := func(o Overview) bool { return o.CaughtUp() && len(o.Caches) == 3 }
	caches[0].Fill("key-1", 1)
	f.publish(purges(0, 10))
	until("all is done", func(o Overview) bool {
		return whole(o) && o.Last == 10 && len(o.Caches[0].Machines) == 4 && o.Caches[0].Machines[3].Done == 10 && o.Caches[0].Machines[3].Reason != ""
	})
	if at, is := (log{f.ms[0]}).RequestedAt(10); !is || at <= 0 || at >= boottime() {
		t.Errorf("the machine that was asked does not know since when: %v, %t", at, is)
	}
	if _, is := caches[0].Serve("key-1"); is {
		t.Error("a purged value is served")
	}
	caches[1].Break(cachestub.Refuse, 0)
	at := f.publish(purges(10, 2500))
	o := until("two of three", func(o Overview) bool {
		return len(o.Caches) == 3 && o.Caches[0].Lacks == 0 && o.Caches[2].Lacks == 0 && o.Caches[1].Late > 0 && len(o.Caches[1].Machines) == 4
	})
	if c := o.Caches[1]; o.CaughtUp() || c.Done != 10 || c.Lacks != 2500 || c.Machines[0].Reason == "" || c.Flushing {
		t.Errorf("%+v", c)
	}
	m := f.ms[f.leader()]
	done := make(chan bool)
	m.call(func() { // of what all nodes have
		m.table.note(row{Node: "n", Applied: uint64(at[len(at)-1])}, boottime())
		m.began, m.trimmed = time.Now().Add(-24*time.Hour), time.Time{}
		m.trim()
		close(done)
	})
	<-done
	time.Sleep(200 * time.Millisecond)
	if _, floor, _ := (log{m}).Position(); floor > 10 {
		t.Errorf("kept after %d, although a cache lacks it", floor)
	}
	f.stop(3)
	caches[1].Break(cachestub.None, 0)
	f.start(3, false)
	until("all three", func(o Overview) bool { return whole(o) && len(o.Caches[1].Machines) == 4 })
}

// What any machine has done is done; who is silent says nothing of what there is now.
func TestWhichCachesLackWhat(t *testing.T) {
	row := func(cache string, machine, done uint64, bend ...func(*purger.Progress)) purger.Progress {
		r := purger.Progress{Cache: cache, Machine: machine, Done: done, First: done, Log: 7}
		for _, b := range bend {
			b(&r)
		}
		return r
	}
	sound := word{Led: true, Head: 9, Machines: []machineRow{{ID: 1, Purges: true}, {ID: 2, Purges: true}, {ID: 3}}, Caches: []purger.Progress{row("a", 1, 9), row("a", 2, 4)}}
	for name, c := range map[string]struct {
		bend  func(*word)
		whole bool
		lacks []uint64
	}{
		"one has done all":                {func(*word) {}, true, []uint64{0}},
		"who did it is silent now":        {func(w *word) { w.Machines[0].AgoMs = 6000 }, true, []uint64{0}},
		"it is another log's":             {func(w *word) { w.Caches[0].Foreign = true }, false, []uint64{5}},
		"it is of the process before":     {func(w *word) { w.Caches[1].Started = 5 }, false, []uint64{5}},
		"none has":                        {func(w *word) { w.Caches[0].Done = 8 }, false, []uint64{1}},
		"only a silent one lists it":      {func(w *word) { w.Caches, w.Machines[1].AgoMs = append(w.Caches, row("b", 2, 1)), 6000 }, true, []uint64{0}},
		"no machine has a list":           {func(w *word) { w.Caches, w.Machines[0].NoList, w.Machines[1].NoList = nil, true, true }, false, nil},
		"one has a list, of no caches":    {func(w *word) { w.Caches, w.Machines[0].NoList = nil, true }, true, nil},
		"nobody carries out at caches":    {func(w *word) { w.Caches, w.Machines = nil, []machineRow{{ID: 1}} }, true, nil},
		"beyond what the asked one knows": {func(w *word) { w.Caches[0].Done = 12 }, true, []uint64{0}},
	} {
		w := sound
		w.Machines, w.Caches = slices.Clone(sound.Machines), slices.Clone(sound.Caches)
		c.bend(&w)
		o := overview(w)
		var lacks []uint64
		for _, r := range o.Caches {
			if lacks = append(lacks, r.Lacks); r.Late == math.MaxUint64 {
				t.Errorf("%s: nobody says what is late", name)
			}
		}
		if o.CaughtUp() != c.whole || !slices.Equal(lacks, c.lacks) {
			t.Errorf("%s: whole %t, lacks %v", name, o.CaughtUp(), lacks)
		}
	}
}
