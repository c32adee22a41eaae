package controlserver

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	purger "dahliapin/internal/control/purger"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// seen is a node's row, and when it was heard.
type seen struct {
	row
	heard monotime.Instant
}

// heardMachine is another control machine's word on itself and on caches, and when it came.
type heardMachine struct {
	machineRow
	caches []purger.Progress
	heard  monotime.Instant
}

// table is how nodes stand: own rows of those that follow here, and others' as other control machines tell them. All are hints.
type table struct {
	m          *Server
	mu         sync.Mutex
	rows       map[string]seen // by node's name; at most mostRows
	machines   map[uint64]heardMachine
	turnedAway atomic.Uint64 // streams for want of room
	foreign    atomic.Uint64 // streams and messages that were not to be read
	inBytes    atomic.Uint64
	outBytes   atomic.Uint64
}

func newTable(m *Server) *table {
	return &table{m: m, rows: map[string]seen{}, machines: map[uint64]heardMachine{}}
}

// note takes a node's row. Of two tellings of one node the one heard last holds.
func (t *table) note(r row, heard monotime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	was, is := t.rows[r.Node]
	if is && was.heard > heard || !is && len(t.rows) >= mostRows && !t.forget() {
		return
	}
	t.rows[r.Node] = seen{r, heard}
}

// forget makes room: for nodes that were not heard for long. It tells whether there is some.
func (t *table) forget() bool {
	now := t.m.Now()
	for name, s := range t.rows {
		if time.Duration(now-s.heard) > t.m.File.Bounds.Forget() {
			delete(t.rows, name)
		}
	}
	return len(t.rows) < mostRows
}

func ago(now, at monotime.Instant) uint64 {
	return uint64(max(0, time.Duration(now-at)) / time.Millisecond)
}

// own is what the machine tells others: its nodes, and how it stands itself.
func (t *table) own() word {
	self := t.m.stands()
	w := word{Kind: wordTable, Caches: t.m.cacheRows(&self), Machines: []machineRow{self}}
	now := t.m.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.rows {
		if s.Machine == t.m.id {
			s.AgoMs = ago(now, s.heard)
			w.Rows = append(w.Rows, s.row)
		}
	}
	return w
}

// hear takes another's telling.
func (t *table) hear(from uint64, w word) {
	now := t.m.Now()
	for _, r := range w.Rows {
		if r.Node != "" && len(r.Node) <= longestName && len(r.Reason) <= longestReason && r.AgoMs < 1<<40 {
			r.Machine = from
			t.note(r, now-monotime.Instant(time.Duration(r.AgoMs)*time.Millisecond))
		}
	}
	for _, r := range w.Machines {
		if r.ID == from {
			w.Caches = slices.DeleteFunc(w.Caches, func(c purger.Progress) bool {
				return c.Cache == "" || len(c.Cache) > longestName || len(c.Reason) > longestReason
			})
			w.Caches = w.Caches[:min(len(w.Caches), mostCacheRows)]
			for i := range w.Caches {
				w.Caches[i].Machine = from
			}
			t.mu.Lock()
			t.machines[from] = heardMachine{r, w.Caches, now}
			t.mu.Unlock()
			if t.m.purger != nil {
				t.m.purger.MergeProgress(w.Caches)
			}
		}
	}
}

// cacheRows are how the machine stands with caches; nil where it has nothing to do with them.
func (m *Server) cacheRows(self *machineRow) []purger.Progress {
	if m.purger == nil {
		return nil
	}
	rows, listed := m.purger.Progress()
	self.Purges, self.NoList = true, !listed
	for i := range rows {
		rows[i].Machine = m.id
	}
	return rows
}

// least is up to where all nodes have applied that were heard within a time.
func (t *table) least(within time.Duration) (least replicatedlog.Index, is bool) {
	now := t.m.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.rows {
		if at := replicatedlog.Index(s.Applied); time.Duration(now-s.heard) <= within && (!is || at < least) {
			least, is = at, true
		}
	}
	return least, is
}

// stands is the machine's word on itself.
func (m *Server) stands() machineRow {
	l, self := m.lead.Load(), m.File.Self()
	m.mu.RLock()
	defer m.mu.RUnlock()
	return machineRow{ID: m.id, Name: self.Name, Learner: self.Learner, Leads: l.leads, Term: l.term, Head: uint64(m.state.Last()), Floor: uint64(m.state.Floor()), Config: uint64(m.state.Config()),
		In: m.table.inBytes.Load(), Out: m.table.outBytes.Load(), Foreign: m.table.foreign.Load(), Away: m.table.turnedAway.Load()}
}

// all is the whole table, for operators.
func (t *table) all() word {
	self := t.m.stands()
	w := word{Kind: wordTable, Caches: t.m.cacheRows(&self), Machines: []machineRow{self}, Led: t.m.lead.Load().led}
	w.Head = w.Machines[0].Head
	now := t.m.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget()
	for _, s := range t.rows {
		s.AgoMs = ago(now, s.heard)
		w.Rows = append(w.Rows, s.row)
	}
	for _, o := range t.m.File.Machines {
		if o.ID == t.m.id {
			continue
		}
		r := machineRow{ID: o.ID, Name: o.Name, Learner: o.Learner, Unheard: true}
		if h, is := t.machines[o.ID]; is {
			r = h.machineRow
			r.Name, r.Learner, r.AgoMs = o.Name, o.Learner, ago(now, h.heard)
			for _, c := range h.caches {
				c.AgoMs = r.AgoMs
				w.Caches = append(w.Caches, c)
			}
		}
		w.Machines = append(w.Machines, r)
		w.Head = max(w.Head, r.Head)
	}
	return w
}
