package controlclient

import (
	"math"
	"slices"
	"testing"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/purger"
)

func TestWhoLacksSomethingIsToldSo(t *testing.T) {
	t.Parallel()
	sound := controlwire.Message{HasLeader: true, Last: 5, Nodes: []controlwire.NodeReport{{Node: "n", Applied: 5, Config: 2}}, Servers: []controlwire.ServerReport{{ID: 1, Last: 5}}}
	if o := summarize(sound); !o.CaughtUp() {
		t.Errorf("%+v", o)
	}
	for name, spoil := range map[string]func(w *controlwire.Message, r *controlwire.NodeReport){
		"lacks one": func(_ *controlwire.Message, r *controlwire.NodeReport) { r.Applied = 4 }, "silent": func(_ *controlwire.Message, r *controlwire.NodeReport) { r.AgeMs = 5100 }, "refused": func(_ *controlwire.Message, r *controlwire.NodeReport) { r.Refused = 3 },
		"has not begun": func(_ *controlwire.Message, r *controlwire.NodeReport) { r.NotStarted = true }, "no leader": func(w *controlwire.Message, _ *controlwire.NodeReport) { w.HasLeader = false }} {
		w := sound
		w.Nodes = slices.Clone(sound.Nodes)
		if spoil(&w, &w.Nodes[0]); summarize(w).CaughtUp() {
			t.Errorf("%s: whole", name)
		}
	}
}

// What any machine has done is done; who is silent says nothing of what there is now.
func TestWhichCachesLackWhat(t *testing.T) {
	row := func(cache string, machine, done uint64, bend ...func(*purger.Progress)) purger.Progress {
		r := purger.Progress{Cache: cache, Server: machine, Done: done, FirstDeleted: done, Log: 7}
		for _, b := range bend {
			b(&r)
		}
		return r
	}
	sound := controlwire.Message{HasLeader: true, Last: 9, Servers: []controlwire.ServerReport{{ID: 1, RunsPurges: true}, {ID: 2, RunsPurges: true}, {ID: 3}}, Caches: []purger.Progress{row("a", 1, 9), row("a", 2, 4)}}
	for name, c := range map[string]struct {
		bend  func(*controlwire.Message)
		whole bool
		lacks []uint64
	}{
		"one has done all":            {func(*controlwire.Message) {}, true, []uint64{0}},
		"who did it is silent now":    {func(w *controlwire.Message) { w.Servers[0].AgeMs = 6000 }, true, []uint64{0}},
		"it is another log's":         {func(w *controlwire.Message) { w.Caches[0].OtherLog = true }, false, []uint64{5}},
		"it is of the process before": {func(w *controlwire.Message) { w.Caches[1].Started = 5 }, false, []uint64{5}},
		"none has":                    {func(w *controlwire.Message) { w.Caches[0].Done = 8 }, false, []uint64{1}},
		"only a silent one lists it":  {func(w *controlwire.Message) { w.Caches, w.Servers[1].AgeMs = append(w.Caches, row("b", 2, 1)), 6000 }, true, []uint64{0}},
		"no machine has a list": {func(w *controlwire.Message) {
			w.Caches, w.Servers[0].NoCacheList, w.Servers[1].NoCacheList = nil, true, true
		}, false, nil},
		"one has a list, of no caches":    {func(w *controlwire.Message) { w.Caches, w.Servers[0].NoCacheList = nil, true }, true, nil},
		"nobody carries out at caches":    {func(w *controlwire.Message) { w.Caches, w.Servers = nil, []controlwire.ServerReport{{ID: 1}} }, true, nil},
		"beyond what the asked one knows": {func(w *controlwire.Message) { w.Caches[0].Done = 12 }, true, []uint64{0}},
	} {
		w := sound
		w.Servers, w.Caches = slices.Clone(sound.Servers), slices.Clone(sound.Caches)
		c.bend(&w)
		o := summarize(w)
		var lacks []uint64
		for _, r := range o.Caches {
			if lacks = append(lacks, r.Missing); r.Overdue == math.MaxUint64 {
				t.Errorf("%s: nobody says what is late", name)
			}
		}
		if o.CaughtUp() != c.whole || !slices.Equal(lacks, c.lacks) {
			t.Errorf("%s: whole %t, lacks %v", name, o.CaughtUp(), lacks)
		}
	}
}
