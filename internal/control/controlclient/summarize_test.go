package controlclient

import (
	"math"
	"slices"
	"testing"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/purge"
)

// The fleet has caught up only if every node has applied all entries, reports in time and has rejected no
// configuration, and if there is a leader: without one, newer entries may exist.
func TestCaughtUpRequiresALeaderAndUpToDateNodes(t *testing.T) {
	t.Parallel()
	type message = controlwire.Message
	type nodeReport = controlwire.NodeReport
	caughtUp := message{
		HasLeader: true,
		Last:      5,
		Nodes:     []nodeReport{{Node: "n", Applied: 5, Config: 2}},
		Servers:   []controlwire.ServerReport{{ID: 1, Last: 5}},
	}
	if overview := summarize(caughtUp); !overview.CaughtUp() {
		t.Errorf("not caught up: %+v", overview)
	}
	for name, change := range map[string]func(table *message, node *nodeReport){
		"lacks an entry":  func(_ *message, node *nodeReport) { node.Applied = 4 },
		"silent":          func(_ *message, node *nodeReport) { node.AgeMs = 5100 },
		"refused":         func(_ *message, node *nodeReport) { node.Refused = 3 },
		"has not started": func(_ *message, node *nodeReport) { node.NotStarted = true },
		"no leader":       func(table *message, _ *nodeReport) { table.HasLeader = false },
	} {
		t.Run(name, func(t *testing.T) {
			table := caughtUp
			table.Nodes = slices.Clone(caughtUp.Nodes)
			change(&table, &table.Nodes[0])
			if summarize(table).CaughtUp() {
				t.Error("caught up")
			}
		})
	}
}

// Two control servers report on a cache. A purge that either of them has done, at the cache's current process and in
// this log, counts even if that server is silent now. Which caches exist, and whether there is a list of them, is taken
// only from servers that are not silent.
func TestCaughtUpRequiresAllPurgesAtCaches(t *testing.T) {
	type message = controlwire.Message
	progress := func(cache string, server, done uint64) purge.Progress {
		return purge.Progress{Cache: cache, Server: server, Done: done, QuickDeleted: done, Log: 7}
	}
	doneByOne := message{
		HasLeader: true,
		Last:      9,
		Servers:   []controlwire.ServerReport{{ID: 1, RunsPurges: true}, {ID: 2, RunsPurges: true}, {ID: 3}},
		Caches:    []purge.Progress{progress("a", 1, 9), progress("a", 2, 4)},
	}
	for _, c := range []struct {
		name     string
		change   func(*message)
		caughtUp bool
		missing  []uint64 // by cache
	}{
		{"one has done all", func(*message) {}, true, []uint64{0}},
		{"the one that did is silent", func(m *message) { m.Servers[0].AgeMs = 6000 }, true, []uint64{0}},
		{"in another log", func(m *message) { m.Caches[0].OtherLog = true }, false, []uint64{5}},
		{"at the process before", func(m *message) { m.Caches[1].Incarnation = 5 }, false, []uint64{5}},
		{"none has done all", func(m *message) { m.Caches[0].Done = 8 }, false, []uint64{1}},
		{"a cache that only a silent one lists", func(m *message) {
			m.Caches = append(m.Caches, progress("b", 2, 1))
			m.Servers[1].AgeMs = 6000
		}, true, []uint64{0}},
		{"no server has a list", func(m *message) {
			m.Caches = nil
			m.Servers[0].NoCacheList = true
			m.Servers[1].NoCacheList = true
		}, false, nil},
		{"one has a list, of no caches", func(m *message) {
			m.Caches = nil
			m.Servers[0].NoCacheList = true
		}, true, nil},
		{"no server runs purges", func(m *message) {
			m.Caches = nil
			m.Servers = []controlwire.ServerReport{{ID: 1}}
		}, true, nil},
		{"done beyond what is known here", func(m *message) { m.Caches[0].Done = 12 }, true, []uint64{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := doneByOne
			table.Servers = slices.Clone(doneByOne.Servers)
			table.Caches = slices.Clone(doneByOne.Caches)
			c.change(&table)
			overview := summarize(table)
			var missing []uint64
			for _, cache := range overview.Caches {
				missing = append(missing, cache.Missing)
				if cache.Overdue == math.MaxUint64 {
					t.Error("overdue entries were not set")
				}
			}
			if overview.CaughtUp() != c.caughtUp || !slices.Equal(missing, c.missing) {
				t.Errorf("caught up %t, missing %v; want %t, %v", overview.CaughtUp(), missing, c.caughtUp, c.missing)
			}
		})
	}
}
